/** Requests to the platform that are in flight. */
#pragma once

#include "controllers/event_type.h"
#include "controllers/outbox.h"

#include <functional>
#include <unordered_map>

namespace Tanagertally {

/**
 * Sends requests to the platform and passes each reply to the handler of its request.
 * Thread safety: none.
 */
class PlatformCalls
{
public:
    using Handler = std::function<void(PlatformReply)>; ///< Called once with the reply.

    /** @param outbox Must outlive this object. */
    explicit PlatformCalls(Outbox &outbox);

    /**
     * Sends a request.
     * @param timeout Time after which the platform counts as unavailable.
     * @param handler Called once with the reply, from handle().
     */
    void send(PlatformRequest request, Duration timeout, Handler handler);

    /** Passes a reply to the handler of its request. A reply to an unknown request is ignored. */
    void handle(PlatformReplied reply);

private:
    Outbox &outbox;
    std::unordered_map<PlatformRequestId, Handler> pending; ///< Handlers of the requests in flight.
    std::uint64_t lastId = 0; ///< Id of the last request.
};

} // namespace Tanagertally
