// The part of the leader that starts, renews, stops and reconciles runs on endpoints.
#include "cells/cell_leader.h"
#include "cells/placement.h"
#include "cells/start_answer.h"

#include <algorithm>
#include <cassert>

namespace Tanagertally::Cells {

namespace {

// About a third of the longest lease, so that a lease survives the loss of two holds.
constexpr Duration HoldWait = std::chrono::milliseconds(350);
constexpr Duration IdleHoldInterval = std::chrono::seconds(4); // Bounds the error of an idle endpoint's clock estimate to 2% of this.
// Unsettled ends make the endpoint answer a hold at once; this bounds the rate.
constexpr Duration UnsettledHoldInterval = std::chrono::milliseconds(25);
constexpr Duration NoAnswerRetryInterval = std::chrono::milliseconds(100); // Between holds of an endpoint that doesn't answer.
// No runs are placed on an endpoint for this long after an unanswered call.
constexpr Duration AvoidAfterNoAnswer = std::chrono::milliseconds(500);
// No runs are placed on an endpoint until a repeated start order is answered or has failed as well.
constexpr Duration AvoidDuringRepetition = std::chrono::milliseconds(150);
constexpr Duration AvoidAfterNoCapacity = std::chrono::milliseconds(50); // The endpoint has runs that this leader doesn't know.
constexpr Duration AvoidAfterRefusal = std::chrono::milliseconds(500); // After an endpoint refused a run, or refused a hold as unhealthy.
constexpr Duration StopRetryInterval = std::chrono::milliseconds(150); // Between stop orders for one run.
// Callers return 1.3 s after they have lost their instance; the rest covers the slowest clock and the way of an order.
constexpr Duration CallerAbsenceLimit = std::chrono::milliseconds(1200);
constexpr Duration OrphanStopTime = std::chrono::milliseconds(100); // In which the stop of an orphan is confirmed and leases are extended.
constexpr std::uint64_t RunsPerToken = 1 << 20; // Run numbers of one leader for one task; lasts 14 hours at a start every 50 ms.
constexpr std::size_t MaxPlacementMisses = 6; // Kinds of jobs that find no endpoint, though one has room, before a pass in order ends.
constexpr std::size_t MaxSweptJobs = 200; // Bounds the time of a sweep over the jobs behind a pass that has ended early.
constexpr Duration SweepInterval = std::chrono::milliseconds(20); // Sweeps reach each of 10,000 jobs within a second.
constexpr std::size_t MaxExaminedJobs = 500; // Bounds the time of a pass.
constexpr Duration SpeedUpdateInterval = std::chrono::milliseconds(100); // Bounds the processor time; speeds change over seconds.
constexpr std::size_t MaxDeferrals = 32; // Jobs that wait for faster endpoints in one pass; bounds its length.
constexpr double PassingFaultSlowness = 2.5; // Lasting speeds differ by less; see EndpointHealth.
constexpr std::size_t MaxListedEnds = 500; // An endpoint lists no more at a time; specified by the platform.
constexpr Duration PassLogInterval = std::chrono::seconds(1); // Bounds the log.
constexpr std::size_t MaxLoggedTasks = 8; // Bounds the length of a line.

std::int64_t toMs(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

/** @return Names of the first tasks that run on an endpoint. */
std::string namesOfRuns(const CellEndpoint &endpoint)
{
    std::string names;
    std::size_t count = 0;
    for (const auto &[task, run] : endpoint.runs) {
        if (++count > MaxLoggedTasks) {
            break;
        }
        names += (names.empty() ? "" : ",") + task.job.value + "." + toText(task);
    }
    return names;
}

} // namespace

bool CellLeader::canGiveOrders(TimePoint now) const
{
    return this->phase == Phase::Leading && now < this->chain.confirmedAt() + UnconfirmedLeadLimit
           && this->chain.confirmedAt() >= this->resumedAt && now <= this->advancedAt + SuspensionLimit;
}

void CellLeader::addToReadyJobs(TimePoint now, CellJob &job)
{
    this->removeFromReadyJobs(job);
    if (this->crashes.concerns(job.id)) {
        this->isolateSuspects(now, job);
    }
    if (job.waiting().empty()) {
        return;
    }
    job.rank = rankOf(job.id, this->urgencyOf(job), now);
    this->readyJobs.insert(*job.rank);
    this->smallestWaitingCpu = std::min(this->smallestWaitingCpu, job.smallestWaitingCpu());
}

void CellLeader::removeFromReadyJobs(CellJob &job)
{
    if (job.rank) {
        this->readyJobs.erase(*job.rank);
        job.rank.reset();
    }
}

void CellLeader::refreshRanks(TimePoint now)
{
    std::vector<std::shared_ptr<CellJob>> changed;
    for (const JobRank &rank : this->readyJobs) {
        const std::shared_ptr<CellJob> job = this->findJob(rank.id);
        if (timelinessOf(this->urgencyOf(*job), now) != rank.timeliness) {
            changed.push_back(job);
        }
    }
    for (const std::shared_ptr<CellJob> &job : changed) {
        this->addToReadyJobs(now, *job);
    }
}

void CellLeader::startReadyJobs(TimePoint now)
{
    this->startIsolatedTasks(now);
    if (!this->canGiveOrders(now) || this->areStartsOver(now)) {
        return;
    }
    if (this->largestFreeCpu(now) < this->smallestWaitingCpu) {
        return;
    }
    this->passCount = 0;
    this->deferrals = 0;
    const ReadyPass pass = this->startReadyJobsFrom(now, this->readyJobs.begin(), {MaxPlacementMisses, MaxExaminedJobs, false});
    this->smallestWaitingCpu = pass.next == this->readyJobs.end() ? pass.smallestDemand : 0;
    if (pass.next == this->readyJobs.end()) {
        this->sweepPosition.reset();
        return;
    }
    this->sweepReadyJobs(now, pass);
}

void CellLeader::sweepReadyJobs(TimePoint now, const ReadyPass &pass)
{
    // Pattern: jobs that can't be placed at the head of the order. A task that no endpoint can run now, for whatever reason, must not keep
    // those behind it from endpoints that have room for them. Best-effort jobs are left out: the order decides which of them end in time.
    const std::int64_t largestRoom = this->largestFreeCpu(now);
    if (now < this->nextSweepAt || largestRoom == 0) {
        return;
    }
    this->nextSweepAt = now + SweepInterval;
    const bool goesOn = this->sweepPosition && *pass.next < *this->sweepPosition;
    const auto first = goesOn ? this->readyJobs.lower_bound(*this->sweepPosition) : pass.next;
    const ReadyPass sweep = this->startReadyJobsFrom(now, first, {MaxSweptJobs, MaxSweptJobs, true});
    this->sweepPosition = sweep.next == this->readyJobs.end() ? std::nullopt : std::optional(*sweep.next);
    if (now < this->lastCutPassLoggedAt + PassLogInterval) {
        return;
    }
    this->lastCutPassLoggedAt = now;
    this->log("pass-cut", {{"examined", std::to_string(pass.examined)},
                           {"misses", std::to_string(pass.misses)},
                           {"swept", std::to_string(sweep.examined)},
                           {"ready", std::to_string(this->readyJobs.size())},
                           {"largest_room", std::to_string(largestRoom)}});
}

CellLeader::ReadyPass CellLeader::startReadyJobsFrom(TimePoint now, std::set<JobRank>::iterator entry, const ReadyPassLimits &limits)
{
    ReadyPass pass;
    std::int64_t largestRoom = this->largestFreeCpu(now);
    while (entry != this->readyJobs.end() && pass.misses < limits.misses && pass.examined < limits.examined) {
        const std::shared_ptr<CellJob> job = this->findJob(entry->id);
        assert(job);
        ++entry;
        if (!this->canStartTasksOf(now, *job) || (limits.areStoredOnly && job->spec.isBestEffort)) {
            continue;
        }
        ++pass.examined;
        const std::int64_t demand = job->smallestWaitingCpu();
        pass.smallestDemand = std::min(pass.smallestDemand, demand);
        if (demand > largestRoom) {
            continue;
        }
        const std::size_t formerDeferrals = this->deferrals;
        const std::uint64_t formerStarts = job->startOrders;
        const StartOutcome outcome = this->startWaitingTasks(now, *job);
        largestRoom = job->startOrders == formerStarts ? largestRoom : this->largestFreeCpu(now);
        if (outcome.isComplete) {
            this->removeFromReadyJobs(*job);
            continue;
        }
        // A task that waits for a faster endpoint leaves room to the jobs behind it.
        const bool isDeferred = this->deferrals != formerDeferrals && this->deferrals <= MaxDeferrals;
        pass.misses += outcome.wasMissed && !isDeferred ? 1 : 0;
        pass.smallestDemand = std::min(pass.smallestDemand, job->smallestWaitingCpu());
        if (job->rank->isUnstarted && job->startOrders > 0) {
            this->addToReadyJobs(now, *job);
        }
    }
    pass.next = entry;
    return pass;
}

std::int64_t CellLeader::largestFreeCpu(TimePoint now) const
{
    std::int64_t largest = 0;
    for (const auto &[name, endpoint] : this->endpoints) {
        const std::int64_t freeCpu = endpoint->freeResources().cpu;
        largest = freeCpu > largest && this->canPlace(now, *endpoint) ? freeCpu : largest;
    }
    return largest;
}

CellLeader::StartOutcome CellLeader::startWaitingTasks(TimePoint now, CellJob &job)
{
    StartOutcome outcome;
    std::deque<TaskRef> &waiting = job.waiting();
    std::vector<std::pair<std::uint32_t, bool>>
        unplaced; // Steps, and whether those of their tasks that found no endpoint have a spare attempt.
    std::size_t position = 0;
    while (position < waiting.size()) {
        const TaskRef &next = waiting[position];
        const bool hasSpare = hasSpareAttempt(job, next);
        const auto isStepOfNext = [&](const auto &entry) { return entry.first == next.step && (entry.second || !hasSpare); };
        if (std::ranges::any_of(unplaced, isStepOfNext) || this->hasRunOf(next)) {
            ++position;
            continue;
        }
        const PlacementChoice choice = this->chooseEndpoint(now, job, next);
        if (!choice.endpoint) {
            outcome.wasMissed = outcome.wasMissed || !choice.wasKnownUnfit;
            unplaced.emplace_back(next.step, hasSpare);
            if (job.spec.steps.size() == 1 && hasSpare) {
                break; // No other task can be placed either.
            }
            ++position;
            continue;
        }
        const TaskRef task = next;
        waiting.erase(waiting.begin() + static_cast<std::ptrdiff_t>(position));
        this->startRun(now, job, task, *choice.endpoint);
    }
    outcome.isComplete = waiting.empty();
    return outcome;
}

bool CellLeader::hasSpareAttempt(CellJob &job, const TaskRef &task)
{
    return job.task(task).failures + 1 < job.terms.maxAttempts; // A trial must not use up the last one while the endpoint's fault may last.
}

PlacementChoice CellLeader::chooseEndpoint(TimePoint now, CellJob &job, const TaskRef &task)
{
    const TimePoint objective = job.acceptedAt + job.urgency.objective;
    const Duration pathAfter = job.pathAfter(task.step);
    const PlacementTask request{task,
                                job.step(task),
                                job.task(task).lastEndpoint,
                                objective,
                                objective - pathAfter,
                                job.acceptedAt + LateFactor * job.urgency.objective - pathAfter,
                                hasSpareAttempt(job, task)};
    const PlacementChoice choice = this->placementPass(now, job.terms.service).choose(now, request, this->remoteFactor);
    if (choice.awaited) {
        this->logDeferral(now, job, task, *choice.awaited);
    }
    return choice;
}

bool CellLeader::canPlace(TimePoint now, const CellEndpoint &endpoint) const
{
    const bool isIsolating = endpoint.isReserved || endpoint.hasRunOnProbation(now);
    return this->acceptsRuns(now, endpoint) && !isIsolating
           && (!endpoint.health.isSuspect() || (endpoint.runs.empty() && endpoint.health.isTrialDue(now)));
}

bool CellLeader::acceptsRuns(TimePoint now, const CellEndpoint &endpoint) const
{
    const bool isAvailable = endpoint.isRegistered && !endpoint.record.isDraining && endpoint.hasListedRuns && endpoint.isInRoster
                             && endpoint.isRecordCurrent() && endpoint.isClockKnown() && now >= endpoint.avoidUntil
                             && endpoint.consecutiveFailures == 0;
    // A start order extends the leases of all runs.
    return isAvailable && !endpoint.hasUnstoppedRun();
}

PlacementPass &CellLeader::placementPass(TimePoint now, const ServiceName &service)
{
    for (std::size_t index = 0; index < this->passCount; ++index) {
        if (this->passes[index].service() == service) {
            return this->passes[index];
        }
    }
    if (this->passCount == this->passes.size()) {
        this->passes.emplace_back();
    }
    PlacementPass &pass = this->passes[this->passCount++];
    pass.begin(service, this->recentDemand.typicalCpu());
    this->gatheredCount += this->endpoints.size();
    for (const auto &[name, endpoint] : this->endpoints) {
        if (endpoint->record.service == service && this->canPlace(now, *endpoint)) {
            pass.add(*endpoint, endpoint->health.slowness(now), endpoint->health.trialTerms(now));
        }
    }
    return pass;
}

std::uint64_t CellLeader::gatheredEndpoints() const
{
    return this->gatheredCount;
}

void CellLeader::logDeferral(TimePoint now, CellJob &job, const TaskRef &task, const CellEndpoint &awaited)
{
    ++this->deferrals;
    if (std::exchange(job.task(task).wasDeferred, true)) {
        return;
    }
    this->log("task-deferred", {{"job", task.job.value},
                                {"task", toText(task)},
                                {"awaited", awaited.record.name.value},
                                {"expected_ms", std::to_string(toMs(expectedRunTime(awaited, job.step(task), this->remoteFactor)))},
                                {"left_ms", std::to_string(toMs(job.acceptedAt + job.urgency.objective - now))}});
}

void CellLeader::updateSpeeds(TimePoint now)
{
    if (now < this->nextSpeedUpdateAt) {
        return;
    }
    this->nextSpeedUpdateAt = now + SpeedUpdateInterval;
    double sum = 0;
    double weights = 0;
    for (const auto &[name, endpoint] : this->endpoints) {
        const double weight = endpoint->isRegistered ? endpoint->speed.confidence() : 0;
        sum += weight * endpoint->speed.level();
        weights += weight;
    }
    const double mean = weights > 0 ? sum / weights : 0;
    for (const auto &[name, endpoint] : this->endpoints) {
        if (endpoint->speed.update(now, mean)) {
            this->log("endpoint-speed", {{"endpoint", name.value}, {"speed", std::to_string(endpoint->speed.factor())}});
        }
    }
}

double CellLeader::effectiveCapacityCpu() const
{
    double capacity = 0;
    for (const auto &[name, endpoint] : this->endpoints) {
        const bool isAvailable
            = endpoint->hasListedRuns && endpoint->isRegistered && !endpoint->record.isDraining && endpoint->consecutiveFailures == 0;
        capacity += isAvailable ? static_cast<double>(endpoint->record.capacity.cpu) * endpoint->speed.factor() : 0;
    }
    return capacity;
}

void CellLeader::stopStalledRuns(TimePoint now, CellEndpoint &endpoint)
{
    for (auto &[ref, run] : endpoint.runs) {
        const std::shared_ptr<CellJob> job = run.phase == RunPhase::Running ? this->findJob(ref.job) : nullptr;
        if (!job || !job->hasTask(ref) || isFinal(job->state)) {
            continue;
        }
        const Duration elapsed = now - run.confirmedAt;
        const Duration estimate = expectedRunTime(endpoint, job->step(ref), this->remoteFactor);
        TaskRecord &task = job->task(ref);
        if (task.wasStalled || estimate == Duration{} || !endpoint.health.isStalled(now, elapsed, estimate)) {
            continue;
        }
        endpoint.health.recordOverdue(now, elapsed, estimate);
        task.wasStalled = true;
        task.lastEndpoint = endpoint.record.name;
        run.phase = RunPhase::Stopping;
        this->log("run-stalled", {{"job", ref.job.value},
                                  {"task", toText(ref)},
                                  {"endpoint", endpoint.record.name.value},
                                  {"elapsed_ms", std::to_string(toMs(elapsed))},
                                  {"estimate_ms", std::to_string(toMs(estimate))}});
        this->orderStop(now, endpoint, ref, run);
    }
}

bool CellLeader::canBeResubmitted(const JobId &job) const
{
    return !this->areOrphansStopped && !this->jobs.contains(job) && !this->ended.contains(job);
}

bool CellLeader::hasRunOf(const TaskRef &task) const
{
    return this->runIndex.contains(task);
}

bool CellLeader::hasRunOf(const CellJob &job) const
{
    for (std::uint32_t step = 0; step < job.spec.steps.size(); ++step) {
        for (std::uint32_t index = 0; index < job.spec.steps[step].count; ++index) {
            if (this->hasRunOf(TaskRef{job.id, step, index})) {
                return true;
            }
        }
    }
    return false;
}

std::uint64_t CellLeader::lastFormerRunNumber(const CellJob &job) const
{
    return std::max((this->chain.token().value - 1) * RunsPerToken, job.runsBefore);
}

std::uint64_t CellLeader::lastRunNumber(const CellJob &job) const
{
    return this->lastFormerRunNumber(job) + RunsPerToken;
}

void CellLeader::startRun(TimePoint now, CellJob &job, const TaskRef &task, CellEndpoint &endpoint)
{
    TaskRecord &record = job.task(task);
    assert(record.phase == TaskPhase::Waiting);
    record.phase = TaskPhase::Placed;
    ++record.starts;
    ++job.placedTasks;
    ++job.startOrders;
    job.firstStartAt = job.firstStartAt.value_or(now);
    assert(record.starts < RunsPerToken);
    RunRecord run;
    run.run = RunNumber(this->lastFormerRunNumber(job) + record.starts);
    run.demand = job.step(task).demand;
    run.confirmedAt = now;
    run.startedAt = now;
    run.expectedEnd = now + expectedRunTime(endpoint, job.step(task), this->remoteFactor);
    const Duration validity = std::min(StartValidity, this->longestRunTimeFor(now, job.id));
    run.startDeadlineMs = endpoint.estimatedClockMs(now) + toMs(this->leaseFor(now, endpoint, validity));
    endpoint.recordGrant(run.startDeadlineMs);
    endpoint.lastStartAt = now;
    this->orderStart(job, task, endpoint, run);
    this->log("task-start", {{"job", task.job.value},
                             {"task", toText(task)},
                             {"run", std::to_string(run.run.value)},
                             {"endpoint", endpoint.record.name.value}});
    endpoint.addRun(task, run);
    this->recentDemand.record(run.demand.cpu);
}

void CellLeader::orderStart(const CellJob &job, const TaskRef &task, const CellEndpoint &endpoint, const RunRecord &run)
{
    this->actions.emplace_back(
        StartRun{endpoint.record.name, endpoint.record.address, task, run.run, job.spec.payload, run.startDeadlineMs, this->chain.token()});
}

bool CellLeader::repeatStart(TimePoint now, const TaskRef &task, CellEndpoint &endpoint, RunRecord &run)
{
    const std::shared_ptr<CellJob> job = this->findJob(task.job);
    const bool canRepeat = !run.isStartRepeated && !run.isCarriedOver && run.phase == RunPhase::Starting && job && !isFinal(job->state)
                           && this->canGiveOrders(now) && this->canStartTasksOf(now, *job);
    if (!canRepeat) {
        return false;
    }
    // The endpoint starts a run number at most once, so the repetition is harmless if the first order was or will be carried out.
    run.isStartRepeated = true;
    run.mayArriveLate = true;
    endpoint.lastStartAt = now;
    endpoint.avoidUntil = std::max(endpoint.avoidUntil, now + AvoidDuringRepetition);
    this->orderStart(*job, task, endpoint, run);
    return true;
}

void CellLeader::onStarted(TimePoint now, const EndpointName &name, const TaskRef &task, RunNumber number, const StartResult &result)
{
    CellEndpoint *endpoint = this->findEndpoint(name);
    if (!endpoint || this->phase != Phase::Leading) {
        return;
    }
    const bool isAnswered = result.kind != StartResult::Kind::NotSent && result.kind != StartResult::Kind::Unknown;
    if (isAnswered) {
        endpoint->consecutiveFailures = 0;
        endpoint->lastContactAt = now;
    }
    const auto found = endpoint->runs.find(task);
    if (found == endpoint->runs.end() || found->second.run != number) {
        return; // The end of the run was listed before this answer arrived.
    }
    RunRecord &run = found->second;
    // The leader that started an adopted run may have repeated the order.
    const StartDecision decision = decideStart({run.phase, run.isStartRepeated || run.mayArriveLate, run.isListed, result.kind});
    const std::shared_ptr<CellJob> job = this->findJob(task.job);
    if (job && decision.isRefused) {
        ++job->refusedStarts;
    }
    if (result.kind != StartResult::Kind::Started) {
        this->log("task-not-started", {{"job", task.job.value},
                                       {"task", toText(task)},
                                       {"run", std::to_string(number.value)},
                                       {"endpoint", name.value},
                                       {"reason", result.detail}});
    }
    if (run.phase == RunPhase::Starting && decision.phase == RunPhase::Running) {
        run.confirmedAt = now;
    }
    run.phase = decision.phase.value_or(run.phase);
    switch (decision.reaction) {
    case StartReaction::None:
        return;
    case StartReaction::RecordStart:
        if (job && job->state == JobState::Queued) {
            job->state = JobState::Running;
        }
        return; // No capacity was freed, so nothing else can start.
    case StartReaction::AwaitListing:
        endpoint->nextHoldAt = now;
        break;
    case StartReaction::Repeat:
        if (this->repeatStart(now, task, *endpoint, run)) {
            return;
        }
        this->giveUpStart(now, task, *endpoint, run);
        break;
    case StartReaction::Stop:
        this->giveUpStart(now, task, *endpoint, run);
        break;
    case StartReaction::Drop:
        this->dropRefusedRun(now, *endpoint, task, result.kind);
        break;
    case StartReaction::DropAll:
        this->dropRun(now, *endpoint, task, "refused");
        this->dropRuns(now, *endpoint, "another incarnation answered");
        break;
    case StartReaction::EndLead:
        this->endLead("an endpoint has seen a higher fencing token", false);
        return;
    }
    this->startReadyJobs(now);
    this->holdEndpoints(now);
}

void CellLeader::giveUpStart(TimePoint now, const TaskRef &task, CellEndpoint &endpoint, RunRecord &run)
{
    assert(run.phase == RunPhase::Starting || run.phase == RunPhase::Unconfirmed);
    this->recordNoAnswer(now, endpoint);
    run.phase = RunPhase::Unconfirmed;
    run.mayArriveLate = true;
    this->orderStop(now, endpoint, task, run);
}

void CellLeader::dropRefusedRun(TimePoint now, CellEndpoint &endpoint, const TaskRef &task, StartResult::Kind refusal)
{
    switch (refusal) {
    case StartResult::Kind::NoCapacity:
        endpoint.avoidUntil = now + AvoidAfterNoCapacity;
        this->dropRun(now, endpoint, task, "no-room");
        return;
    case StartResult::Kind::TooLate:
        endpoint.nextHoldAt = now;
        endpoint.avoidUntil = now + AvoidAfterNoCapacity;
        this->dropRun(now, endpoint, task, "too-late");
        return;
    case StartResult::Kind::NotSent:
        this->recordNoAnswer(now, endpoint);
        this->dropRun(now, endpoint, task, "not-sent");
        return;
    case StartResult::Kind::Superseded:
        this->dropRun(now, endpoint, task, "superseded");
        return;
    default:
        endpoint.avoidUntil = now + AvoidAfterRefusal;
        this->dropRun(now, endpoint, task, "refused");
        return;
    }
}

void CellLeader::onStopped(TimePoint now, const EndpointName &name, const TaskRef &task, RunNumber number, StopResult result)
{
    CellEndpoint *endpoint = this->findEndpoint(name);
    if (!endpoint || this->phase != Phase::Leading) {
        return;
    }
    const auto found = endpoint->runs.find(task);
    if (found == endpoint->runs.end() || found->second.run != number) {
        return;
    }
    RunRecord &run = found->second;
    run.isStopInFlight = false;
    if (std::exchange(run.isStopOutdated, false) && result == StopResult::Confirmed) {
        this->orderStop(now, *endpoint, task, run); // Possibly confirmed by a former incarnation, which doesn't bind the present one.
        return;
    }
    switch (result) {
    case StopResult::Confirmed:
        run.isStopConfirmed = true;
        run.confirmedAt = now;
        endpoint->consecutiveFailures = 0;
        endpoint->nextHoldAt = now;
        break;
    case StopResult::Fenced:
        this->endLead("an endpoint has seen a higher fencing token", false);
        return;
    case StopResult::OtherIncarnation:
        this->dropRuns(now, *endpoint, "another incarnation answered");
        break;
    case StopResult::Unknown:
        run.nextStopAt = now + StopRetryInterval;
        if (!std::exchange(run.isStopUnanswered, true)) {
            this->log("stop-unanswered", {{"job", task.job.value},
                                          {"task", toText(task)},
                                          {"run", std::to_string(number.value)},
                                          {"endpoint", name.value},
                                          {"leases", endpoint->hasUnstoppedRun() ? "not extended" : "extended"}});
        }
        break;
    }
    this->holdEndpoints(now);
}

void CellLeader::onHoldAnswered(TimePoint now, const EndpointName &name, const HoldResult &result)
{
    CellEndpoint *endpoint = this->findEndpoint(name);
    if (!endpoint) {
        return;
    }
    endpoint->isHoldInFlight = false;
    if (this->phase != Phase::Leading) {
        return;
    }
    switch (result.kind) {
    case HoldResult::Kind::Fenced:
        this->endLead("an endpoint has seen a higher fencing token", false);
        return;
    case HoldResult::Kind::OtherIncarnation:
        this->dropRuns(now, *endpoint, "another incarnation answered");
        endpoint->hasListedRuns = true;
        endpoint->isRegistered = false;
        this->unlistedEndpoints.erase(name);
        break;
    case HoldResult::Kind::Unhealthy:
        endpoint->nextHoldAt = now + NoAnswerRetryInterval;
        endpoint->avoidUntil = now + AvoidAfterRefusal;
        break;
    case HoldResult::Kind::Unknown:
        this->recordNoAnswer(now, *endpoint);
        endpoint->nextHoldAt = now + NoAnswerRetryInterval;
        break;
    case HoldResult::Kind::Answered:
        if (!this->isFromPresentIncarnation(now, *endpoint, result)) {
            endpoint->nextHoldAt = now;
            break;
        }
        endpoint->consecutiveFailures = 0;
        endpoint->lastContactAt = now;
        endpoint->wasLostOnProbation = false;
        endpoint->updateClock(now, result.clockMs);
        if (!endpoint->hasListedRuns) {
            // A former leader may have just granted the longest lease, whether or not anything of it still runs.
            endpoint->recordGrant(result.clockMs + toMs(this->options.lease.longest));
        }
        this->isCrashRowDirty = this->crashes.onAnswered(name, result.born) || this->isCrashRowDirty;
        endpoint->recordAcknowledgement(endpoint->sentAcknowledgement);
        endpoint->lastListedAt = now;
        this->reconcileRuns(now, *endpoint, result);
        if (!std::exchange(endpoint->hasListedRuns, true) && this->isRecoverySettled) {
            this->log("endpoint-listed", {{"endpoint", name.value},
                                          {"address", endpoint->record.address.value},
                                          {"known_ms", std::to_string(toMs(now - endpoint->registeredAt))}});
        }
        this->unlistedEndpoints.erase(name);
        endpoint->nextHoldAt = endpoint->hasUnsettledEnds() ? now + UnsettledHoldInterval : now;
        break;
    }
    this->settleRecovery(now);
    this->startReadyJobs(now);
    this->holdEndpoints(now);
    this->flush(now);
}

void CellLeader::updateRegistration(TimePoint now, CellEndpoint &endpoint, const EndpointRecord &record)
{
    const bool isNewBirth = record.born && record.born != endpoint.record.born;
    endpoint.record = record;
    endpoint.isRegistered = true;
    this->isRosterDirty = this->isRosterDirty || !endpoint.isInRoster;
    if (!endpoint.born) {
        endpoint.born = record.born;
    } else if (isNewBirth && *record.born > *endpoint.born && this->phase != Phase::Ended) {
        this->beginIncarnation(now, endpoint, *record.born);
    }
}

bool CellLeader::isFromPresentIncarnation(TimePoint now, CellEndpoint &endpoint, const HoldResult &result)
{
    if (!result.born || result.born == endpoint.born) {
        return true;
    }
    if (!endpoint.born) {
        endpoint.born = result.born;
        return true;
    }
    // Only the present incarnation answers a hold that was sent after it had been seen.
    if (*result.born < *endpoint.born && endpoint.holdSentAt <= endpoint.bornSeenAt) {
        this->log("hold-outdated", {{"endpoint", endpoint.record.name.value},
                                    {"born", std::to_string(*endpoint.born)},
                                    {"answered_born", std::to_string(*result.born)}});
        return false;
    }
    this->beginIncarnation(now, endpoint, *result.born);
    return true;
}

void CellLeader::beginIncarnation(TimePoint now, CellEndpoint &endpoint, std::int64_t born)
{
    this->log("endpoint-restarted",
              {{"endpoint", endpoint.record.name.value},
               {"former_born", std::to_string(*endpoint.born)},
               {"born", std::to_string(born)},
               {"runs", std::to_string(endpoint.runs.size())},
               {"stray_orders", std::to_string(endpoint.strayOrders.size())}},
              true);
    endpoint.beginIncarnation(now, born);
    this->batch.lastListedEnds.erase(endpoint.record.name); // The stored progress covers no end of the new incarnation.
    if (!this->isRecoverySettled && endpoint.isInRoster) {
        this->unlistedEndpoints.insert(
            endpoint.record.name); // It has not seen this leader's token and carries out a former leader's orders.
    }
    for (const StrayOrder &order : endpoint.strayOrders) {
        if (now < order.until && !endpoint.runs.contains(order.task)) {
            this->actions.emplace_back(StopRun{endpoint.record.name, endpoint.record.address, order.task, order.run, this->chain.token()});
        }
    }
    this->recordLoss(now, endpoint, true);
    this->isCrashRowDirty = this->crashes.onReplaced(endpoint.record.name) || this->isCrashRowDirty;
    std::vector<TaskRef> over;
    for (auto &[task, run] : endpoint.runs) {
        if (std::exchange(run.isListed, false) && !run.mayArriveLate) {
            over.push_back(task);
            continue;
        }
        // The new incarnation may have started the run, or may still do so; the next hold or a confirmed stop decides.
        run.isCarriedOver = true;
        run.isStopConfirmed = false;
        run.isStopOutdated = run.isStopInFlight;
        if (run.mayArriveLate && run.phase != RunPhase::Stopping) {
            run.phase = RunPhase::Unconfirmed;
        }
        const bool needsStop = run.phase == RunPhase::Stopping || run.phase == RunPhase::Unconfirmed;
        if (needsStop && !run.isStopInFlight) {
            this->orderStop(now, endpoint, task, run);
        }
    }
    for (const TaskRef &task : over) {
        this->dropRun(now, endpoint, task, "endpoint-restarted");
    }
}

void CellLeader::reconcileRuns(TimePoint now, CellEndpoint &endpoint, const HoldResult &result)
{
    for (const ListedEnd &end : result.finished) {
        this->applyEnd(now, endpoint, end);
    }
    std::unordered_map<TaskRef, RunNumber> listed;
    for (const ListedRun &run : result.running) {
        listed.emplace(run.task, run.run);
        this->adoptRun(now, endpoint, run, result.clockMs);
    }
    if (result.finished.size() >= MaxListedEnds) {
        return; // The end of a run that isn't listed may be behind those that a full list has room for.
    }
    std::vector<std::pair<TaskRef, std::string_view>> lost;
    for (const auto &[task, run] : endpoint.runs) {
        const auto found = listed.find(task);
        if (found != listed.end() && found->second == run.run) {
            continue;
        }
        const bool isStartOver = run.phase == RunPhase::Unconfirmed && !run.isCarriedOver && result.clockMs > run.startDeadlineMs;
        const bool isSettled = run.phase == RunPhase::Running || run.isStopConfirmed;
        if (isStartOver || (isSettled && endpoint.holdSentAt > run.confirmedAt)) {
            lost.emplace_back(task, run.phase == RunPhase::Unconfirmed ? "never-started" : "vanished");
        }
    }
    for (const auto &[task, reason] : lost) {
        this->dropRun(now, endpoint, task, reason);
    }
}

void CellLeader::adoptRun(TimePoint now, CellEndpoint &endpoint, const ListedRun &listed, std::int64_t clockMs)
{
    const auto found = endpoint.runs.find(listed.task);
    if (found != endpoint.runs.end()) {
        RunRecord &known = found->second;
        if (known.run != listed.run) {
            return;
        }
        known.isListed = true;
        known.mayArriveLate = known.mayArriveLate && known.isStartRepeated;
        if (known.phase == RunPhase::Starting) {
            known.phase = RunPhase::Running;
            known.confirmedAt = now;
        }
        return;
    }
    // The leader that started the run may have just granted the longest lease.
    endpoint.recordGrant(clockMs + toMs(this->options.lease.longest));
    const std::shared_ptr<CellJob> job = this->findJob(listed.task.job);
    RunRecord run;
    run.run = listed.run;
    run.confirmedAt = now;
    run.startedAt = now;
    run.isListed = true;
    run.mayArriveLate = true; // The leader that started the run may have repeated the order.
    const bool isKnownTask = job && job->hasTask(listed.task);
    // The demand of an unknown run is unknown, so the endpoint counts as full until the run ends.
    run.demand = isKnownTask ? job->step(listed.task).demand : endpoint.freeResources();
    const bool isWanted = isKnownTask && !isFinal(job->state) && job->task(listed.task).phase == TaskPhase::Unaccounted;
    if (isWanted) {
        run.phase = RunPhase::Running;
        job->task(listed.task).phase = TaskPhase::Placed;
        ++job->placedTasks;
        job->state = JobState::Running;
    } else {
        // The instance that submitted the job may still resubmit it.
        run.phase = this->canBeResubmitted(listed.task.job) ? RunPhase::Running : RunPhase::Stopping;
    }
    const bool isStopped = run.phase == RunPhase::Stopping;
    run.mayReturn = isStopped;
    this->log(isWanted ? "run-adopted" : "run-unwanted", {{"job", listed.task.job.value},
                                                          {"task", toText(listed.task)},
                                                          {"run", std::to_string(listed.run.value)},
                                                          {"endpoint", endpoint.record.name.value}});
    endpoint.addRun(listed.task, run);
    if (isStopped) {
        this->orderStop(now, endpoint, listed.task, endpoint.runs.at(listed.task));
    }
}

void CellLeader::applyEnd(TimePoint now, CellEndpoint &endpoint, const ListedEnd &end)
{
    const std::shared_ptr<CellJob> job = this->findJob(end.task.job);
    const bool isKnownTask = job && job->hasTask(end.task);
    const bool changesProgress = end.outcome == RunOutcome::Done || end.outcome == RunOutcome::Failed;
    const bool awaitsStore = isKnownTask && changesProgress && !job->spec.isBestEffort;
    // A best-effort job may be run again by its submitter, so its ends need no recovery.
    const bool isStored = (job && !job->spec.isBestEffort) || this->ended.contains(end.task.job);
    if (!endpoint.noteEnd(end.number, {awaitsStore ? std::optional(end.task.job) : std::nullopt, isStored && !this->isRecoverySettled})) {
        return;
    }
    const auto found = endpoint.runs.find(end.task);
    const bool isCurrent = found != endpoint.runs.end() && found->second.run == end.run;
    if (isCurrent) {
        const Duration took = now - found->second.confirmedAt;
        // The start of an adopted run isn't known, and that of a repeated order is known badly.
        const bool isStartKnown = found->second.expectedEnd != TimePoint{} && !found->second.isStartRepeated;
        endpoint.removeRun(now, end.task);
        if (end.outcome == RunOutcome::Done && isKnownTask) {
            this->isCrashRowDirty = this->crashes.forgetTask(end.task) || this->isCrashRowDirty;
            this->recordRunTime(now, endpoint, took, job->step(end.task), isStartKnown);
            this->serviceRate.recordEnd(estimatedTaskWork(job->step(end.task)));
        } else if (end.outcome == RunOutcome::Failed) {
            endpoint.health.recordFailure(now, end.task.job);
        }
    }
    this->log("task-end", {{"job", end.task.job.value},
                           {"task", toText(end.task)},
                           {"run", std::to_string(end.run.value)},
                           {"endpoint", endpoint.record.name.value},
                           {"how", std::string(toString(end.outcome))},
                           {"current", isCurrent ? "yes" : "no"}});
    if (this->canBeResubmitted(end.task.job)) {
        this->orphanEnds[end.task] = end.outcome;
    }
    if (!isKnownTask) {
        return;
    }
    TaskRecord &task = job->task(end.task);
    const bool endsPlacement = isCurrent && task.phase == TaskPhase::Placed;
    if (endsPlacement) {
        --job->placedTasks;
    }
    const bool isPlacedElsewhere = task.phase == TaskPhase::Placed && !isCurrent;
    // The end is acknowledged, so it has to count whatever became of the task before it was listed.
    const bool isOpen = !isFinal(job->state) && task.phase != TaskPhase::Done;
    if (isOpen && end.outcome == RunOutcome::Done && !isPlacedElsewhere) {
        if (job->state == JobState::Queued) {
            job->state = JobState::Running;
        }
        job->markDone(end.task);
    } else if (isOpen && end.outcome == RunOutcome::Failed) {
        task.lastEndpoint = endpoint.record.name;
        if (job->markFailedRun(end.task, end.run)) {
            this->stopRuns(now, job->id);
        } else if (endsPlacement) {
            this->repeatTask(*job, end.task);
        }
    } else if (isOpen && endsPlacement) {
        this->repeatTask(*job, end.task);
    }
    if (awaitsStore) {
        this->markProgressDirty(now, *job);
    }
    if (job->spec.isBestEffort && isFinal(job->state)) {
        this->finishBestEffort(now, job);
        return;
    }
    this->addToReadyJobs(now, *job);
}

void CellLeader::recordRunTime(TimePoint now, CellEndpoint &endpoint, Duration took, const StepSpec &step, bool isStartKnown)
{
    const bool hasPassingFault = endpoint.health.slowness(now) > PassingFaultSlowness;
    // The lasting speed is accounted for already, so that the health judges the rest only.
    endpoint.health.recordSuccess(now, took, expectedRunTime(endpoint, step, this->remoteFactor));
    const bool isDistanceKnown = this->remoteFactor > 1 || !isFarFromData(endpoint.record, step);
    if (isStartKnown && isDistanceKnown) {
        endpoint.speed.record(now, took, meanRunTime(endpoint.record, step, this->remoteFactor), this->speedLevel, hasPassingFault);
    }
}

void CellLeader::dropRun(TimePoint now, CellEndpoint &endpoint, TaskRef ref, std::string_view reason)
{
    const auto found = endpoint.runs.find(ref);
    assert(found != endpoint.runs.end());
    const RunPhase runPhase = found->second.phase;
    endpoint.removeRun(now, ref);
    const std::shared_ptr<CellJob> job = this->findJob(ref.job);
    if (!job || !job->hasTask(ref) || job->task(ref).phase != TaskPhase::Placed) {
        return;
    }
    if (runPhase == RunPhase::Running || runPhase == RunPhase::Unconfirmed) {
        this->log(
            "run-lost",
            {{"job", ref.job.value}, {"task", toText(ref)}, {"endpoint", endpoint.record.name.value}, {"reason", std::string(reason)}});
    }
    --job->placedTasks;
    if (isFinal(job->state)) {
        job->task(ref).phase = TaskPhase::Unaccounted;
        return;
    }
    this->repeatTask(*job, ref);
    this->addToReadyJobs(now, *job);
}

void CellLeader::repeatTask(CellJob &job, const TaskRef &task)
{
    if (job.wasRecovered && !job.spec.isBestEffort && !this->isRecoverySettled) {
        // An endpoint that isn't listed yet may hold the end that uses up the task's attempts.
        job.task(task).phase = TaskPhase::Unaccounted;
        return;
    }
    job.makeWaiting(task);
}

void CellLeader::dropRuns(TimePoint now, CellEndpoint &endpoint, std::string_view reason)
{
    if (!endpoint.runs.empty()) {
        this->log("endpoint-lost",
                  {{"endpoint", endpoint.record.name.value},
                   {"address", endpoint.record.address.value},
                   {"runs", std::to_string(endpoint.runs.size())},
                   {"tasks", namesOfRuns(endpoint)},
                   {"silent_ms", std::to_string(toMs(now - endpoint.lastContactAt))},
                   {"reason", std::string(reason)}},
                  true);
    }
    const bool isReplaced = reason != LeaseLapsedReason;
    this->recordLoss(now, endpoint, isReplaced);
    this->isCrashRowDirty = (isReplaced && this->crashes.onReplaced(endpoint.record.name)) || this->isCrashRowDirty;
    std::vector<TaskRef> tasks;
    for (auto &[task, run] : endpoint.runs) {
        run.mayArriveLate = run.mayArriveLate || run.phase == RunPhase::Starting;
        tasks.push_back(task);
    }
    for (const TaskRef &task : tasks) {
        this->dropRun(now, endpoint, task, reason);
    }
}

void CellLeader::recordNoAnswer(TimePoint now, CellEndpoint &endpoint)
{
    if (endpoint.consecutiveFailures++ == 0) {
        endpoint.unreachableSince = now;
    }
    endpoint.avoidUntil = now + AvoidAfterNoAnswer;
    endpoint.nextHoldAt = std::min(endpoint.nextHoldAt, now);
}

void CellLeader::stopRuns(TimePoint now, const JobId &job)
{
    const bool isBestEffort = this->jobs.at(job)->spec.isBestEffort;
    for (auto &[name, endpoint] : this->endpoints) {
        for (auto &[task, run] : endpoint->runs) {
            if (task.job != job) {
                continue;
            }
            run.mayReturn = isBestEffort;
            if (run.phase == RunPhase::Stopping) {
                continue;
            }
            if (run.phase != RunPhase::Unconfirmed) {
                run.phase = RunPhase::Stopping;
            }
            if (!run.isStopInFlight) {
                this->orderStop(now, *endpoint, task, run);
            }
        }
    }
}

void CellLeader::orderStop(TimePoint now, CellEndpoint &endpoint, const TaskRef &task, RunRecord &run)
{
    run.isStopInFlight = true;
    run.nextStopAt = now + StopRetryInterval;
    this->actions.emplace_back(StopRun{endpoint.record.name, endpoint.record.address, task, run.run, this->chain.token()});
}

void CellLeader::holdEndpoints(TimePoint now)
{
    if (!this->canGiveOrders(now)) {
        return;
    }
    for (auto &[name, endpoint] : this->endpoints) {
        if (endpoint->isHoldInFlight || now < endpoint->nextHoldAt) {
            continue;
        }
        const bool isIdle
            = endpoint->hasListedRuns && endpoint->runs.empty() && !endpoint->hasUnacknowledgedEnds() && endpoint->consecutiveFailures == 0;
        if (isIdle && (!endpoint->isRegistered || now < endpoint->lastContactAt + IdleHoldInterval)) {
            continue;
        }
        this->sendHold(now, *endpoint);
    }
}

Duration CellLeader::leaseFor(TimePoint now, const CellEndpoint &endpoint, Duration wanted) const
{
    if (endpoint.hasUnstoppedRun()) {
        return Duration{};
    }
    Duration lease = wanted;
    for (const auto &[task, run] : endpoint.runs) {
        lease = std::min(lease, this->longestRunTimeFor(now, task.job));
    }
    return std::max(lease, Duration{});
}

Duration CellLeader::longestRunTimeFor(TimePoint now, const JobId &job) const
{
    if (const auto call = this->bestEffortCalls.find(job); call != this->bestEffortCalls.end()) {
        // The caller may have lost its instance when that was last heard, and may have the job run in another cell by the end of this time.
        const Duration silence = this->options.callerSilence(call->second.call);
        return silence > CallerAbsenceLimit ? Duration{} : CallerAbsenceLimit - silence;
    }
    if (this->areOrphansStopped || this->jobs.contains(job)) {
        return Duration::max();
    }
    // The caller may have lost its instance together with the former leader, or, if that loss wasn't seen here, at any time before.
    const TimePoint returnsAt = this->options.formerLeaderSeenAt + CallerAbsenceLimit;
    return std::min(this->orphanDeadline() + OrphanStopTime, returnsAt) - now;
}

void CellLeader::sendHold(TimePoint now, CellEndpoint &endpoint)
{
    HoldEndpoint hold{
        endpoint.record.name, endpoint.record.address, this->chain.token(), std::nullopt, endpoint.acknowledgementToSend(now), Duration{}};
    // An endpoint that doesn't answer gets no lease extension; otherwise its leases would never expire and its runs never be repeated.
    if (endpoint.isClockKnown() && !endpoint.runs.empty() && endpoint.consecutiveFailures == 0) {
        // The leases lapse before the job of an unstopped run, or of an orphan, can return; the runs beside it are lost only if its stop
        // isn't confirmed by then.
        if (const Duration lease = this->leaseFor(now, endpoint, this->options.lease.longest); lease > Duration{}) {
            hold.deadlineMs = endpoint.estimatedClockMs(now) + toMs(lease);
            endpoint.recordGrant(*hold.deadlineMs);
        }
        hold.maxDelay = endpoint.hasListedRuns ? HoldWait : Duration{};
    }
    endpoint.isHoldInFlight = true;
    endpoint.holdSentAt = now;
    endpoint.sentAcknowledgement = hold.acknowledgedEnd;
    this->actions.emplace_back(std::move(hold));
}

CellEndpoint *CellLeader::findEndpoint(const EndpointName &name)
{
    const auto found = this->endpoints.find(name);
    return found == this->endpoints.end() ? nullptr : found->second.get();
}

} // namespace Tanagertally::Cells
