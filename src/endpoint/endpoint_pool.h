/** The endpoint adapter: runs attempts and health probes over HTTP/1.1, as docs/ENDPOINTS.md says. */
#pragma once

#include "controllers/action_type.h"
#include "controllers/event_queue.h"
#include "core/result_type.h"
#include "core/time_type.h"

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>

namespace Tanagertally {

/** Limits of an endpoint pool. */
struct EndpointPoolOptions {
    std::uint32_t maxConnectionsPerEndpoint = 60; ///< Most connections to one endpoint, idle ones included.
    std::uint32_t maxWaitingPerEndpoint = 256; ///< Most attempts that wait for a connection to one endpoint.
    Duration connectTimeout = std::chrono::milliseconds(500); ///< Time after which a connection counts as refused.
    Duration idleTimeout = std::chrono::seconds(60); ///< Time after which an idle connection is closed.
    std::size_t maxAnswerBytes = std::size_t(1) << 20; ///< Longest body of an answer.
};

/**
 * Persistent connections to all endpoints; one request at a time on a connection.
 *
 * Thread safety: all methods are called from one thread (the control thread) and don't block; the work is done on the
 * threads that run the io_context. Events are pushed from those threads. The io_context and the event queue have to
 * outlive the pool, and the event queue has to outlive the last handler run by the io_context.
 */
class EndpointPool
{
public:
    /**
     * Make a pool without endpoints.
     * @param io Runs the connections; by any number of threads.
     * @param events Takes AttemptEnded and ProbeEnded.
     * @param options Limits.
     * @return The pool, or BadInput naming the option that is out of range.
     */
    static Result<std::unique_ptr<EndpointPool>> create(boost::asio::io_context &io, EventQueue &events, EndpointPoolOptions options);

    ~EndpointPool();
    EndpointPool(const EndpointPool &) = delete;
    EndpointPool &operator=(const EndpointPool &) = delete;

    /**
     * Make an endpoint known, or change its address: idle connections to the former address are closed.
     * An endpoint whose address is not an IP number and a port counts as unknown.
     */
    void carryOut(const AddEndpoint &action);

    /** Forget an endpoint: idle connections close, attempts that wait end as NotDelivered, attempts in flight finish. */
    void carryOut(const RemoveEndpoint &action);

    /** Start an attempt. Exactly one AttemptEnded follows; it is NotDelivered if the endpoint is unknown. */
    void carryOut(StartAttempt action);

    /** Close the connection of an attempt, which then ends by the evidence; no effect if it has ended already. */
    void carryOut(const AbandonAttempt &action);

    /** Probe an endpoint on a new connection. Exactly one ProbeEnded follows. */
    void carryOut(const ProbeEndpoint &action);

    /** Close idle connections and start nothing any more; attempts in flight finish. */
    void close();

private:
    class Impl;
    explicit EndpointPool(std::shared_ptr<Impl> implementation);

    std::shared_ptr<Impl> impl; ///< Shared with the handlers in flight.
};

} // namespace Tanagertally
