#include "controllers/reply_sender.h"

#include <cassert>

namespace Tanagertally {

ReplySender::ReplySender(Blackboard &board, Outbox &outbox)
    : board(board)
    , outbox(outbox)
{
}

void ReplySender::send(const ReplyTarget &target, CallerReply reply)
{
    assert(this->board.openCalls > 0);
    --this->board.openCalls;
    if (const auto *request = std::get_if<RequestId>(&target)) {
        const bool stopping = this->board.lifecycle.state() == InstanceState::Draining;
        this->outbox.emit(ReplyToCaller{*request, std::move(reply), stopping});
        return;
    }
    const auto &peer = std::get<PeerReplyTarget>(target);
    if (this->board.peers.find(peer.peer) != nullptr) {
        this->outbox.emit(SendToPeer{peer.peer, ForwardedReply{peer.id, std::move(reply)}});
    }
}

void ReplySender::refuse(const ReplyTarget &target, Error error, Verdict verdict, std::optional<Duration> retryAfter)
{
    ++this->board.stats.refusals;
    this->outbox.log("refused", {{"code", std::string(toString(error.code))},
                                 {"verdict", std::string(toString(verdict))},
                                 {"field", error.field},
                                 {"message", error.message}});
    this->send(target, Refusal{std::move(error), verdict, retryAfter});
}

} // namespace Tanagertally
