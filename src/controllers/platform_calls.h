/** Requests to the platform that await a reply. */
#pragma once

#include "controllers/event_type.h"
#include "controllers/outbox.h"

#include <functional>
#include <unordered_map>

namespace Tanagertally {

/**
 * Sends requests to the platform and hands each reply to the one who asked.
 * Thread safety: none.
 */
class PlatformCalls
{
public:
    using Handler = std::function<void(PlatformReply)>; ///< Called once with the reply.

    /** @param outbox Where requests go; must outlive this object. */
    explicit PlatformCalls(Outbox &outbox);

    /**
     * Send a request.
     * @param request The request.
     * @param timeout Time after which it counts as unavailable.
     * @param handler Called once with the reply, from handle().
     */
    void send(PlatformRequest request, Duration timeout, Handler handler);

    /** Hand a reply to the one who asked. A reply that nobody awaits is ignored. */
    void handle(PlatformReplied reply);

private:
    Outbox &outbox; ///< Where requests go.
    std::unordered_map<TableRequestId, Handler> pending; ///< Requests without a reply.
    std::uint64_t lastId = 0; ///< Last number given.
};

} // namespace Tanagertally
