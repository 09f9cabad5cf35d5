/** Forwards requests to the home of their key and returns the replies. */
#pragma once

#include "blackboard/deadline_queue.h"
#include "controllers/reply_sender.h"

namespace Tanagertally {

/** Address and incarnation of the home of a key. */
struct HomeAddress {
    NetAddress address; ///< Address at which the home accepts peer links.
    Incarnation incarnation; ///< Incarnation that holds the key.
};

/**
 * Tracks requests forwarded to other instances. Links are opened on demand.
 *
 * If the home cannot be reached, the request is refused with the verdict `may-have-run` and a time after which to retry. If
 * another incarnation answers at its address, the home no longer exists, and the refusal has no retry time.
 * Thread safety: none.
 */
class ForwardController
{
public:
    using FailureHandler = std::function<void(const Refusal &)>; ///< Called once with the refusal instead of sending it.

    /** The references must outlive this object. */
    ForwardController(Blackboard &board, Outbox &outbox, ReplySender &replies);

    /**
     * Forwards a request.
     * @tparam Message ForwardedSubmit, ForwardedFetch or ForwardedCancel.
     * @param target Receives the reply.
     * @param message The request; its id is assigned by this function.
     * @param timeout Time after which the request fails if no reply was received.
     * @param onFailure Replies to the target if the request fails; if unset, the target is refused.
     */
    template<typename Message>
    void forward(const HomeAddress &home, const ReplyTarget &target, Message message, Duration timeout, FailureHandler onFailure = {})
    {
        const ForwardId id(++this->lastId);
        message.id = id;
        this->add(Forward{target, home, PeerId(), std::move(message), std::move(onFailure)}, id, timeout);
    }

    /** Returns a reply from the home to the target of its request. */
    void handle(ForwardedReply reply);

    /** Sends the requests that waited for this link. */
    void onPeerUp(const PeerRecord &peer);

    /** Fails the requests that were sent on a link that was lost. */
    void onPeerDown(PeerId peer);

    /** Fails the requests that waited for a link that could not be established. */
    void onPeerUnreachable(const NetAddress &address);

    /** Fails the requests whose time for a link or a reply is over. */
    void advance();

    /** @return Time at which advance() has to be called next. */
    TimePoint nextDeadline() const;

private:
    /** A request that was forwarded or waits for a link. */
    struct Forward {
        ReplyTarget target; ///< Receives the reply.
        HomeAddress home;
        PeerId peer; ///< Link on which the request was sent; 0 while it waits for a link.
        PeerMessage message; ///< The request; moved from when it is sent.
        FailureHandler onFailure; ///< Replies to the target if the request fails; may be unset.
    };

    void add(Forward forward, ForwardId id, Duration timeout);
    void send(ForwardId id, Forward &forward, const PeerRecord &peer);
    void fail(ForwardId id, ErrorCode code, std::string message, std::optional<Duration> retryAfter);
    std::vector<ForwardId> select(const std::function<bool(const Forward &)> &matches) const;

    Blackboard &board;
    Outbox &outbox;
    ReplySender &replies;
    std::unordered_map<ForwardId, Forward> forwards; ///< Requests that have no reply yet.
    DeadlineQueue<ForwardId> linkDeadlines; ///< Times at which requests stop waiting for a link.
    DeadlineQueue<ForwardId> replyDeadlines; ///< Times at which requests stop waiting for a reply.
    std::uint64_t lastId = 0; ///< Id of the last request.
};

} // namespace Tanagertally
