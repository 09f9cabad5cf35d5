#include "cost_instance.h"

#include <fmt/format.h>

namespace Tanagertally {

using namespace std::chrono_literals;

namespace {

constexpr Duration SettleTime = 3s;
constexpr Duration ListInterval = 500ms;
constexpr Duration HeartbeatInterval = 100ms;
constexpr Duration RunTime = 50ms;
constexpr Duration JobTimeout = 60s;
const FailureDomain Domain("d0");

FleetConfig makeConfig()
{
    FleetConfig config;
    KindConfig kind;
    kind.name = KindName("lookup");
    kind.idempotence = Idempotence::Idempotent;
    kind.urgency = Urgency::Urgent;
    kind.expectedRunTime = RunTime;
    config.kinds = {kind};
    config.policy.maxQueueWait = JobTimeout;
    return config;
}

InstanceIdentity identityOf(std::uint32_t index)
{
    return InstanceIdentity{InstanceName(fmt::format("e{}", index)), Domain, NetAddress(fmt::format("10.0.0.1:{}", 7000 + index)),
                            Incarnation(index + 1)};
}

} // namespace

CostInstance::CostInstance(const CostSizes &sizes)
    : sizes(sizes)
{
    CoordinatorOptions options;
    options.identity = identityOf(0);
    options.initialConfig = makeConfig();
    this->coordinator = std::move(Coordinator::create(std::move(options)).value());
    this->feed(InstanceListRead{this->makeList()});
    for (std::uint32_t peer = 1; peer <= sizes.peers; ++peer) {
        this->feed(PeerUp{PeerId(peer), Hello{PeerProtocolVersion, identityOf(peer)}});
    }
    this->pass(SettleTime);
}

InstanceList CostInstance::makeList() const
{
    InstanceList list;
    for (std::uint32_t endpoint = 0; endpoint < this->sizes.endpoints; ++endpoint) {
        list.endpoints.push_back(ListedEndpoint{WorkerName(fmt::format("w{}", endpoint)), RackName(fmt::format("r{}", endpoint / 6)),
                                                Domain, NetAddress(fmt::format("10.0.1.1:{}", 9000 + endpoint)), this->sizes.slots,
                                                ListedState::Live});
    }
    for (std::uint32_t instance = 0; instance <= this->sizes.peers; ++instance) {
        const InstanceIdentity identity = identityOf(instance);
        list.instances.push_back(ListedInstance{identity.name, Domain, identity.peerAddress, ListedState::Live});
    }
    return list;
}

void CostInstance::feed(Event event)
{
    ++this->eventCount;
    this->coordinator->handle(this->now, std::move(event), this->actions);
    this->execute();
    while (!this->replies.empty()) {
        ++this->eventCount;
        PlatformReplied reply = std::move(this->replies.front());
        this->replies.pop_front();
        this->coordinator->handle(this->now, std::move(reply), this->actions);
        this->execute();
    }
}

void CostInstance::execute()
{
    for (Action &action : this->actions) {
        this->execute(action);
    }
    this->actions.clear();
}

void CostInstance::execute(Action &action)
{
    if (auto *start = std::get_if<StartAttempt>(&action)) {
        this->running.push_back(start->attempt);
    } else if (auto *ask = std::get_if<SendPlatformRequest>(&action)) {
        this->replies.push_back(PlatformReplied{ask->id, this->platform.execute(ask->request)});
    } else if (auto *reply = std::get_if<ReplyToCaller>(&action)) {
        if (auto *keys = std::get_if<KeysIssued>(&reply->reply)) {
            this->lastKeys = std::move(keys->keys);
        } else if (auto *answer = std::get_if<JobAnswer>(&reply->reply)) {
            this->completeCount += answer->outcome == JobOutcome::Complete ? 1 : 0;
        }
    }
}

void CostInstance::pass(Duration time)
{
    const TimePoint end = this->now + time;
    TimePoint nextList = this->now;
    TimePoint nextHeartbeat = this->now;
    while (this->now < end) {
        if (this->now >= nextList) {
            nextList += ListInterval;
            this->feed(InstanceListRead{this->makeList()});
        }
        if (this->now >= nextHeartbeat) {
            nextHeartbeat += HeartbeatInterval;
            for (std::uint32_t peer = 1; peer <= this->sizes.peers; ++peer) {
                this->feed(PeerMessageReceived{PeerId(peer), Heartbeat{}});
            }
        }
        if (this->coordinator->nextDeadline() <= this->now) {
            this->coordinator->advance(this->now, this->actions);
            this->execute();
        }
        while (!this->replies.empty()) {
            PlatformReplied reply = std::move(this->replies.front());
            this->replies.pop_front();
            this->feed(std::move(reply));
        }
        const TimePoint due = std::max(this->coordinator->nextDeadline(), this->now + 1us);
        this->now = std::min({due, nextList, nextHeartbeat, end});
    }
}

void CostInstance::finishAttempts()
{
    while (!this->running.empty()) {
        std::vector<AttemptId> ended;
        ended.swap(this->running);
        this->now += 1us;
        for (const AttemptId attempt : ended) {
            this->feed(AttemptEnded{attempt, AttemptOutcome::Succeeded, this->payload, {}, RunTime});
        }
    }
}

void CostInstance::submit(const TeamName &team, const JobKey &key, std::uint32_t tasks)
{
    JobSpec spec;
    spec.timeout = JobTimeout;
    spec.tasks.assign(tasks, TaskSpec{KindName("lookup"), this->payload, {}});
    this->feed(JobSubmitted{RequestId(++this->lastRequest), team, key, std::move(spec)});
}

std::vector<JobKey> CostInstance::issueKeys(const TeamName &team, std::uint32_t count)
{
    this->feed(KeysRequested{RequestId(++this->lastRequest), team, count});
    return std::move(this->lastKeys);
}

} // namespace Tanagertally
