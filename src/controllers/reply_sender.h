/** Sends replies to a caller of this instance, or to the peer that forwarded the request. */
#pragma once

#include "blackboard/blackboard.h"
#include "controllers/outbox.h"

namespace Tanagertally {

/**
 * Sends replies to callers and peers, and counts and logs refusals.
 * Thread safety: none.
 */
class ReplySender
{
public:
    /** Both arguments must outlive this object. */
    ReplySender(Blackboard &board, Outbox &outbox);

    /**
     * Sends a reply.
     * @param target Origin of the request. If the link to the peer is lost, the reply is dropped; the peer then refuses the
     *        request itself.
     */
    void send(const ReplyTarget &target, CallerReply reply);

    /**
     * Refuses a request.
     * @param target Origin of the request.
     * @param verdict Covers every submission under the key so far.
     * @param retryAfter Time after which the caller should retry; unset if a retry cannot succeed.
     */
    void refuse(const ReplyTarget &target, Error error, Verdict verdict, std::optional<Duration> retryAfter = std::nullopt);

private:
    Blackboard &board;
    Outbox &outbox;
};

} // namespace Tanagertally
