#include "controllers/forward_controller.h"

namespace Tanagertally {

namespace {

constexpr Duration LinkTimeout = std::chrono::milliseconds(500);
constexpr Duration UnreachableRetryAfter = std::chrono::seconds(1);

} // namespace

ForwardController::ForwardController(Blackboard &board, Outbox &outbox, ReplySender &replies)
    : board(board)
    , outbox(outbox)
    , replies(replies)
{
}

void ForwardController::add(Forward added, ForwardId id, Duration timeout)
{
    ++this->board.stats.forwards;
    Forward &forward = this->forwards[id];
    forward = std::move(added);
    this->replyDeadlines.add(this->board.now + timeout, id);
    const PeerRecord *peer = this->board.peers.find(forward.home.address);
    if (peer != nullptr) {
        this->send(id, forward, *peer);
        return;
    }
    this->linkDeadlines.add(this->board.now + LinkTimeout, id);
    this->outbox.emit(OpenPeer{forward.home.address, false});
}

void ForwardController::send(ForwardId id, Forward &forward, const PeerRecord &peer)
{
    if (peer.identity.incarnation != forward.home.incarnation) {
        this->fail(id, ErrorCode::HomeLost, "the instance that held this key is gone", std::nullopt);
        return;
    }
    forward.peer = peer.id;
    this->outbox.emit(SendToPeer{peer.id, std::move(forward.message)});
}

void ForwardController::fail(ForwardId id, ErrorCode code, std::string message, std::optional<Duration> retryAfter)
{
    const auto found = this->forwards.find(id);
    if (found == this->forwards.end()) {
        return;
    }
    const Forward forward = std::move(found->second);
    this->forwards.erase(found);
    const Refusal refusal{makeError(code, std::move(message), "key"), Verdict::MayHaveRun, retryAfter};
    if (forward.onFailure) {
        forward.onFailure(refusal);
        return;
    }
    this->replies.refuse(forward.target, refusal.error, refusal.verdict, refusal.retryAfter);
}

void ForwardController::handle(ForwardedReply reply)
{
    const auto found = this->forwards.find(reply.id);
    if (found == this->forwards.end()) {
        return;
    }
    const ReplyTarget target = found->second.target;
    this->forwards.erase(found);
    this->replies.send(target, std::move(reply.reply));
}

std::vector<ForwardId> ForwardController::select(const std::function<bool(const Forward &)> &matches) const
{
    std::vector<ForwardId> selected;
    for (const auto &[id, forward] : this->forwards) {
        if (matches(forward)) {
            selected.push_back(id);
        }
    }
    std::sort(selected.begin(), selected.end());
    return selected;
}

void ForwardController::onPeerUp(const PeerRecord &peer)
{
    const NetAddress &address = peer.identity.peerAddress;
    for (const ForwardId id : this->select([&](const Forward &one) { return one.peer == PeerId() && one.home.address == address; })) {
        this->send(id, this->forwards.at(id), peer);
    }
}

void ForwardController::onPeerDown(PeerId peer)
{
    for (const ForwardId id : this->select([&](const Forward &one) { return one.peer == peer; })) {
        this->fail(id, ErrorCode::HomeUnreachable, "the link to the instance that holds this key broke", UnreachableRetryAfter);
    }
}

void ForwardController::onPeerUnreachable(const NetAddress &address)
{
    for (const ForwardId id : this->select([&](const Forward &one) { return one.peer == PeerId() && one.home.address == address; })) {
        this->fail(id, ErrorCode::HomeUnreachable, "the instance that holds this key can't be reached", UnreachableRetryAfter);
    }
}

void ForwardController::advance()
{
    while (const std::optional<ForwardId> id = this->linkDeadlines.popDue(this->board.now)) {
        const auto found = this->forwards.find(*id);
        if (found != this->forwards.end() && found->second.peer == PeerId()) {
            this->fail(*id, ErrorCode::HomeUnreachable, "the instance that holds this key can't be reached", UnreachableRetryAfter);
        }
    }
    while (const std::optional<ForwardId> id = this->replyDeadlines.popDue(this->board.now)) {
        this->fail(*id, ErrorCode::DeadlineExceeded, "no answer came in time from the instance that holds this key", UnreachableRetryAfter);
    }
}

TimePoint ForwardController::nextDeadline() const
{
    return std::min(this->linkDeadlines.next(), this->replyDeadlines.next());
}

} // namespace Tanagertally
