#include "controllers/coordinator.h"

#include "controllers/drain_controller.h"
#include "controllers/member_controller.h"
#include "controllers/operator_controller.h"
#include "controllers/recovery_controller.h"
#include "controllers/request_controller.h"

#include <array>

namespace Tanagertally {

namespace {

constexpr Duration LongestSleep = std::chrono::seconds(1);

std::array<std::uint64_t, 4> drawSecret(RandomEngine &random)
{
    return {random(), random(), random(), random()};
}

/** @return Initial state of an instance. */
Blackboard makeBoard(const CoordinatorOptions &options)
{
    Blackboard board;
    board.identity = options.identity;
    board.random.seed(options.seed);
    return board;
}

/** The controllers of one entry instance, and the order in which they handle events. */
class CoordinatorImpl final : public Coordinator
{
public:
    explicit CoordinatorImpl(CoordinatorOptions options);

    void handle(TimePoint now, Event event, ActionList &actions) override;
    void advance(TimePoint now, ActionList &actions) override;
    TimePoint nextDeadline() const override;
    CoordinatorStats stats() const override;

private:
    void onFenced();
    void beginEvent(TimePoint now, ActionList &actions);
    void finishEvent();
    void reportReadiness();
    void exitWhenDrained();

    void on(KeysRequested &event);
    void on(JobSubmitted &event);
    void on(FetchRequested &event);
    void on(CancelRequested &event);
    void on(CallerDisconnected &event);
    void on(OperatorRequested &event);
    void on(AttemptEnded &event);
    void on(ProbeEnded &event);
    void on(PeerUp &event);
    void on(PeerDown &event);
    void on(PeerUnreachable &event);
    void on(PeerMessageReceived &event);
    void on(PlatformReplied &event);
    void on(InstanceListRead &event);
    void on(StopRequested &event);

    void onMessage(PeerRecord &peer, Hello &message);
    void onMessage(PeerRecord &peer, Heartbeat &message);
    void onMessage(PeerRecord &peer, ForwardedSubmit &message);
    void onMessage(PeerRecord &peer, ForwardedFetch &message);
    void onMessage(PeerRecord &peer, ForwardedCancel &message);
    void onMessage(PeerRecord &peer, ForwardedReply &message);
    void onMessage(PeerRecord &peer, ConfigUpdate &message);
    void onMessage(PeerRecord &peer, DrainNotice &message);
    void onMessage(PeerRecord &peer, SlotRequest &message);
    void onMessage(PeerRecord &peer, SlotGrant &message);
    void onMessage(PeerRecord &peer, SlotReturn &message);
    void onMessage(PeerRecord &peer, ForwardedStatement &message);
    void onMessage(PeerRecord &peer, QueryRows &message);

    Blackboard board;
    Outbox outbox;
    PlatformCalls platform;
    GroupCommit commits;
    StartLease lease;
    ReplySender replies;
    EndpointController endpoints;
    DispatchController dispatch;
    JobController jobs;
    KeyController keys;
    ForwardController forwards;
    ClaimController claims;
    DurableController durables;
    RecoveryController recovery;
    RequestController requests;
    ConfigController config;
    SlotController slots;
    MemberController members;
    DrainController drains;
    OperatorController operators;
    InstanceState reportedState = InstanceState::AwaitingConfig; ///< State last reported to the adapters.
};

CoordinatorImpl::CoordinatorImpl(CoordinatorOptions options)
    : board(makeBoard(options))
    , platform(outbox)
    , commits(board, platform)
    , lease(board, platform)
    , replies(board, outbox)
    , endpoints(board, outbox)
    , dispatch(board, outbox, endpoints, lease, options.choice)
    , jobs(board, outbox, replies, dispatch)
    , keys(board, drawSecret(board.random))
    , forwards(board, outbox, replies)
    , claims(board, platform, commits)
    , durables(board, outbox, platform, commits, claims, jobs, replies, lease)
    , recovery(board, outbox, platform, commits, durables)
    , requests(board, replies, keys, forwards, claims, durables, jobs, platform)
    , config(board, outbox, platform, std::move(options.initialConfig))
    , slots(board, outbox, endpoints)
    , members(board, outbox, config, slots, endpoints, std::move(options.peers))
    , drains(board, outbox, platform, endpoints)
    , operators(board, outbox, platform, config, drains, jobs)
{
    this->endpoints.setProbeEndedHandler([this](EndpointId id) { this->dispatch.onEndpointProbed(id); });
    this->lease.setRegainedHandler([this] { this->dispatch.onLeaseRegained(); });
    this->lease.setFencedHandler([this] { this->onFenced(); });
    this->commits.setFencedHandler([this] { this->onFenced(); });
}

void CoordinatorImpl::onFenced()
{
    this->outbox.log("fenced");
    this->durables.discardAll();
    this->board.lifecycle.apply(InstanceEvent::StopRequested);
}

void CoordinatorImpl::beginEvent(TimePoint now, ActionList &actions)
{
    assert(now >= this->board.now);
    this->board.now = now;
    this->outbox.collectInto(actions, now);
}

void CoordinatorImpl::handle(TimePoint now, Event event, ActionList &actions)
{
    this->beginEvent(now, actions);
    std::visit([this](auto &one) { this->on(one); }, event);
    this->finishEvent();
}

void CoordinatorImpl::advance(TimePoint now, ActionList &actions)
{
    this->beginEvent(now, actions);
    this->lease.advance();
    this->endpoints.advance();
    this->dispatch.advance();
    this->jobs.advance();
    this->forwards.advance();
    this->durables.advance();
    this->recovery.advance();
    this->config.advance();
    this->members.advance();
    this->drains.advance();
    this->operators.advance();
    this->keys.advance();
    this->finishEvent();
}

void CoordinatorImpl::finishEvent()
{
    this->dispatch.startWaitingTasks();
    this->durables.advanceMarks();
    this->jobs.answerFinishedJobs();
    this->slots.balanceSlots();
    this->drains.announceDepartures();
    this->exitWhenDrained();
    this->reportReadiness();
}

TimePoint CoordinatorImpl::nextDeadline() const
{
    const std::array deadlines
        = {this->board.now + LongestSleep, this->lease.nextDeadline(),    this->endpoints.nextDeadline(), this->dispatch.nextDeadline(),
           this->jobs.nextDeadline(),      this->forwards.nextDeadline(), this->durables.nextDeadline(),  this->recovery.nextDeadline(),
           this->config.nextDeadline(),    this->members.nextDeadline(),  this->drains.nextDeadline(),    this->operators.nextDeadline()};
    return std::max(this->board.now, *std::min_element(deadlines.begin(), deadlines.end()));
}

CoordinatorStats CoordinatorImpl::stats() const
{
    CoordinatorStats stats = this->board.stats;
    stats.jobsHeld = this->board.jobs.size();
    stats.endpoints = this->board.endpoints.all().size();
    for (const auto &[id, endpoint] : this->board.endpoints.all()) {
        stats.endpointsEjected += endpoint.lifecycle.state() == EndpointState::Ejected ? 1 : 0;
    }
    return stats;
}

void CoordinatorImpl::reportReadiness()
{
    const InstanceState state = this->board.lifecycle.state();
    if (state == this->reportedState) {
        return;
    }
    this->reportedState = state;
    this->outbox.log("instance-state", {{"state", std::string(toString(state))}});
    this->outbox.emit(SetReadiness{state == InstanceState::Serving, std::string(toString(state))});
}

void CoordinatorImpl::exitWhenDrained()
{
    const bool idle = this->board.openCalls == 0 && this->jobs.unanswered() == 0 && this->dispatch.inFlight() == 0;
    const bool drained = this->board.lifecycle.state() == InstanceState::Draining && idle;
    if (drained && this->board.lifecycle.apply(InstanceEvent::Drained)) {
        this->outbox.emit(Exit{});
    }
}

void CoordinatorImpl::on(KeysRequested &event)
{
    ++this->board.openCalls;
    this->requests.handle(event);
}

void CoordinatorImpl::on(JobSubmitted &event)
{
    ++this->board.openCalls;
    this->requests.submit(
        Submission{event.request, RequestOrigin::Caller, std::move(event.team), std::move(event.key), std::move(event.job)});
}

void CoordinatorImpl::on(FetchRequested &event)
{
    ++this->board.openCalls;
    const JobRequest::Kind kind = event.wait ? JobRequest::Kind::Answer : JobRequest::Kind::State;
    this->requests.fetchOrCancel(
        JobRequest{event.request, RequestOrigin::Caller, std::move(event.team), std::move(event.key), kind, false});
}

void CoordinatorImpl::on(CancelRequested &event)
{
    ++this->board.openCalls;
    this->requests.fetchOrCancel(
        JobRequest{event.request, RequestOrigin::Caller, std::move(event.team), std::move(event.key), JobRequest::Kind::Cancel, false});
}

void CoordinatorImpl::on(CallerDisconnected & /*event*/)
{
    // The job continues, since the caller may resubmit it under its key. The adapter drops the reply to a closed connection.
}

void CoordinatorImpl::on(OperatorRequested &event)
{
    ++this->board.openCalls;
    this->operators.handle(event);
}

void CoordinatorImpl::on(AttemptEnded &event)
{
    this->dispatch.handle(std::move(event));
}

void CoordinatorImpl::on(ProbeEnded &event)
{
    this->endpoints.handle(event);
}

void CoordinatorImpl::on(PeerUp &event)
{
    const PeerRecord &peer = this->members.onPeerUp(event);
    this->forwards.onPeerUp(peer);
}

void CoordinatorImpl::on(PeerDown &event)
{
    this->members.onPeerDown(event.peer);
    this->forwards.onPeerDown(event.peer);
    this->recovery.onPeerDown();
}

void CoordinatorImpl::on(PeerUnreachable &event)
{
    this->forwards.onPeerUnreachable(event.address);
}

void CoordinatorImpl::on(PeerMessageReceived &event)
{
    PeerRecord *peer = this->board.peers.find(event.peer);
    if (peer != nullptr) {
        std::visit([&](auto &message) { this->onMessage(*peer, message); }, event.message);
    }
}

void CoordinatorImpl::on(PlatformReplied &event)
{
    this->platform.handle(std::move(event));
}

void CoordinatorImpl::on(InstanceListRead &event)
{
    this->members.handle(event.list);
    this->endpoints.handle(event.list);
}

void CoordinatorImpl::on(StopRequested & /*event*/)
{
    if (this->board.lifecycle.apply(InstanceEvent::StopRequested)) {
        this->members.sendHeartbeatsNow();
    }
}

void CoordinatorImpl::onMessage(PeerRecord & /*peer*/, Hello & /*message*/) { }

void CoordinatorImpl::onMessage(PeerRecord &peer, Heartbeat &message)
{
    this->members.handle(peer, message);
}

void CoordinatorImpl::onMessage(PeerRecord &peer, ForwardedSubmit &message)
{
    ++this->board.openCalls;
    const PeerReplyTarget target{peer.id, message.id};
    this->requests.submit(Submission{target, RequestOrigin::Peer, std::move(message.team), std::move(message.key), std::move(message.job)});
}

void CoordinatorImpl::onMessage(PeerRecord &peer, ForwardedFetch &message)
{
    ++this->board.openCalls;
    const JobRequest::Kind kind = message.wait ? JobRequest::Kind::Answer : JobRequest::Kind::State;
    const PeerReplyTarget target{peer.id, message.id};
    this->requests.fetchOrCancel(JobRequest{target, RequestOrigin::Peer, std::move(message.team), std::move(message.key), kind, false});
}

void CoordinatorImpl::onMessage(PeerRecord &peer, ForwardedCancel &message)
{
    ++this->board.openCalls;
    const PeerReplyTarget target{peer.id, message.id};
    this->requests.fetchOrCancel(
        JobRequest{target, RequestOrigin::Peer, std::move(message.team), std::move(message.key), JobRequest::Kind::Cancel, false});
}

void CoordinatorImpl::onMessage(PeerRecord & /*peer*/, ForwardedReply &message)
{
    this->forwards.handle(std::move(message));
}

void CoordinatorImpl::onMessage(PeerRecord & /*peer*/, ConfigUpdate &message)
{
    this->config.handle(message);
}

void CoordinatorImpl::onMessage(PeerRecord & /*peer*/, DrainNotice &message)
{
    this->drains.handle(message);
}

void CoordinatorImpl::onMessage(PeerRecord &peer, SlotRequest &message)
{
    this->slots.handle(peer, message);
}

void CoordinatorImpl::onMessage(PeerRecord &peer, SlotGrant &message)
{
    this->slots.handle(peer, message);
}

void CoordinatorImpl::onMessage(PeerRecord &peer, SlotReturn &message)
{
    this->slots.handle(peer, message);
}

void CoordinatorImpl::onMessage(PeerRecord &peer, ForwardedStatement &message)
{
    this->operators.handle(peer, message);
}

void CoordinatorImpl::onMessage(PeerRecord &peer, QueryRows &message)
{
    this->operators.handle(peer, message);
}

} // namespace

Result<std::unique_ptr<Coordinator>> Coordinator::create(CoordinatorOptions options)
{
    if (options.identity.name.empty() || options.identity.domain.empty() || options.identity.peerAddress.empty()) {
        return makeError(ErrorCode::BadInput, "an instance needs a name, a failure domain and an address for peers", "identity");
    }
    return std::unique_ptr<Coordinator>(std::make_unique<CoordinatorImpl>(std::move(options)));
}

} // namespace Tanagertally
