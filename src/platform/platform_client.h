/** The platform adapter: table, object store and instance list over HTTP/1.1, as docs/PLATFORM.md says. */
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

/** Set-up of a platform client. */
struct PlatformClientOptions {
    NetAddress address; ///< Where the platform serves.
    Duration listInterval = std::chrono::milliseconds(500); ///< Time between two reads of the instance list.
    std::uint32_t connections = 4; ///< Most connections for requests; the instance list has one of its own.
    InstanceName instance; ///< Name of this instance, sent as `Client-Instance`.
    Duration listTimeout = std::chrono::seconds(2); ///< Time after which a read of the instance list is given up.
    Duration connectTimeout = std::chrono::milliseconds(500); ///< Time after which a connection counts as refused.
    std::uint32_t maxWaiting = 4096; ///< Most requests that wait for a connection.
    std::size_t maxAnswerBytes = std::size_t(64) << 20; ///< Longest body of an answer.
};

/**
 * Client of the platform's service.
 *
 * Thread safety: carryOut() and close() are called from one thread (the control thread) and don't block; the work is done
 * on the threads that run the io_context. Events are pushed from those threads. The io_context and the event queue have to
 * outlive the client, and the event queue has to outlive the last handler run by the io_context.
 */
class PlatformClient
{
public:
    /**
     * Make a client and begin to read the instance list.
     * @param io Runs the connections; by any number of threads.
     * @param events Takes PlatformReplied and InstancesListed.
     * @param options Set-up.
     * @return The client, or BadInput naming the option that is out of range.
     */
    static Result<std::unique_ptr<PlatformClient>> create(boost::asio::io_context &io, EventQueue &events, PlatformClientOptions options);

    ~PlatformClient();
    PlatformClient(const PlatformClient &) = delete;
    PlatformClient &operator=(const PlatformClient &) = delete;

    /** Ask the platform. Exactly one PlatformReplied follows, at the latest when the timeout is over. */
    void carryOut(AskPlatform action);

    /** Stop reading the instance list, close idle connections and ask nothing any more; requests in flight finish. */
    void close();

    /** @return Reads of the instance list that failed so far. Thread safety: any thread. */
    std::uint64_t listFailures() const;

private:
    class Impl;
    explicit PlatformClient(std::shared_ptr<Impl> implementation);

    std::shared_ptr<Impl> impl; ///< Shared with the handlers in flight.
};

} // namespace Tanagertally
