/** Sends replies to whoever asked: a caller of this instance or a peer on behalf of one. */
#pragma once

#include "blackboard/blackboard.h"
#include "controllers/outbox.h"

namespace Tanagertally {

/**
 * Sends each reply where it belongs.
 * Thread safety: none.
 */
class ReplySender
{
public:
    /** Both arguments must outlive this object. */
    ReplySender(Blackboard &board, Outbox &outbox);

    /**
     * Send a reply.
     * @param target Who asked. A peer whose link is gone gets nothing; it tells its caller so itself.
     * @param reply The reply.
     */
    void send(const ReplyTarget &target, CallerReply reply);

    /**
     * Refuse a request.
     * @param target Who asked.
     * @param error Why.
     * @param verdict What is known of every submission under the key so far.
     * @param retryAfter When to come back, if that can help.
     */
    void refuse(const ReplyTarget &target, Error error, Verdict verdict, std::optional<Duration> retryAfter = std::nullopt);

private:
    Blackboard &board; ///< The state.
    Outbox &outbox; ///< Where actions go.
};

} // namespace Tanagertally
