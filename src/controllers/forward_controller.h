/** Forwards requests to the home of their key and hands the replies back. */
#pragma once

#include "blackboard/deadline_queue.h"
#include "controllers/reply_sender.h"

namespace Tanagertally {

/** The home that a key names. */
struct HomeAddress {
    NetAddress address; ///< Where it accepts peer links.
    Incarnation incarnation; ///< Incarnation that holds the key.
};

/**
 * Requests on their way to another instance. Links that are not there are opened on demand.
 *
 * A home that can't be reached gives `may-have-run` with a time to come back; a home that is known to be gone, because
 * another incarnation answers at its address, gives a final `may-have-run`.
 * Thread safety: none.
 */
class ForwardController
{
public:
    using FailureHandler = std::function<void(const Refusal &)>; ///< Called once instead of refusing, with the refusal.

    /** The references must outlive this object. */
    ForwardController(Blackboard &board, Outbox &outbox, ReplySender &replies);

    /**
     * Forward a request.
     * @tparam Message ForwardedSubmit, ForwardedFetch or ForwardedCancel.
     * @param home Where to.
     * @param target Who gets the reply.
     * @param message The request; its id is set here.
     * @param within Time after which the caller is told that no answer came.
     * @param givenUp Decides what the caller is told if no answer comes; without it the caller is refused.
     */
    template<typename Message>
    void forward(const HomeAddress &home, const ReplyTarget &target, Message message, Duration timeout, FailureHandler onFailure = {})
    {
        const ForwardId id(++this->lastId);
        message.id = id;
        this->add(Forward{target, home, PeerId(), std::move(message), std::move(onFailure)}, id, timeout);
    }

    /** Hand a reply back. */
    void handle(ForwardedReply reply);

    /** A link is up: send what waited for it. */
    void onPeerUp(const PeerRecord &peer);

    /** A link is gone: what was sent on it gets no reply. */
    void onPeerDown(PeerId peer);

    /** A link could not be made. */
    void onPeerUnreachable(const NetAddress &address);

    /** Do what is due. */
    void advance();

    /** @return When advance() has to be called next. */
    TimePoint nextDeadline() const;

private:
    /** A request that was forwarded or waits for a link. */
    struct Forward {
        ReplyTarget target; ///< Who gets the reply.
        HomeAddress home; ///< Where to.
        PeerId peer; ///< Link on which it was sent; 0 while it waits for one.
        PeerMessage message; ///< The request, until it is sent.
        FailureHandler onFailure; ///< Decides what the caller is told if no answer comes.
    };

    void add(Forward forward, ForwardId id, Duration timeout);
    void send(ForwardId id, Forward &forward, const PeerRecord &peer);
    void fail(ForwardId id, ErrorCode code, std::string message, std::optional<Duration> retryAfter);
    std::vector<ForwardId> select(const std::function<bool(const Forward &)> &matches) const;

    Blackboard &board; ///< The state.
    Outbox &outbox; ///< Where actions go.
    ReplySender &replies; ///< Sends replies.
    std::unordered_map<ForwardId, Forward> forwards; ///< Requests without a reply.
    DeadlineQueue<ForwardId> linkDeadlines; ///< When a request stops waiting for a link.
    DeadlineQueue<ForwardId> replyDeadlines; ///< When a request stops waiting for a reply.
    std::uint64_t lastId = 0; ///< Last number given.
};

} // namespace Tanagertally
