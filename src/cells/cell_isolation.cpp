// The part of the leader that isolates tasks under which endpoints were lost, and fails the jobs of deadly ones; see CrashHistory.
//
// Pattern: caution that costs more than it protects. A suspect that waits for an endpoint without runs waits for as long as each endpoint
// has something to do, and many suspects that run one after the other wait for each other. An empty endpoint is better evidence and keeps
// others from harm, so a suspect waits for one; but only for a moment, and then runs beside others.
#include "cells/cell_leader.h"
#include "cells/placement.h"

#include <algorithm>
#include <cassert>
#include <tuple>

namespace Tanagertally::Cells {

namespace {

// Endpoints that are lost by one cause stop answering within the interval of holds.
constexpr Duration CommonCauseWindow = std::chrono::milliseconds(400);
constexpr std::size_t IsolationDivisor = 4; // Share of the endpoints that suspects may take from other tasks, or leave to new ones.
constexpr Duration IsolationPatience = std::chrono::seconds(1); // A task that could run has to be running within 3 s.
constexpr Duration SettledRunAge = std::chrono::seconds(1); // A run that has lasted as long is seldom the next to crash its endpoint.

std::string namesOf(const std::vector<LostTask> &tasks)
{
    std::string names;
    for (const LostTask &lost : tasks) {
        names += (names.empty() ? "" : ",") + lost.task.job.value + "." + toText(lost.task) + (lost.wasRunning ? "" : "?");
    }
    return names;
}

/** @return Whether a run was on probation when its endpoint was lost, and no other run there is suspected as well. */
bool isOnlySuspect(const CellEndpoint &endpoint, const RunRecord &run, const CrashHistory &crashes, TimePoint lostAt)
{
    return run.probationUntil > lostAt && std::ranges::all_of(endpoint.runs, [&](const auto &entry) {
               const auto &[task, other] = entry;
               return &other == &run
                      || (other.probationUntil <= lostAt && other.startedAt + SettledRunAge <= run.startedAt
                          && !crashes.hasLossAtAge(task, lostAt - other.startedAt));
           });
}

bool isSettled(const RunRecord &run, TimePoint now)
{
    return run.phase != RunPhase::Starting && run.startedAt + SettledRunAge <= now;
}

/** @return Whether an endpoint has room for a task beside its runs. */
bool hasRoomBeside(const CellEndpoint &endpoint, const TaskRef &task, const StepSpec &step)
{
    const auto sameStep = std::ranges::count_if(
        endpoint.runs, [&task](const auto &entry) { return entry.first.job == task.job && entry.first.step == task.step; });
    return step.demand.fitsInto(endpoint.freeResources())
           && (step.maxPerEndpoint == 0 || sameStep < static_cast<std::ptrdiff_t>(step.maxPerEndpoint));
}

} // namespace

std::size_t CellLeader::countLossesAround(TimePoint time) const
{
    return static_cast<std::size_t>(std::ranges::count_if(this->endpoints, [time](const auto &entry) {
        const CellEndpoint &endpoint = *entry.second;
        // The loss of an endpoint with an isolated run has a cause already.
        return endpoint.consecutiveFailures > 0 && !endpoint.wasLostOnProbation && !endpoint.hasRunOnProbation(endpoint.unreachableSince)
               && endpoint.unreachableSince + CommonCauseWindow >= time && endpoint.unreachableSince <= time + CommonCauseWindow;
    }));
}

std::vector<LostTask> CellLeader::unfinishedTasksOn(const CellEndpoint &endpoint, bool isReplaced, TimePoint lostAt) const
{
    std::vector<LostTask> tasks;
    for (const auto &[task, run] : endpoint.runs) {
        // An endpoint that left the first order unanswered may leave the end unlisted as well, and crash when the run is over.
        const bool wasAnswered = (run.phase == RunPhase::Running || run.phase == RunPhase::Stopping) && !run.isStartRepeated;
        const bool isConfirmed = wasAnswered || run.isListed;
        const std::shared_ptr<CellJob> job = this->findJob(task.job);
        // The order of a run that wasn't confirmed may have met the incarnation that replaced the crashed one.
        if (job && job->hasTask(task) && !isFinal(job->state) && (isConfirmed || !isReplaced)) {
            const Duration ranFor = std::clamp<Duration>(lostAt - run.startedAt, Duration{}, MaxEstimate);
            tasks.push_back({task, isConfirmed, ranFor, isOnlySuspect(endpoint, run, this->crashes, lostAt)});
        }
    }
    return tasks;
}

std::vector<EndpointName> CellLeader::predecessorsOf(const CellEndpoint &endpoint) const
{
    std::vector<EndpointName> names;
    for (const auto &[name, other] : this->endpoints) {
        // Of registrations that were first seen together, either may be the older one; a call to the endpoint tells.
        const bool mayBeOlder = other->registeredAt <= endpoint.registeredAt;
        if (name != endpoint.record.name && other->record.address == endpoint.record.address && mayBeOlder) {
            names.push_back(name);
        }
    }
    return names;
}

void CellLeader::recordLoss(TimePoint now, CellEndpoint &endpoint, bool isReplaced)
{
    const TimePoint lostAt = endpoint.consecutiveFailures > 0 ? endpoint.unreachableSince : now;
    std::vector<LostTask> tasks = this->unfinishedTasksOn(endpoint, isReplaced, lostAt);
    if (tasks.empty() || endpoint.record.isDraining) {
        return;
    }
    endpoint.wasLostOnProbation = endpoint.hasRunOnProbation(lostAt);
    if (!isReplaced && endpoint.consecutiveFailures == 0) {
        return; // The leases lapsed because this leader did not renew them.
    }
    if (!isReplaced && !endpoint.wasLostOnProbation) {
        const std::size_t lostAtOnce = this->countLossesAround(endpoint.unreachableSince);
        if (hasCommonCause(lostAtOnce, this->endpoints.size())) {
            this->log("losses-by-common-cause",
                      {{"endpoint", endpoint.record.name.value}, {"lost", std::to_string(lostAtOnce)}, {"tasks", namesOf(tasks)}});
            return;
        }
    }
    const bool isAlone = endpoint.runs.size() == 1;
    this->log("tasks-suspected", {{"endpoint", endpoint.record.name.value},
                                  {"tasks", namesOf(tasks)},
                                  {"alone", isAlone ? "yes" : "no"},
                                  {"crash", isReplaced ? "confirmed" : "unconfirmed"}});
    const LossState state = isReplaced ? LossState::Crashed : LossState::Unconfirmed;
    const bool hadOnlySuspect = std::ranges::any_of(tasks, &LostTask::wasOnlySuspect);
    this->crashes.recordLoss({endpoint.record.name, endpoint.record.address, endpoint.born, state, isAlone, std::move(tasks), now,
                              hadOnlySuspect, this->predecessorsOf(endpoint)});
    this->isCrashRowUrgent = true;
}

void CellLeader::isolateSuspects(TimePoint now, CellJob &job)
{
    const std::deque<TaskRef> waiting = job.waiting();
    for (const TaskRef &task : waiting) {
        if (this->crashes.verdict(task, now) != CrashVerdict::None) {
            job.isolate(task);
            this->isolatedTasks.push_back({task, now});
        }
    }
}

void CellLeader::IsolationRoom::takeOne()
{
    this->usual -= std::min<std::size_t>(this->usual, 1);
    this->overdue -= std::min<std::size_t>(this->overdue, 1);
}

CellLeader::IsolationRoom CellLeader::isolationRoom(TimePoint now) const
{
    std::size_t available = 0;
    std::size_t taken = 0;
    for (const auto &[name, endpoint] : this->endpoints) {
        available += endpoint->isRegistered && endpoint->hasListedRuns && !endpoint->record.isDraining ? 1 : 0;
        taken += endpoint->hasRunOnProbation(now) ? 1 : 0;
    }
    const std::size_t share = std::max<std::size_t>(available / IsolationDivisor, 1);
    const std::size_t rest = std::max<std::size_t>(available - std::min(available, share), 1);
    // While no other task waits, the share is left to those that come.
    const std::size_t limit = this->readyJobs.empty() ? rest : share;
    const std::size_t overdueLimit = std::max(limit, available - std::min<std::size_t>(available, 1));
    return {limit - std::min(limit, taken), overdueLimit - std::min(overdueLimit, taken)};
}

bool CellLeader::awaitsEvidence(const CellJob &job, TimePoint now) const
{
    if (job.rank || !this->crashes.concerns(job.id)) {
        return false;
    }
    const auto isOfJob = [&job](const IsolatedTask &waiting) { return waiting.task.job == job.id; };
    const auto awaits = [&](const IsolatedTask &waiting) {
        return !isOfJob(waiting) || this->crashes.verdict(waiting.task, now) == CrashVerdict::AwaitEvidence;
    };
    return std::ranges::any_of(this->isolatedTasks, isOfJob) && std::ranges::all_of(this->isolatedTasks, awaits);
}

bool CellLeader::settleIsolatedTask(TimePoint now, const TaskRef &task, CrashVerdict verdict)
{
    const std::shared_ptr<CellJob> job = this->findJob(task.job);
    if (!job || !job->hasTask(task) || isFinal(job->state) || job->task(task).phase != TaskPhase::Isolated) {
        return true;
    }
    if (verdict == CrashVerdict::Deadly) {
        this->failDeadlyJob(now, job, task);
        return true;
    }
    const bool canBeAbandoned = job->spec.isBestEffort && job->placedTasks == 0;
    if (canBeAbandoned && timelinessOf(this->urgencyOf(*job), now) == JobTimeliness::TooLate) {
        this->abandonJob(now, job);
        return true;
    }
    if (verdict == CrashVerdict::None) {
        job->makeWaiting(task);
        this->addToReadyJobs(now, *job);
        return true;
    }
    return false;
}

void CellLeader::startIsolatedTasks(TimePoint now)
{
    if (this->isolatedTasks.empty() && !this->hasReservations) {
        return;
    }
    this->hasReservations = false;
    for (auto &[name, endpoint] : this->endpoints) {
        endpoint->isReserved = false;
    }
    // The next leader has to know of a loss before its tasks can cause another one.
    const bool areLossesStored = !this->isCrashRowUrgent && !this->batch.storesCrashes;
    const bool canStart = this->canGiveOrders(now) && !this->areStartsOver(now) && areLossesStored;
    IsolationRoom room = canStart ? this->isolationRoom(now) : IsolationRoom();
    for (const IsolatedTask &waiting : std::exchange(this->isolatedTasks, {})) {
        const TaskRef &task = waiting.task;
        const CrashVerdict verdict = this->crashes.verdict(task, now);
        if (this->settleIsolatedTask(now, task, verdict)) {
            continue;
        }
        const std::shared_ptr<CellJob> job = this->findJob(task.job);
        const bool isDue = canStart && verdict == CrashVerdict::RunOnProbation && !this->hasRunOf(task) && this->canStartTasksOf(now, *job);
        const bool isOverdue = now >= waiting.since + IsolationPatience;
        CellEndpoint *endpoint = isDue && room.usual > 0 ? this->chooseForIsolation(now, *job, waiting) : nullptr;
        CellEndpoint *shared = isDue && isOverdue && !endpoint ? this->chooseForSharedProbation(now, *job, waiting) : nullptr;
        if (isDue && isOverdue && !endpoint && !shared && room.overdue > 0) {
            endpoint = this->chooseForIsolation(now, *job, waiting);
        }
        if (endpoint) {
            room.takeOne();
        }
        CellEndpoint *chosen = endpoint ? endpoint : shared;
        if (!chosen || chosen->isReserved) {
            this->isolatedTasks.push_back(waiting);
            continue;
        }
        this->startOnProbation(now, *job, waiting, *chosen);
    }
}

void CellLeader::startOnProbation(TimePoint now, CellJob &job, const IsolatedTask &waiting, CellEndpoint &endpoint)
{
    const Duration probation = this->crashes.probationOf(waiting.task);
    this->log("task-on-probation",
              {{"job", waiting.task.job.value},
               {"task", toText(waiting.task)},
               {"endpoint", endpoint.record.name.value},
               {"runs_beside", std::to_string(endpoint.runs.size())},
               {"losses", std::to_string(this->crashes.lossesUnder(waiting.task))},
               {"waited_ms", std::to_string((now - waiting.since) / std::chrono::milliseconds(1))},
               {"probation_ms", probation == Duration::max() ? "unlimited" : std::to_string(probation / std::chrono::milliseconds(1))}});
    job.makeWaiting(waiting.task);
    std::erase(job.waiting(), waiting.task);
    this->startRun(now, job, waiting.task, endpoint);
    endpoint.runs.at(waiting.task).probationUntil = probation == Duration::max() ? TimePoint::max() : now + probation;
}

CellEndpoint *CellLeader::chooseForIsolation(TimePoint now, const CellJob &job, const IsolatedTask &waiting)
{
    /** How a task gets to run on an endpoint, best first. */
    enum class Way : std::uint8_t { Empty, SoonEmpty, BesideSettledRuns, BesideAnyRuns };
    // Compared lexicographically; the smallest rank is the best.
    using Rank = std::tuple<bool, Way, TimePoint, std::ptrdiff_t, std::size_t, bool, bool, double>;
    const StepSpec &step = job.step(waiting.task);
    const TimePoint patientUntil = waiting.since + IsolationPatience;
    CellEndpoint *best = nullptr;
    Rank bestRank;
    for (auto &[name, endpoint] : this->endpoints) {
        const EndpointRecord &record = endpoint->record;
        const TrialTerms trial = endpoint->health.trialTerms(now);
        if (record.service != job.terms.service || !this->canPlace(now, *endpoint) || trial == TrialTerms::SpareAttempts
            || !canEverRun(record, step)) {
            continue;
        }
        TimePoint emptyAt = now;
        for (const auto &[other, run] : endpoint->runs) {
            emptyAt = std::max(emptyAt, this->expectedEnd(*endpoint, other, now));
        }
        // A task that has lost a run should not lose the next one.
        const auto wasLost = [this](const auto &entry) { return this->crashes.concerns(entry.first.job); };
        const auto hasSettled = [now](const auto &entry) { return isSettled(entry.second, now); };
        std::optional<Way> way;
        if (endpoint->runs.empty()) {
            way = Way::Empty;
        } else if (emptyAt <= patientUntil) {
            way = Way::SoonEmpty;
        } else if (hasRoomBeside(*endpoint, waiting.task, step)) {
            const bool areSettled = std::ranges::all_of(endpoint->runs, hasSettled);
            way = areSettled            ? std::optional(Way::BesideSettledRuns)
                  : now >= patientUntil ? std::optional(Way::BesideAnyRuns)
                                        : std::nullopt;
        }
        if (!way) {
            continue;
        }
        // An endpoint that crashes by itself would be held against the task.
        const bool isEmptied = *way == Way::Empty || *way == Way::SoonEmpty;
        const Rank rank{trial != TrialTerms::None,
                        *way,
                        isEmptied ? emptyAt : TimePoint(),
                        std::ranges::count_if(endpoint->runs, wasLost),
                        endpoint->runs.size(),
                        this->crashes.hasLossAt(record.address),
                        isFarFromData(record, step),
                        endpoint->health.slowness(now)};
        if (!best || rank < bestRank) {
            best = endpoint.get();
            bestRank = rank;
        }
    }
    if (best && std::get<Way>(bestRank) == Way::SoonEmpty) {
        best->isReserved = true;
        this->hasReservations = true;
    }
    return best;
}

CellEndpoint *CellLeader::chooseForSharedProbation(TimePoint now, const CellJob &job, const IsolatedTask &waiting)
{
    // Suspects that share an endpoint lose it together. One loss more must not make a sound task look deadly.
    if (this->crashes.lossesUnder(waiting.task) > 1) {
        return nullptr;
    }
    const auto isSharing
        = [this, now](const auto &entry) { return entry.second.probationUntil <= now || this->crashes.lossesUnder(entry.first) <= 1; };
    const StepSpec &step = job.step(waiting.task);
    CellEndpoint *best = nullptr;
    for (auto &[name, endpoint] : this->endpoints) {
        const EndpointRecord &record = endpoint->record;
        const bool isEligible = record.service == job.terms.service && canEverRun(record, step) && endpoint->hasRunOnProbation(now)
                                && this->acceptsRuns(now, *endpoint) && !endpoint->health.isSuspect()
                                && hasRoomBeside(*endpoint, waiting.task, step) && std::ranges::all_of(endpoint->runs, isSharing);
        if (isEligible && (!best || endpoint->runs.size() < best->runs.size())) {
            best = endpoint.get();
        }
    }
    return best;
}

void CellLeader::failDeadlyJob(TimePoint now, const std::shared_ptr<CellJob> &job, const TaskRef &task)
{
    assert(!isFinal(job->state));
    this->log("job-deadly",
              {{"job", job->id.value},
               {"task", toText(task)},
               {"queue", job->terms.queue.value},
               {"endpoints", this->crashes.endpointsLostUnder(task)},
               {"took_ms", std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(now - job->acceptedAt).count())}},
              true);
    job->end(JobState::Failed);
    this->stopRuns(now, job->id);
    if (job->spec.isBestEffort) {
        this->finishBestEffort(now, job);
        return;
    }
    this->removeFromReadyJobs(*job);
    this->markProgressDirty(now, *job);
}

void CellLeader::forgetCrashes(const CellJob &job)
{
    // The caller of a best-effort job that didn't succeed may submit it again.
    const bool mayReturn = job.spec.isBestEffort && job.state != JobState::Done;
    this->isCrashRowDirty = (!mayReturn && this->crashes.forgetJob(job.id)) || this->isCrashRowDirty;
}

} // namespace Tanagertally::Cells
