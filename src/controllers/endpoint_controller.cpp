#include "controllers/endpoint_controller.h"

#include "core/hash_func.h"

#include <algorithm>

namespace Tanagertally {

namespace {

constexpr std::uint32_t FailuresToEject = 3; // tasks in a row
constexpr std::uint32_t ConnectFailuresToUnreachable = 2; // connects in a row
constexpr Duration FirstEjection = std::chrono::seconds(2);
constexpr Duration LongestEjection = std::chrono::seconds(60);
constexpr Duration FirstProbePause = std::chrono::milliseconds(500);
constexpr Duration LongestProbePause = std::chrono::seconds(8);
constexpr Duration BusyPause = std::chrono::milliseconds(20);
constexpr Duration ProbeTimeout = std::chrono::milliseconds(300);
constexpr Duration LeavingRecheck = std::chrono::seconds(2);
constexpr Duration CheckInterval = std::chrono::milliseconds(100);

} // namespace

EndpointController::EndpointController(Blackboard &board, Outbox &outbox)
    : board(board)
    , outbox(outbox)
{
}

void EndpointController::setProbeEndedHandler(std::function<void(EndpointId)> handler)
{
    this->probeEndedHandler = std::move(handler);
}

void EndpointController::handle(const InstanceList &list)
{
    for (const ListedEndpoint &listed : list.endpoints) {
        if (listed.domain == this->board.identity.domain) {
            this->addOrUpdate(listed);
        }
    }
    this->removeMissing(list);
    this->recomputeShares();
}

void EndpointController::addOrUpdate(const ListedEndpoint &listed)
{
    EndpointRecord *endpoint = this->board.endpoints.find(listed.worker);
    if (endpoint != nullptr && endpoint->listed.address != listed.address) {
        this->outbox.emit(RemoveEndpoint{endpoint->id});
        this->board.endpoints.remove(endpoint->id);
        endpoint = nullptr;
    }
    if (endpoint == nullptr) {
        endpoint = &this->board.endpoints.add(listed);
        this->outbox.emit(AddEndpoint{endpoint->id, listed.address});
        this->outbox.log("endpoint-added", {{"worker", listed.worker.value}, {"address", listed.address.value}});
    }
    endpoint->listed = listed;
    endpoint->leaving.listed = listed.state == ListedState::Leaving;
    this->applyDeparture(*endpoint);
}

void EndpointController::removeMissing(const InstanceList &list)
{
    std::unordered_set<WorkerName> named;
    for (const ListedEndpoint &listed : list.endpoints) {
        named.insert(listed.worker);
    }
    std::vector<EndpointId> gone;
    for (auto &[id, endpoint] : this->board.endpoints.all()) {
        if (named.contains(endpoint.listed.worker)) {
            continue;
        }
        endpoint.leaving.listed = true;
        this->applyDeparture(endpoint);
        if (endpoint.inFlight == 0) {
            gone.push_back(id);
        }
    }
    for (const EndpointId id : gone) {
        this->outbox.emit(RemoveEndpoint{id});
        this->board.endpoints.remove(id);
    }
}

void EndpointController::setDrained(const WorkerName &worker, bool drained)
{
    EndpointRecord *endpoint = this->board.endpoints.find(worker);
    if (endpoint == nullptr || endpoint->leaving.drained == drained) {
        return;
    }
    endpoint->leaving.drained = drained;
    this->applyDeparture(*endpoint);
}

void EndpointController::applyDeparture(EndpointRecord &endpoint)
{
    const bool leaving = endpoint.leaving.any();
    if (endpoint.lifecycle.apply(leaving ? EndpointEvent::LeavingReported : EndpointEvent::LeavingWithdrawn)) {
        this->outbox.log("endpoint-state",
                         {{"worker", endpoint.listed.worker.value}, {"state", std::string(toString(endpoint.lifecycle.state()))}});
    }
    this->updateAvailability(endpoint);
}

void EndpointController::updateAvailability(EndpointRecord &endpoint)
{
    const EndpointState state = endpoint.lifecycle.state();
    const bool inTrial = state == EndpointState::Trial && endpoint.inFlight == 0;
    const bool acceptsTask = state == EndpointState::Live && (endpoint.consecutiveFailures == 0 || endpoint.inFlight == 0);
    const bool paused = endpoint.busyUntil > this->board.now;
    this->board.endpoints.setAvailable(endpoint, (inTrial || acceptsTask) && endpoint.freeSlots() > 0 && !paused);
}

void EndpointController::recordEvidence(EndpointId id, EndpointEvidence evidence, TimePoint startedAt)
{
    EndpointRecord *endpoint = this->board.endpoints.find(id);
    if (endpoint == nullptr) {
        return;
    }
    switch (evidence) {
    case EndpointEvidence::Succeeded:
        endpoint->answeredAt = this->board.now;
        endpoint->consecutiveConnectFailures = 0;
        if (startedAt < endpoint->failedAt) {
            break;
        }
        endpoint->consecutiveFailures = 0;
        if (endpoint->lifecycle.apply(EndpointEvent::TrialSucceeded)) {
            endpoint->ejections = 0;
        }
        break;
    case EndpointEvidence::Failed:
        this->countFailure(*endpoint);
        break;
    case EndpointEvidence::Busy:
        endpoint->busyUntil = this->board.now + BusyPause;
        this->nextCheck = std::min(this->nextCheck, endpoint->busyUntil);
        break;
    case EndpointEvidence::ReportedLeaving:
        if (!endpoint->leaving.selfReported) {
            this->board.leavingToAnnounce.push_back(endpoint->listed.worker);
        }
        endpoint->leaving.selfReported = true;
        endpoint->leavingReportedAt = this->board.now;
        this->applyDeparture(*endpoint);
        break;
    case EndpointEvidence::ConnectFailed:
        ++endpoint->consecutiveConnectFailures;
        if (endpoint->consecutiveConnectFailures >= ConnectFailuresToUnreachable
            && endpoint->lifecycle.apply(EndpointEvent::ConnectFailed)) {
            this->outbox.log("endpoint-unreachable", {{"worker", endpoint->listed.worker.value}});
        }
        break;
    case EndpointEvidence::None:
        break;
    }
    this->updateAvailability(*endpoint);
}

void EndpointController::countFailure(EndpointRecord &endpoint)
{
    ++endpoint.consecutiveFailures;
    endpoint.failedAt = this->board.now;
    if (endpoint.lifecycle.state() == EndpointState::Trial) {
        this->eject(endpoint);
        return;
    }
    if (endpoint.consecutiveFailures >= FailuresToEject && this->isEjectionAllowed()) {
        this->eject(endpoint);
    }
}

bool EndpointController::isEjectionAllowed() const
{
    const auto &all = this->board.endpoints.all();
    const auto isOutOfService = [](const auto &entry) {
        const EndpointState state = entry.second.lifecycle.state();
        return state == EndpointState::Ejected || state == EndpointState::Trial;
    };
    const auto outOfService = static_cast<double>(std::count_if(all.begin(), all.end(), isOutOfService));
    return outOfService + 1 <= std::max(1.0, this->board.config.policy.ejectedShare * static_cast<double>(all.size()));
}

void EndpointController::eject(EndpointRecord &endpoint)
{
    const bool changed = endpoint.lifecycle.state() == EndpointState::Trial ? endpoint.lifecycle.apply(EndpointEvent::TrialFailed)
                                                                            : endpoint.lifecycle.apply(EndpointEvent::FailedRepeatedly);
    if (!changed) {
        return;
    }
    const std::uint32_t doublings = std::min(endpoint.ejections, 5U);
    ++endpoint.ejections;
    const Duration length = std::min(LongestEjection, FirstEjection * (1U << doublings));
    endpoint.ejectedUntil = this->board.now + length;
    this->outbox.log("endpoint-ejected", {{"worker", endpoint.listed.worker.value},
                                          {"failures", std::to_string(endpoint.consecutiveFailures)},
                                          {"ms", std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(length).count())}});
}

void EndpointController::recomputeShares()
{
    std::vector<InstanceName> members{this->board.identity.name};
    for (const auto &[id, peer] : this->board.peers.all()) {
        if (peer.identity.domain == this->board.identity.domain && !peer.stopping) {
            members.push_back(peer.identity.name);
        }
    }
    std::sort(members.begin(), members.end());
    const auto own = std::find(members.begin(), members.end(), this->board.identity.name);
    const auto rank = static_cast<std::size_t>(own - members.begin());
    for (auto &[id, endpoint] : this->board.endpoints.all()) {
        const std::size_t offset = stableHash(endpoint.listed.worker.value) % members.size();
        const std::size_t position = (rank + members.size() - offset) % members.size();
        const std::uint32_t base = endpoint.listed.slots / static_cast<std::uint32_t>(members.size());
        const bool extra = position < endpoint.listed.slots % members.size();
        endpoint.share = base + (extra ? 1 : 0);
        this->updateAvailability(endpoint);
    }
}

void EndpointController::probe(EndpointRecord &endpoint)
{
    if (endpoint.probe != ProbeId()) {
        return;
    }
    endpoint.probe = ProbeId(++this->lastProbe);
    this->probes[endpoint.probe] = endpoint.id;
    ++this->board.stats.probes;
    this->outbox.emit(ProbeEndpoint{endpoint.probe, endpoint.id, ProbeTimeout});
}

void EndpointController::handle(const ProbeEnded &ended)
{
    const auto found = this->probes.find(ended.probe);
    if (found == this->probes.end()) {
        return;
    }
    const EndpointId id = found->second;
    this->probes.erase(found);
    EndpointRecord *endpoint = this->board.endpoints.find(id);
    if (endpoint == nullptr) {
        return;
    }
    endpoint->probe = ProbeId();
    if (!ended.answered) {
        endpoint->probeBackoff = std::clamp(endpoint->probeBackoff * 2, FirstProbePause, LongestProbePause);
        endpoint->nextProbeAt = this->board.now + endpoint->probeBackoff;
        endpoint->consecutiveConnectFailures = ConnectFailuresToUnreachable;
        endpoint->lifecycle.apply(EndpointEvent::ConnectFailed);
        this->updateAvailability(*endpoint);
        this->probeEndedHandler(id);
        return;
    }
    endpoint->consecutiveConnectFailures = 0;
    endpoint->probeBackoff = Duration::zero();
    endpoint->answeredAt = this->board.now;
    endpoint->lifecycle.apply(EndpointEvent::ProbeAnswered);
    endpoint->leaving.selfReported = ended.leaving;
    endpoint->leavingReportedAt = this->board.now;
    this->applyDeparture(*endpoint);
    this->probeEndedHandler(id);
}

void EndpointController::advance()
{
    if (this->board.now < this->nextCheck) {
        return;
    }
    this->nextCheck = this->board.now + CheckInterval;
    for (auto &[id, endpoint] : this->board.endpoints.all()) {
        const EndpointState state = endpoint.lifecycle.state();
        if (state == EndpointState::Ejected && endpoint.ejectedUntil <= this->board.now) {
            endpoint.lifecycle.apply(EndpointEvent::EjectionEnded);
        }
        const bool isReportedLeaving = state == EndpointState::Leaving && endpoint.leaving.selfReported && !endpoint.leaving.listed;
        const bool recheck = isReportedLeaving && this->board.now - endpoint.leavingReportedAt > LeavingRecheck;
        const bool probeDue = state == EndpointState::Unreachable && this->board.now >= endpoint.nextProbeAt;
        if (probeDue || recheck) {
            this->probe(endpoint);
        }
        this->updateAvailability(endpoint);
    }
}

TimePoint EndpointController::nextDeadline() const
{
    return this->nextCheck;
}

} // namespace Tanagertally
