/** Platform adapter for the table, the object store and the instance list over HTTP/1.1; docs/PLATFORM.md defines the protocol. */
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

/** Configuration of a platform client. */
struct PlatformClientOptions {
    NetAddress address; ///< Address of the platform's HTTP server, IP:port.
    Duration listInterval = std::chrono::milliseconds(500); ///< Time from the end of a request for the instance list to the next one.
    std::uint32_t connections = 4; ///< Limit of connections for requests; the instance list has a connection of its own.
    InstanceName instance; ///< Name of this instance, sent in the header field `Client-Instance`.
    Duration listTimeout = std::chrono::seconds(2); ///< Time after which a request for the instance list is aborted unless it is arriving.
    Duration connectTimeout = std::chrono::milliseconds(500); ///< Time after which connecting fails.
    std::uint32_t maxWaiting = 4096; ///< Limit of requests that wait for a connection.
    std::size_t maxAnswerBytes = std::size_t(64) << 20; ///< Limit of the body of a response.
};

/**
 * Client of the platform's service.
 *
 * Thread safety: execute() and close() are called from one thread (the control thread) and don't block; the work is done
 * on the threads that run the io_context. Events are pushed from those threads. The io_context and the event queue have to
 * outlive the client, and the event queue has to outlive the last handler run by the io_context.
 */
class PlatformClient
{
public:
    /**
     * Make a client and start polling the instance list.
     * @param io Runs the connections. Any number of threads may run it.
     * @param events Queue that receives PlatformReplied and InstanceListRead.
     * @param options Configuration.
     * @return The client, or BadInput with the name of the option that is out of range.
     */
    static Result<std::unique_ptr<PlatformClient>> create(boost::asio::io_context &io, EventQueue &events, PlatformClientOptions options);

    ~PlatformClient();
    PlatformClient(const PlatformClient &) = delete;
    PlatformClient &operator=(const PlatformClient &) = delete;

    /**
     * Send a request to the platform. Exactly one PlatformReplied is pushed, at the latest when the timeout of the action expires, or when
     * the response is complete or has stopped arriving, if it is arriving then.
     */
    void execute(SendPlatformRequest action);

    /** Stop polling the instance list, close idle connections and reject new requests; requests in flight finish. */
    void close();

    /** @return Number of failed requests for the instance list. Thread safety: any thread. */
    std::uint64_t listFailures() const;

private:
    class Impl;
    explicit PlatformClient(std::shared_ptr<Impl> implementation);

    std::shared_ptr<Impl> impl; ///< Shared with pending asynchronous handlers.
};

} // namespace Tanagertally
