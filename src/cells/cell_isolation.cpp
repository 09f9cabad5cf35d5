// The part of the leader that isolates tasks under which endpoints were lost, and fails the jobs of deadly ones; see CrashHistory.
#include "cells/cell_leader.h"
#include "cells/placement.h"

#include <algorithm>
#include <cassert>
#include <tuple>

namespace Tanagertally::Cells {

namespace {

// Endpoints that are lost by one cause stop answering within the interval of holds.
constexpr Duration CommonCauseWindow = std::chrono::milliseconds(400);
constexpr std::size_t IsolationDivisor = 4; // Share of the endpoints that isolated tasks may take from the others.

std::string namesOf(const std::vector<LostTask> &tasks)
{
    std::string names;
    for (const LostTask &lost : tasks) {
        names += (names.empty() ? "" : ",") + lost.task.job.value + "." + toText(lost.task) + (lost.wasRunning ? "" : "?");
    }
    return names;
}

} // namespace

std::size_t CellLeader::countLossesAround(TimePoint time) const
{
    return static_cast<std::size_t>(std::ranges::count_if(this->endpoints, [time](const auto &entry) {
        const CellEndpoint &endpoint = *entry.second;
        // The loss of an endpoint with an isolated run has a cause already.
        return endpoint.consecutiveFailures > 0 && !endpoint.wasLostIsolated && !endpoint.hasIsolatedRun()
               && endpoint.unreachableSince + CommonCauseWindow >= time && endpoint.unreachableSince <= time + CommonCauseWindow;
    }));
}

std::vector<LostTask> CellLeader::unfinishedTasksOn(const CellEndpoint &endpoint, bool isReplaced) const
{
    std::vector<LostTask> tasks;
    for (const auto &[task, run] : endpoint.runs) {
        // An endpoint that left the first order unanswered may leave the end unlisted as well, and crash when the run is over.
        const bool wasAnswered = (run.phase == RunPhase::Running || run.phase == RunPhase::Stopping) && !run.isStartRepeated;
        const bool isConfirmed = wasAnswered || run.isListed;
        const std::shared_ptr<CellJob> job = this->findJob(task.job);
        // The order of a run that wasn't confirmed may have met the incarnation that replaced the crashed one.
        if (job && job->hasTask(task) && !isFinal(job->state) && (isConfirmed || !isReplaced)) {
            tasks.push_back({task, isConfirmed});
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
    std::vector<LostTask> tasks = this->unfinishedTasksOn(endpoint, isReplaced);
    if (tasks.empty() || endpoint.record.isDraining) {
        return;
    }
    endpoint.wasLostIsolated = endpoint.hasIsolatedRun();
    if (!isReplaced && endpoint.consecutiveFailures == 0) {
        return; // The leases lapsed because this leader did not renew them.
    }
    if (!isReplaced && !endpoint.wasLostIsolated) {
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
    this->crashes.recordLoss({endpoint.record.name, endpoint.record.address, endpoint.born, state, isAlone, std::move(tasks), now,
                              this->predecessorsOf(endpoint)});
    this->isCrashRowUrgent = true;
}

void CellLeader::isolateSuspects(TimePoint now, CellJob &job)
{
    const std::deque<TaskRef> waiting = job.waiting();
    for (const TaskRef &task : waiting) {
        if (this->crashes.verdict(task, now) != CrashVerdict::None) {
            job.isolate(task);
            this->isolatedTasks.push_back(task);
        }
    }
}

std::size_t CellLeader::isolationRoom() const
{
    std::size_t available = 0;
    std::size_t taken = 0;
    for (const auto &[name, endpoint] : this->endpoints) {
        available += endpoint->isRegistered && endpoint->hasListedRuns && !endpoint->record.isDraining ? 1 : 0;
        taken += endpoint->hasIsolatedRun() ? 1 : 0;
    }
    const std::size_t limit = std::max<std::size_t>(available / IsolationDivisor, 1);
    return limit - std::min(limit, taken);
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
    std::size_t room = canStart ? this->isolationRoom() : 0;
    for (const TaskRef &task : std::exchange(this->isolatedTasks, {})) {
        const CrashVerdict verdict = this->crashes.verdict(task, now);
        if (this->settleIsolatedTask(now, task, verdict)) {
            continue;
        }
        const std::shared_ptr<CellJob> job = this->findJob(task.job);
        const bool isDue = verdict == CrashVerdict::RunAlone && room > 0 && !this->hasRunOf(task) && this->canStartTasksOf(now, *job);
        CellEndpoint *endpoint = isDue ? this->chooseForIsolation(now, *job, task) : nullptr;
        room -= endpoint ? 1 : 0;
        if (endpoint && endpoint->runs.empty()) {
            job->makeWaiting(task);
            std::erase(job->waiting(), task);
            this->startRun(now, *job, task, *endpoint);
            endpoint->runs.at(task).isIsolated = true;
            continue;
        }
        if (endpoint) {
            endpoint->isReserved = true;
            this->hasReservations = true;
        }
        this->isolatedTasks.push_back(task);
    }
}

CellEndpoint *CellLeader::chooseForIsolation(TimePoint now, const CellJob &job, const TaskRef &task)
{
    // Compared lexicographically; the smallest rank is the best.
    using Rank = std::tuple<bool, TimePoint, bool, bool, double>;
    const StepSpec &step = job.step(task);
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
        // An endpoint that crashes by itself would be held against the task.
        const Rank rank{trial != TrialTerms::None, emptyAt, this->crashes.hasLossAt(record.address), isFarFromData(record, step),
                        endpoint->health.slowness(now)};
        if (!best || rank < bestRank) {
            best = endpoint.get();
            bestRank = rank;
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
