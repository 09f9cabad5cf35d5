/** Endpoint adapter that runs attempts and health probes over HTTP/1.1; docs/ENDPOINTS.md defines the protocol. */
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
    std::uint32_t maxConnectionsPerEndpoint = 60; ///< Limit of connections to one endpoint, idle ones included.
    std::uint32_t maxWaitingPerEndpoint = 256; ///< Limit of attempts that wait for a connection to one endpoint.
    Duration connectTimeout = std::chrono::milliseconds(500); ///< Time after which connecting fails.
    Duration idleTimeout = std::chrono::seconds(60); ///< Time after which an idle connection is closed.
    std::size_t maxAnswerBytes = std::size_t(1) << 20; ///< Limit of the body of a response.
};

/**
 * Persistent HTTP connections to all endpoints. A connection carries one request at a time.
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
     * @param io Runs the connections. Any number of threads may run it.
     * @param events Queue that receives AttemptEnded and ProbeEnded.
     * @param options Limits and timeouts.
     * @return The pool, or BadInput with the name of the option that is out of range.
     */
    static Result<std::unique_ptr<EndpointPool>> create(boost::asio::io_context &io, EventQueue &events, EndpointPoolOptions options);

    ~EndpointPool();
    EndpointPool(const EndpointPool &) = delete;
    EndpointPool &operator=(const EndpointPool &) = delete;

    /**
     * Add an endpoint, or change the address of an existing one and close the idle connections to its former address.
     * An endpoint whose address is not of the form IP:port is removed instead.
     */
    void execute(const AddEndpoint &action);

    /** Remove an endpoint: close its idle connections, end its waiting attempts as NotDelivered and let those in flight finish. */
    void execute(const RemoveEndpoint &action);

    /** Start an attempt. Exactly one AttemptEnded is pushed; its outcome is NotDelivered if the endpoint is unknown. */
    void execute(StartAttempt action);

    /**
     * Close the connection of an attempt. The attempt ends as NotDelivered if no byte of its request was sent, otherwise as Lost
     * unless its response is already complete. No effect on an attempt that has ended.
     */
    void execute(const AbandonAttempt &action);

    /** Probe an endpoint on a new connection. Exactly one ProbeEnded is pushed. */
    void execute(const ProbeEndpoint &action);

    /** Close idle connections and reject new attempts and probes; attempts in flight finish. */
    void close();

private:
    class Impl;
    explicit EndpointPool(std::shared_ptr<Impl> implementation);

    std::shared_ptr<Impl> impl; ///< Shared with pending asynchronous handlers.
};

} // namespace Tanagertally
