#include "node/node.h"

#include "core/hash_func.h"

#include <algorithm>
#include <array>

namespace Tanagertally::Cells {

namespace {

constexpr Duration MaxRoomWait = std::chrono::seconds(2); // A fleet whose endpoints are all away still tells its callers so.
constexpr Duration MovedRetryDelay = std::chrono::milliseconds(20); // A released lead is claimed by another instance within about 50 ms.
constexpr Duration CallRetryDelay = std::chrono::milliseconds(60); // Used while a cell has no reachable leader.
constexpr std::size_t MaxCachedJobs = 20000; // Two minutes of jobs at 160 a second for one instance; uses 2 MB.
constexpr Duration EvacuatedRetryAfter = std::chrono::seconds(2); // Operators take domains back after seconds at the earliest.
constexpr Duration SuspendedRetryAfter = std::chrono::seconds(1); // The smallest value of the header; requests are served again by then.
constexpr Duration NoCellRetryAfter = std::chrono::seconds(1); // A vacant cell gets a new leader within about this time.

/** @return Whether another cell may take a job that was refused for this reason. */
bool concernsOneCellOnly(std::string_view refusal)
{
    constexpr std::array Reasons = {NotLeadingReason, NoEndpointReason, OverloadedReason, EvacuatedReason, SuspendedReason, NoMemoryReason};
    return std::ranges::find(Reasons, refusal) != Reasons.end();
}

} // namespace

Node::Node(NodeOptions nodeOptions, NodePorts nodePorts)
    : options(std::move(nodeOptions))
    , ports(std::move(nodePorts))
    , startedAt(this->ports.now())
    , suspensionWatch(this->startedAt)
    , memory(this->options.maxHeapBytes)
{
}

bool Node::setConfig(FleetConfig config)
{
    if (config.version <= this->fleetConfig.version) {
        return false;
    }
    const auto numberOf = [](const FleetConfig &any) { return any.operatorVersion ? std::to_string(*any.operatorVersion) : "unknown"; };
    this->log("config", {{"version", numberOf(config)},
                         {"former", numberOf(this->fleetConfig)},
                         {"row_version", std::to_string(config.version)},
                         {"queues", std::to_string(config.queues.size())}});
    const auto nameOf = [](const ServiceConfig &service) { return service.name; };
    const bool haveServicesChanged = !std::ranges::equal(config.services, this->fleetConfig.services, {}, nameOf, nameOf);
    this->fleetConfig = std::move(config);
    if (haveServicesChanged && this->areEndpointsKnown) {
        this->setEndpoints(std::move(this->endpoints));
    }
    return true;
}

const FleetConfig &Node::config() const
{
    return this->fleetConfig;
}

bool Node::isConfigOutdated() const
{
    return this->advertisedConfigVersion > this->fleetConfig.version;
}

void Node::detectSuspension(TimePoint now)
{
    const std::optional<Duration> gap = this->suspensionWatch.recordActivity(now);
    if (!gap) {
        return;
    }
    std::size_t openSubmissions = 0;
    for (auto &[call, pending] : this->calls) {
        const bool isBestEffort = pending.kind == PendingCall::Kind::Submission && pending.job->first.isBestEffort;
        pending.mayBeOld = pending.mayBeOld || isBestEffort;
        openSubmissions += isBestEffort ? 1 : 0;
    }
    this->log("resumed", {{"gap_ms", std::to_string(*gap / std::chrono::milliseconds(1))}, {"open_calls", std::to_string(openSubmissions)}},
              true);
}

void Node::submit(CallId call, JobId id, JobSpec spec, JobTerms terms, TimePoint deadline)
{
    const TimePoint now = this->ports.now();
    this->detectSuspension(now);
    if (!this->memory.admitTransient(now, estimateMemory(spec))) {
        this->answerWithoutMemory(call, id, spec);
        return;
    }
    const CallId ownCall(++this->lastCall);
    PendingCall &pending = this->calls[ownCall];
    pending.kind = PendingCall::Kind::Submission;
    pending.origin = call;
    pending.id = std::move(id);
    pending.mayBeOld = spec.isBestEffort && this->suspensionWatch.mayInputBeOld(now);
    pending.job = std::make_shared<const std::pair<JobSpec, JobTerms>>(std::move(spec), std::move(terms));
    pending.deadline = deadline - this->options.callReserve;
    this->submitToCell(ownCall, pending);
}

void Node::answerWithoutMemory(CallId call, const JobId &id, const JobSpec &spec)
{
    // An earlier submission of a stored job may have been accepted, which only its leader knows.
    const SubmitVerdict verdict = spec.isBestEffort ? SubmitVerdict::Refused : SubmitVerdict::Unknown;
    this->log("submission-answered",
              {{"job", id.value}, {"verdict", spec.isBestEffort ? "refused" : "unknown"}, {"reason", std::string(NoMemoryReason)}});
    this->ports.answerSubmission(call, {verdict, std::string(NoMemoryReason), NoMemoryRetryAfter, {}});
}

void Node::submitQuestion(CallId call, JobId id, JobQuestion question, TimePoint deadline)
{
    const CallId ownCall(++this->lastCall);
    PendingCall &pending = this->calls[ownCall];
    pending.kind = PendingCall::Kind::Question;
    pending.origin = call;
    pending.id = std::move(id);
    pending.question = question;
    pending.deadline = deadline - this->options.callReserve;
    this->sendQuestion(ownCall, pending);
}

void Node::dropCall(CallId call)
{
    const auto found = std::ranges::find_if(
        this->calls, [call](const auto &entry) { return entry.second.connection == 0 && entry.second.origin == call; });
    if (found == this->calls.end()) {
        return;
    }
    const CallId ownCall = found->first;
    const PendingCall pending = std::move(found->second);
    this->calls.erase(found);
    if (pending.kind == PendingCall::Kind::Submission && pending.isAwaitingAnswer) {
        this->withdraw(ownCall, pending);
    }
}

void Node::withdraw(CallId call, const PendingCall &pending)
{
    this->log("submission-withdrawn", {{"job", pending.id.value}, {"cell", pending.cell.value}});
    if (!pending.leader.empty()) {
        this->links.send(pending.leader, encodeLinkMessage(LinkWithdraw{call, pending.cell}));
        return;
    }
    if (const auto ledCell = this->ledCells.find(pending.cell); ledCell != this->ledCells.end()) {
        ledCell->second.leader->withdraw(this->ports.now(), call);
        this->runActions(pending.cell);
    }
}

void Node::submitToCell(CallId call, PendingCall &pending)
{
    if (pending.mayBeOld) {
        // The caller of a best-effort job submits it again elsewhere after it has given up, and nobody there knows of this submission.
        pending.cell = CellName();
        this->onSubmitAnswer(call, {SubmitVerdict::Refused, std::string(SuspendedReason), SuspendedRetryAfter, {}});
        return;
    }
    const auto &[spec, terms] = *pending.job;
    CellDemand demand;
    demand.spreadKey = stableHash(pending.id.value);
    for (const StepSpec &step : spec.steps) {
        demand.work += estimatedTaskWork(step) * step.count;
        demand.cpu += static_cast<double>(step.demand.cpu) * step.count;
        demand.longestTask = std::max(demand.longestTask, step.estimate);
        if (demand.affinity.empty()) {
            demand.affinity = step.affinity;
        }
    }
    const std::chrono::duration<double, std::nano> idealSlack = (terms.stretch - 1) * estimateCriticalPath(spec);
    demand.slack = std::chrono::duration_cast<Duration>(idealSlack) + terms.targetDuration;
    for (const CellName &cell : rankCells(this->cells, this->options.self.domain, demand)) {
        if (std::ranges::find(pending.triedCells, cell) != pending.triedCells.end()) {
            continue;
        }
        CellView &view = this->cells.at(cell);
        if (!isWorthOffering(view, demand, pending.overloadRefusals)) {
            continue;
        }
        pending.cell = cell;
        pending.leader = view.leader;
        pending.isAwaitingAnswer = true;
        view.sentWork += demand.work;
        view.sentCpu += demand.cpu;
        const auto ledCell = this->ledCells.find(cell);
        if (ledCell != this->ledCells.end()) {
            pending.leader = InstanceName();
            ledCell->second.leader->submit(this->ports.now(), call, pending.id, spec, terms, false, pending.deadline);
            this->runActions(cell);
            return;
        }
        if (this->links.send(view.leader,
                             encodeLinkMessage(LinkSubmit{call, cell, pending.id, spec, terms, false, this->patienceOf(pending)}))) {
            return;
        }
        pending.isAwaitingAnswer = false;
        pending.triedCells.push_back(cell);
    }
    pending.cell = CellName();
    if (this->areAllDomainsEvacuated()) {
        this->onSubmitAnswer(call, {SubmitVerdict::Refused, std::string(EvacuatedReason), EvacuatedRetryAfter, {}});
        return;
    }
    this->onSubmitAnswer(call,
                         {SubmitVerdict::Refused, pending.triedCells.empty() ? "no-leader" : "no-cell-takes-it", NoCellRetryAfter, {}});
}

Duration Node::patienceOf(const PendingCall &pending) const
{
    return std::max(pending.deadline - this->ports.now(), Duration{});
}

void Node::resubmit(CallId call, PendingCall &pending)
{
    const auto &[spec, terms] = *pending.job;
    const CellView &view = this->cells.at(pending.cell);
    const auto ledCell = this->ledCells.find(pending.cell);
    if (ledCell != this->ledCells.end() && ledCell->second.leader->isLeading()) {
        pending.isAwaitingAnswer = true;
        pending.leader = InstanceName();
        const CellName cell = pending.cell;
        ledCell->second.leader->submit(this->ports.now(), call, pending.id, spec, terms, true, pending.deadline);
        this->runActions(cell);
        return;
    }
    const LinkSubmit message{call, pending.cell, pending.id, spec, terms, true, this->patienceOf(pending)};
    const bool isSent = !view.leader.empty() && !view.hasLeadEnded && view.leader != this->options.self.name
                        && this->links.send(view.leader, encodeLinkMessage(message));
    if (!isSent) {
        pending.retryAt = this->ports.now() + MovedRetryDelay;
        return;
    }
    pending.isAwaitingAnswer = true;
    pending.leader = view.leader;
}

void Node::scheduleRetry(PendingCall &pending)
{
    pending.isAwaitingAnswer = false;
    pending.mayHaveRun = true;
    pending.retryAt = this->ports.now();
}

void Node::scheduleRetriesInCell(const CellName &cell, const InstanceName &formerLeader)
{
    for (auto &[call, pending] : this->calls) {
        if (pending.connection == 0 && pending.isAwaitingAnswer && pending.cell == cell && pending.leader == formerLeader) {
            this->scheduleRetry(pending);
        }
    }
}

void Node::onSubmitAnswer(CallId call, SubmitAnswer answer)
{
    const auto found = this->calls.find(call);
    if (found == this->calls.end()) {
        return;
    }
    PendingCall &pending = found->second;
    if (pending.kind == PendingCall::Kind::RemoteSubmission) {
        this->links.reply(pending.connection, encodeLinkMessage(LinkSubmitReply{pending.origin, std::move(answer)}));
        this->calls.erase(found);
        return;
    }
    pending.isAwaitingAnswer = false;
    const bool hasLeadMoved = answer.reason == LeadMovedReason || (pending.mayHaveRun && answer.reason == NotLeadingReason);
    if (answer.verdict == SubmitVerdict::Refused && hasLeadMoved) {
        this->scheduleRetry(pending);
        pending.retryAt += MovedRetryDelay;
        return;
    }
    if (answer.verdict == SubmitVerdict::Refused && pending.mayHaveRun) {
        // A former leader may have run the job, so this refusal doesn't prove that it was not run.
        answer = {SubmitVerdict::Unknown, "a former leader may have run it", {}, {}};
    }
    const bool canTryOtherCell = answer.verdict == SubmitVerdict::Refused && !pending.cell.empty() && concernsOneCellOnly(answer.reason);
    if (canTryOtherCell && this->ports.now() < pending.deadline) {
        pending.triedCells.push_back(pending.cell);
        pending.overloadRefusals += answer.reason == OverloadedReason ? 1 : 0;
        this->submitToCell(call, pending);
        return;
    }
    if (answer.verdict == SubmitVerdict::Accepted) {
        this->cacheCellOf(pending.id, pending.cell);
    } else if (answer.verdict != SubmitVerdict::Ended) {
        this->log("submission-answered", {{"job", pending.id.value},
                                          {"verdict", answer.verdict == SubmitVerdict::Refused ? "refused" : "unknown"},
                                          {"reason", answer.reason},
                                          {"cell", pending.cell.value}});
    }
    const CallId origin = pending.origin;
    this->calls.erase(found);
    this->ports.answerSubmission(origin, std::move(answer));
}

void Node::sendQuestion(CallId call, PendingCall &pending)
{
    if (pending.cell.empty()) {
        const auto known = this->cellOfJob.find(pending.id);
        if (known == this->cellOfJob.end()) {
            pending.isLookingUpCell = true;
            this->lookUpCell(call, pending.id);
            return;
        }
        pending.cell = known->second;
    }
    const auto cell = this->cells.find(pending.cell);
    if (cell == this->cells.end()) {
        this->onJobAnswer(call, {JobAnswer::Kind::Unknown, JobState::Queued});
        return;
    }
    if (const auto ledCell = this->ledCells.find(pending.cell); ledCell != this->ledCells.end()) {
        if (pending.question == JobQuestion::State) {
            this->onJobAnswer(call, ledCell->second.leader->query(pending.id));
            return;
        }
        pending.isAwaitingAnswer = true;
        pending.leader = InstanceName();
        const CellName name = pending.cell;
        ledCell->second.leader->cancel(this->ports.now(), call, pending.id);
        this->runActions(name);
        return;
    }
    const InstanceName &leader = cell->second.leader;
    const bool isSent = !leader.empty() && leader != this->options.self.name && !cell->second.hasLeadEnded
                        && this->links.send(leader, encodeLinkMessage(LinkJobQuestion{call, pending.cell, pending.id, pending.question}));
    pending.isAwaitingAnswer = isSent;
    pending.leader = leader;
    if (!isSent) {
        pending.retryAt = this->ports.now() + CallRetryDelay;
    }
}

void Node::lookUpCell(CallId call, const JobId &id)
{
    const RowKey key = idKey(id);
    this->ports.read({key.table, key.partition, key.key, 1}, [this, call, key](const ReadResult &result) {
        const auto found = this->calls.find(call);
        if (found == this->calls.end()) {
            return;
        }
        PendingCall &pending = found->second;
        pending.isLookingUpCell = false;
        if (!result.isAnswered) {
            pending.retryAt = this->ports.now() + CallRetryDelay;
            return;
        }
        const auto row = std::ranges::find(result.rows, key, &Row::key);
        if (row == result.rows.end()) {
            this->onJobAnswer(call, {JobAnswer::Kind::NoSuchJob, JobState::Queued});
            return;
        }
        pending.cell = CellName(row->value);
        pending.isCellFromStore = true;
        this->cellOfJob.erase(pending.id);
        this->cacheCellOf(pending.id, pending.cell);
        this->sendQuestion(call, pending);
    });
}

void Node::onJobAnswer(CallId call, JobAnswer answer)
{
    const auto found = this->calls.find(call);
    if (found == this->calls.end()) {
        return;
    }
    PendingCall &pending = found->second;
    if (pending.kind == PendingCall::Kind::RemoteQuestion) {
        this->links.reply(pending.connection, encodeLinkMessage(LinkJobReply{pending.origin, answer}));
        this->calls.erase(found);
        return;
    }
    pending.isAwaitingAnswer = false;
    const TimePoint now = this->ports.now();
    // Only the store can confirm that a job doesn't exist: a leader may have lost its lead unnoticed, or another cell has the job.
    if (answer.kind == JobAnswer::Kind::NoSuchJob && !pending.cell.empty()) {
        answer.kind = JobAnswer::Kind::Unknown;
        const bool contradictsStore = std::exchange(pending.isCellFromStore, false);
        this->cellOfJob.erase(pending.id);
        pending.cell = CellName();
        if (!contradictsStore && now < pending.deadline) {
            this->sendQuestion(call, pending);
            return;
        }
    }
    if (answer.kind == JobAnswer::Kind::Unknown && now < pending.deadline) {
        pending.retryAt = now + CallRetryDelay;
        return;
    }
    if (answer.kind != JobAnswer::Kind::Known) {
        this->log("question-answered", {{"job", pending.id.value},
                                        {"answer", answer.kind == JobAnswer::Kind::Unknown ? "unknown" : "no-such-job"},
                                        {"cell", pending.cell.value}});
    }
    const CallId origin = pending.origin;
    this->calls.erase(found);
    this->ports.answerJob(origin, answer);
}

void Node::retryCalls(TimePoint now)
{
    std::vector<CallId> due;
    for (const auto &[call, pending] : this->calls) {
        const bool isLocal = pending.connection == 0;
        const bool isWaiting = !pending.isAwaitingAnswer && !pending.isLookingUpCell && now >= pending.retryAt;
        if (isLocal && (now >= pending.deadline || isWaiting)) {
            due.push_back(call);
        }
    }
    for (const CallId call : due) {
        const auto found = this->calls.find(call);
        if (found == this->calls.end()) {
            continue;
        }
        PendingCall &pending = found->second;
        const bool isExpired = now >= pending.deadline;
        if (pending.kind == PendingCall::Kind::Submission && pending.mayBeOld && !isExpired) {
            this->onSubmitAnswer(call, {SubmitVerdict::Unknown, std::string(SuspendedReason), {}, {}});
        } else if (pending.kind == PendingCall::Kind::Submission && !isExpired) {
            this->resubmit(call, pending);
        } else if (pending.kind == PendingCall::Kind::Submission) {
            if (pending.isAwaitingAnswer) {
                this->withdraw(call, pending);
            }
            this->onSubmitAnswer(call, {SubmitVerdict::Unknown, std::string(NoAnswerInTimeReason), {}, {}});
        } else if (isExpired) {
            this->onJobAnswer(call, {JobAnswer::Kind::Unknown, JobState::Queued});
        } else {
            this->sendQuestion(call, pending);
        }
    }
}

void Node::answerOpenCallsAsUnknown()
{
    std::vector<CallId> open;
    for (const auto &[call, pending] : this->calls) {
        if (pending.connection == 0) {
            open.push_back(call);
        }
    }
    for (const CallId call : open) {
        const auto found = this->calls.find(call);
        if (found == this->calls.end()) {
            continue; // A withdrawal may end the jobs of others.
        }
        PendingCall &pending = found->second;
        if (pending.kind == PendingCall::Kind::Submission) {
            if (pending.isAwaitingAnswer) {
                this->withdraw(call, pending);
            }
            pending.cell = CellName();
            this->onSubmitAnswer(call, {SubmitVerdict::Unknown, "the instance stops", {}, {}});
        } else {
            pending.deadline = this->ports.now();
            this->onJobAnswer(call, {JobAnswer::Kind::Unknown, JobState::Queued});
        }
    }
}

void Node::scheduleRetriesFor(const InstanceName &instance)
{
    for (const auto &[cell, view] : this->cells) {
        this->scheduleRetriesInCell(cell, instance);
    }
}

void Node::cacheCellOf(const JobId &id, const CellName &cell)
{
    if (!this->cellOfJob.emplace(id, cell).second) {
        return;
    }
    this->cachedJobs.push_back(id);
    if (this->cachedJobs.size() > MaxCachedJobs) {
        this->cellOfJob.erase(this->cachedJobs.front());
        this->cachedJobs.pop_front();
    }
}

std::optional<std::uint64_t> Node::countPendingJobs(const QueueName &queue) const
{
    if (!this->areLayoutsComplete()) {
        return std::nullopt;
    }
    std::uint64_t sum = 0;
    for (const auto &[name, view] : this->cells) {
        const auto ledCell = this->ledCells.find(name);
        const CellLoad &load = view.load;
        if (ledCell != this->ledCells.end() && ledCell->second.leader->isLeading()) {
            const CellLoad ownLoad = ledCell->second.leader->load();
            const auto count = ownLoad.pendingJobs.find(queue);
            sum += count == ownLoad.pendingJobs.end() ? 0 : count->second;
            continue;
        }
        if (view.leader.empty() || view.hasLeadEnded || !this->links.isLinked(view.leader)) {
            return std::nullopt;
        }
        const auto count = load.pendingJobs.find(queue);
        sum += count == load.pendingJobs.end() ? 0 : count->second;
    }
    return sum;
}

void Node::logRefusal(const JobId &id, std::string_view reason) const
{
    this->log("submission-malformed", {{"job", id.value}, {"reason", std::string(reason)}});
}

void Node::logRefusedRequest(std::string_view reason) const
{
    this->log("request-refused", {{"reason", std::string(reason)}});
}

void Node::logUnknownQueue(std::string_view host, std::string_view path) const
{
    this->log("queue-unknown", {{"host", std::string(host)},
                                {"path", std::string(path)},
                                {"row_version", std::to_string(this->fleetConfig.version)},
                                {"complete", this->fleetConfig.areQueuesComplete ? "yes" : "no"},
                                {"advertised", std::to_string(this->advertisedConfigVersion)}});
}

TimePoint Node::now() const
{
    return this->ports.now();
}

bool Node::leadsCells() const
{
    return !this->ledCells.empty();
}

bool Node::isReady() const
{
    if (this->isLeaving || this->fleetConfig.version == 0 || !this->reachesLeader()) {
        return false;
    }
    // Until a cell with endpoints is known, each job would be refused.
    return this->hasKnownRoom || (this->reachesLeaderSince && this->ports.now() >= *this->reachesLeaderSince + MaxRoomWait);
}

void Node::updateReadiness(TimePoint now)
{
    if (this->hasKnownRoom || !this->reachesLeader()) {
        return;
    }
    this->reachesLeaderSince = this->reachesLeaderSince.value_or(now);
    this->hasKnownRoom = std::ranges::any_of(this->cells, [](const auto &entry) { return entry.second.load.capacityCpu > 0; });
    if (this->hasKnownRoom) {
        this->log("room-known", {{"waited_ms", std::to_string((now - *this->reachesLeaderSince) / std::chrono::milliseconds(1))}});
    }
}

bool Node::reachesLeader() const
{
    return std::ranges::any_of(this->cells, [this](const auto &entry) {
        const CellView &view = entry.second;
        const bool isReachable = view.leader == this->options.self.name || this->links.isLinked(view.leader);
        return !view.leader.empty() && !view.hasLeadEnded && isReachable;
    });
}

bool Node::isIdle() const
{
    return this->ledCells.empty() && this->calls.empty();
}

void Node::tick()
{
    const TimePoint now = this->ports.now();
    this->detectSuspension(now);
    this->links.tick();
    while (!this->delayedTasks.empty() && this->delayedTasks.begin()->first <= now) {
        const auto due = this->delayedTasks.extract(this->delayedTasks.begin());
        due.mapped()();
    }
    this->heartbeat(now);
    if (!this->areLayoutsComplete()) {
        this->chooseLayouts(now);
    }
    std::vector<CellName> names;
    for (const auto &[cell, entry] : this->ledCells) {
        names.push_back(cell);
    }
    for (const CellName &cell : names) {
        this->ledCells.at(cell).leader->advance(now);
        this->runActions(cell);
    }
    this->planTransfers(now);
    this->retryCalls(now);
    if (now >= this->nextPlanAt) {
        this->planLeads(now);
    }
    if (this->areLinksDue) {
        this->updateLinks();
    }
    if (this->isAdvertDue || now >= this->nextAdvertAt) {
        this->advertise(now);
    }
    this->updateReadiness(now);
}

void Node::callLater(Duration delay, std::function<void()> task)
{
    this->delayedTasks.emplace(this->ports.now() + delay, std::move(task));
}

void Node::log(std::string event, std::vector<std::pair<std::string, std::string>> fields, bool isWarning) const
{
    this->ports.log(WriteLogLine{std::move(event), std::move(fields), isWarning});
}

} // namespace Tanagertally::Cells
