// The part of the leader that accepts, refuses, cancels and ends jobs.
#include "cells/cell_leader.h"
#include "cells/placement.h"

#include <algorithm>
#include <cassert>

namespace Tanagertally::Cells {

namespace {

constexpr int AdmissionMarginDivisor = 10; // Share of the objective that covers the spread of run times.
constexpr int MaxWaitDivisor = 4; // Share of the objective that an accepted job may wait while room is short.
// Share of the objective after which an accepted job isn't refused any more. A caller wants a refusal within a quarter of the objective,
// which may be 40% shorter than its estimate makes it.
constexpr int RefusableDivisor = 6;
constexpr std::size_t MaxPlannedJobs = 500; // Bounds the time of a pass; jobs beyond it find no room within their objective anyway.
constexpr int OverdueDivisor = 4; // A run that exceeds its estimate is expected to last a quarter of its age longer.

std::string toText(std::uint64_t number)
{
    return std::to_string(number);
}

bool acceptsWork(const CellEndpoint &endpoint)
{
    return endpoint.hasListedRuns && endpoint.isRegistered && !endpoint.record.isDraining && endpoint.consecutiveFailures == 0;
}

} // namespace

void CellLeader::submit(TimePoint now, CallId call, JobId id, JobSpec spec, JobTerms terms, bool mayHaveRun, TimePoint expiresAt)
{
    const auto job = std::make_shared<CellJob>(std::move(id), std::move(spec), std::move(terms), now);
    if (job->spec.isBestEffort) {
        this->submitBestEffort(now, {call, expiresAt}, job, mayHaveRun);
        return;
    }
    if (this->jobs.contains(job->id) || this->ended.contains(job->id)) {
        this->answerSubmission(call, {SubmitVerdict::Accepted, {}, {}, {}});
        return;
    }
    if (PendingSubmission *pending = this->findPendingSubmission(job->id)) {
        pending->calls.push_back(call);
        return;
    }
    if (const std::string_view refusal = this->findRefusal(*job, false); !refusal.empty()) {
        this->refuse({&call, 1}, *job, refusal);
        return;
    }
    if (!this->options.admitMemory(estimateMemory(job->spec))) {
        this->refuse({&call, 1}, *job, NoMemoryReason, NoMemoryRetryAfter);
        return;
    }
    std::string row = encodeJob(job->spec, job->terms);
    if (const std::string fault = validateRowSize(job->spec, row, this->options.maxRowBytes); !fault.empty()) {
        this->refuse({&call, 1}, *job, fault);
        return;
    }
    this->pendingSubmissions.push_back({job, {call}, std::move(row)});
    this->flush(now);
}

void CellLeader::submitBestEffort(TimePoint now, const BestEffortCall &call, const std::shared_ptr<CellJob> &job, bool wasSubmittedBefore)
{
    if (const auto known = this->bestEffortCalls.find(job->id); known != this->bestEffortCalls.end()) {
        if (known->second.call != call.call) {
            this->answerSubmission(known->second.call, {SubmitVerdict::Unknown, "handed in again", {}, {}});
        }
        known->second = call;
        return;
    }
    // A caller that lost its instance submits its job as a new one.
    const bool mayHaveRun = wasSubmittedBefore || this->hasRunOf(*job);
    if (const std::string_view refusal = this->findRefusal(*job, mayHaveRun); !refusal.empty()) {
        this->refuse({&call.call, 1}, *job, refusal);
        return;
    }
    if (!mayHaveRun && !this->options.admitMemory(estimateMemory(job->spec))) {
        this->refuse({&call.call, 1}, *job, NoMemoryReason, NoMemoryRetryAfter);
        return;
    }
    if (this->forecasts.empty()) {
        this->forecasts = this->forecastRoom(now);
    }
    this->lastSubmissionAt = now;
    const std::string_view overload = mayHaveRun ? std::string_view() : this->findOverload(*job, now);
    this->queueShares.record(now, job->terms.queue, job->waitingWork(), overload.empty());
    if (!overload.empty()) {
        this->refuseOverloaded(now, call.call, *job, overload);
        return;
    }
    this->bestEffortCalls.emplace(job->id, call);
    this->jobs.emplace(job->id, job);
    if (mayHaveRun) {
        this->adoptOrphans(*job);
        if (isFinal(job->state)) {
            this->finishBestEffort(now, job);
            return;
        }
    }
    this->addToReadyJobs(now, *job);
    this->reserveRoom(*job, now);
    this->startReadyJobs(now);
    this->holdEndpoints(now);
}

std::string_view CellLeader::findRefusal(const CellJob &job, bool mayHaveRun) const
{
    if (!this->isLeading()) {
        return NotLeadingReason;
    }
    if (this->evacuation && !mayHaveRun) {
        return EvacuatedReason;
    }
    const bool isServable = std::ranges::all_of(job.spec.steps, [&](const StepSpec &step) {
        return std::ranges::any_of(this->endpoints, [&](const auto &entry) {
            const EndpointRecord &record = entry.second->record;
            return record.service == job.terms.service && entry.second->isRegistered && canEverRun(record, step);
        });
    });
    return isServable ? std::string_view() : NoEndpointReason;
}

std::int64_t CellLeader::availableCapacityCpu() const
{
    std::int64_t capacity = 0;
    for (const auto &[name, endpoint] : this->endpoints) {
        capacity += acceptsWork(*endpoint) ? endpoint->record.capacity.cpu : 0;
    }
    return capacity;
}

JobUrgency CellLeader::urgencyOf(const CellJob &job) const
{
    JobUrgency urgency = job.urgency;
    urgency.remaining = std::chrono::duration_cast<Duration>(this->serviceRate.durationFactor() * urgency.remaining);
    urgency.isStarted = job.startOrders > 0;
    return urgency;
}

TimePoint CellLeader::expectedEnd(const CellEndpoint &endpoint, const TaskRef &task, TimePoint now) const
{
    const RunRecord &run = endpoint.runs.at(task);
    const std::shared_ptr<CellJob> job = this->findJob(task.job);
    const Duration estimate = job && job->hasTask(task) ? job->step(task).estimate : Duration{};
    const double factor = std::max(endpoint.health.slowness(now), this->serviceRate.durationFactor());
    const TimePoint end = run.confirmedAt + std::chrono::duration_cast<Duration>(factor * estimate);
    return std::max(end, now + (now - run.confirmedAt) / OverdueDivisor);
}

std::map<ServiceName, RoomForecast> CellLeader::forecastRoom(TimePoint now) const
{
    struct Demand {
        std::int64_t tasks = 0;
        std::int64_t cpu = 0;
    };
    std::map<ServiceName, Demand> demands;
    const auto addDemand = [&demands](const ServiceName &service, std::int64_t tasks, std::int64_t cpu) {
        demands[service].tasks += tasks;
        demands[service].cpu += tasks * cpu;
    };
    for (const JobRank &rank : this->readyJobs) {
        const std::shared_ptr<CellJob> job = this->findJob(rank.id);
        for (const TaskGroup &group : this->waitingGroups(*job)) {
            addDemand(job->terms.service, group.count, group.cpu);
        }
    }
    for (const auto &[name, endpoint] : this->endpoints) {
        for (const auto &[task, run] : endpoint->runs) {
            addDemand(endpoint->record.service, 1, run.demand.cpu);
        }
    }
    std::map<ServiceName, RoomForecast> result;
    for (const auto &[name, endpoint] : this->endpoints) {
        const Demand &demand = demands[endpoint->record.service];
        const std::int64_t meanCpu = demand.tasks > 0 ? std::max<std::int64_t>(demand.cpu / demand.tasks, 1) : 1;
        RoomForecast &forecast = result.try_emplace(endpoint->record.service, now).first->second;
        if (!acceptsWork(*endpoint)) {
            continue;
        }
        // Room counts in whole tasks, as no task runs in what is left over on several endpoints.
        const auto usable = [meanCpu](std::int64_t cpu) { return std::max<std::int64_t>(cpu, 0) / meanCpu * meanCpu; };
        std::vector<std::pair<TimePoint, std::int64_t>> ends;
        for (const auto &[task, run] : endpoint->runs) {
            ends.emplace_back(this->expectedEnd(*endpoint, task, now), run.demand.cpu);
        }
        std::ranges::sort(ends);
        std::int64_t freeCpu = endpoint->freeResources().cpu;
        forecast.addRoom(now, usable(freeCpu));
        for (const auto &[end, cpu] : ends) {
            forecast.addRoom(end, usable(freeCpu + cpu) - usable(freeCpu));
            freeCpu += cpu;
        }
    }
    return result;
}

std::vector<TaskGroup> CellLeader::waitingGroups(CellJob &job) const
{
    std::vector<TaskGroup> groups;
    std::optional<std::uint32_t> lastStep;
    for (const TaskRef &task : job.waiting()) {
        if (lastStep != task.step) {
            const StepSpec &step = job.step(task);
            const auto runTime = std::chrono::duration_cast<Duration>(this->serviceRate.durationFactor() * step.estimate);
            groups.push_back({0, step.demand.cpu, runTime});
            lastStep = task.step;
        }
        ++groups.back().count;
    }
    return groups;
}

bool CellLeader::canStartAtOnce(TimePoint now, CellJob &job) const
{
    for (const TaskGroup &group : this->waitingGroups(job)) {
        std::int64_t fitting = 0;
        for (const auto &[name, endpoint] : this->endpoints) {
            if (endpoint->record.service == job.terms.service && this->canPlace(now, *endpoint) && group.cpu > 0) {
                fitting += std::max<std::int64_t>(endpoint->freeResources().cpu, 0) / group.cpu;
            }
        }
        if (group.cpu > 0 && fitting < group.count) {
            return false;
        }
    }
    return true;
}

TimePoint CellLeader::plannedStart(CellJob &job, TimePoint now) const
{
    const auto forecast = this->forecasts.find(job.terms.service);
    // Without an estimate the objective says nothing about when the job has to start.
    if (forecast == this->forecasts.end() || job.urgency.remaining == Duration{}) {
        return now;
    }
    TimePoint last = now;
    for (const TaskGroup &group : this->waitingGroups(job)) {
        last = std::max(last, forecast->second.expectedLastStart(group, now));
    }
    return last;
}

void CellLeader::reserveRoom(CellJob &job, TimePoint now)
{
    const auto forecast = this->forecasts.find(job.terms.service);
    if (forecast == this->forecasts.end()) {
        return;
    }
    for (const TaskGroup &group : this->waitingGroups(job)) {
        forecast->second.reserve(group, now);
    }
}

std::string_view CellLeader::findOverload(CellJob &job, TimePoint now) const
{
    if (this->readyJobs.empty() || this->availableCapacityCpu() == 0 || this->canStartAtOnce(now, job)) {
        return {};
    }
    if (this->queueShares.isAhead(job.terms.queue)) {
        return "share-used";
    }
    const JobUrgency urgency = this->urgencyOf(job);
    const Duration margin = urgency.objective / AdmissionMarginDivisor;
    const TimePoint latestStart = urgency.acceptedAt + urgency.objective - urgency.remaining;
    const TimePoint start = this->plannedStart(job, now);
    if (!this->queueShares.isShort() && !this->hasLateJobs) {
        return start > latestStart + margin ? "no-room-in-time" : std::string_view();
    }
    return start > std::min(latestStart - margin, urgency.acceptedAt + urgency.objective / MaxWaitDivisor) ? "no-room-in-time"
                                                                                                           : std::string_view();
}

TimePoint CellLeader::refusableUntil(const CellJob &job) const
{
    return job.acceptedAt + job.urgency.objective / RefusableDivisor;
}

Duration CellLeader::backlog(TimePoint now) const
{
    double work = 0;
    for (const JobRank &rank : this->readyJobs) {
        work += this->findJob(rank.id)->waitingWork();
    }
    TimePoint last = now;
    for (const auto &[name, endpoint] : this->endpoints) {
        for (const auto &[task, run] : endpoint->runs) {
            last = std::max(last, this->expectedEnd(*endpoint, task, now));
        }
    }
    const double rate = this->serviceRate.rate(static_cast<double>(std::max<std::int64_t>(this->availableCapacityCpu(), 1)));
    return last - now + std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(work / rate));
}

void CellLeader::adoptOrphans(CellJob &job)
{
    job.restore({});
    for (auto &[name, endpoint] : this->endpoints) {
        for (auto &[task, run] : endpoint->runs) {
            if (task.job == job.id && job.hasTask(task) && run.phase == RunPhase::Running
                && job.task(task).phase == TaskPhase::Unaccounted) {
                endpoint->setDemand(task, job.step(task).demand);
                job.task(task).phase = TaskPhase::Placed;
                ++job.placedTasks;
                job.state = JobState::Running;
            }
        }
    }
    for (auto end = this->orphanEnds.begin(); end != this->orphanEnds.end();) {
        const TaskRef &task = end->first;
        if (task.job != job.id) {
            ++end;
            continue;
        }
        if (job.hasTask(task) && job.task(task).phase == TaskPhase::Unaccounted && end->second == RunOutcome::Done) {
            job.markDone(task);
        }
        end = this->orphanEnds.erase(end);
    }
    this->log("job-taken-over", {{"job", job.id.value}, {"placed", toText(job.placedTasks)}, {"state", std::string(toString(job.state))}});
    if (this->isRecoverySettled) {
        job.releaseUnaccounted();
    }
}

void CellLeader::finishBestEffort(TimePoint now, const std::shared_ptr<CellJob> &job)
{
    const auto call = this->bestEffortCalls.find(job->id);
    if (call != this->bestEffortCalls.end()) {
        this->answerSubmission(call->second.call, {SubmitVerdict::Ended, {}, {}, job->state});
        this->bestEffortCalls.erase(call);
    }
    if (job->state == JobState::Done && job->firstStartAt) {
        this->serviceRate.recordJob(now - *job->firstStartAt, job->urgency.remaining);
    }
    this->logJobEnd(now, *job);
    this->forgetCrashes(*job);
    this->removeFromReadyJobs(*job);
    this->jobs.erase(job->id);
}

void CellLeader::planRoom(TimePoint now)
{
    this->forecasts.clear();
    this->hasLateJobs = false;
    const bool isPlanned = !this->bestEffortCalls.empty() && this->availableCapacityCpu() > 0;
    if (!isPlanned) {
        return;
    }
    this->forecasts = this->forecastRoom(now);
    std::vector<std::shared_ptr<CellJob>> tooLate;
    std::vector<std::shared_ptr<CellJob>> late;
    bool isRoomWanted = false; // Whether a waiting job can start in time.
    std::size_t planned = 0;
    for (const JobRank &rank : this->readyJobs) {
        if (++planned > MaxPlannedJobs) {
            break;
        }
        const std::shared_ptr<CellJob> job = this->findJob(rank.id);
        const JobTimeliness timeliness = timelinessOf(this->urgencyOf(*job), this->plannedStart(*job, now));
        const bool canBeAbandoned = job->spec.isBestEffort && job->placedTasks == 0;
        if (canBeAbandoned && timeliness == JobTimeliness::TooLate) {
            tooLate.push_back(job);
            continue;
        }
        if (canBeAbandoned && timeliness == JobTimeliness::Late && job->hasNeverStarted() && now <= this->refusableUntil(*job)) {
            late.push_back(job);
            continue;
        }
        this->hasLateJobs = this->hasLateJobs || timeliness != JobTimeliness::OnTime;
        isRoomWanted = isRoomWanted || timeliness == JobTimeliness::OnTime;
        // A late job is ranked after the jobs that are accepted later and can be in time, so it holds no room against them.
        if (timeliness == JobTimeliness::OnTime || !job->rank->isUnstarted || !job->spec.isBestEffort) {
            this->reserveRoom(*job, now);
        }
    }
    for (const std::shared_ptr<CellJob> &job : tooLate) {
        this->abandonJob(now, job);
    }
    for (const std::shared_ptr<CellJob> &job : late) {
        // While room is short, a later caller wants the room that a late job would take.
        const bool areCallersComing = this->queueShares.isShort() && this->lastSubmissionAt > job->acceptedAt;
        if (isRoomWanted || areCallersComing) {
            this->abandonJob(now, job);
        }
    }
}

void CellLeader::abandonJob(TimePoint now, const std::shared_ptr<CellJob> &job)
{
    assert(job->placedTasks == 0 && !isFinal(job->state));
    const auto call = this->bestEffortCalls.find(job->id);
    if (call != this->bestEffortCalls.end()) {
        if (job->hasNeverStarted()) {
            this->refuseOverloaded(now, call->second.call, *job, "no-room-in-time");
        } else {
            this->answerSubmission(call->second.call, {SubmitVerdict::Unknown, std::string(TooLateReason), {}, {}});
        }
        this->bestEffortCalls.erase(call);
    }
    job->end(JobState::Cancelled);
    this->finishBestEffort(now, job);
}

void CellLeader::handBack(TimePoint now, const std::shared_ptr<CellJob> &job, std::string_view reason)
{
    assert(job->spec.isBestEffort && job->placedTasks == 0 && job->hasNeverStarted());
    if (const auto call = this->bestEffortCalls.extract(job->id)) {
        this->refuse({&call.mapped().call, 1}, *job, reason);
    }
    job->end(JobState::Cancelled);
    this->finishBestEffort(now, job);
}

void CellLeader::withdraw(TimePoint now, CallId call)
{
    const auto found = std::ranges::find_if(this->bestEffortCalls, [call](const auto &entry) { return entry.second.call == call; });
    if (found != this->bestEffortCalls.end()) {
        this->withdrawJob(now, JobId(found->first));
        this->startReadyJobs(now);
    }
}

void CellLeader::withdrawExpiredJobs(TimePoint now)
{
    std::vector<JobId> expired;
    for (const auto &[id, call] : this->bestEffortCalls) {
        if (now >= call.expiresAt) {
            expired.push_back(id);
        }
    }
    for (const JobId &id : expired) {
        this->log("submission-expired", {{"job", id.value}, {"running", toText(this->jobs.at(id)->placedTasks)}});
        this->answerSubmission(this->bestEffortCalls.at(id).call, {SubmitVerdict::Unknown, std::string(NoAnswerInTimeReason), {}, {}});
        this->withdrawJob(now, id);
    }
}

void CellLeader::withdrawJob(TimePoint now, const JobId &id)
{
    const std::shared_ptr<CellJob> job = this->findJob(id);
    this->bestEffortCalls.erase(id);
    job->end(JobState::Cancelled);
    this->stopRuns(now, job->id);
    this->finishBestEffort(now, job);
}

void CellLeader::cancel(TimePoint now, CallId call, const JobId &id)
{
    if (const auto found = this->ended.find(id); found != this->ended.end()) {
        this->actions.emplace_back(AnswerCancel{call, {JobAnswer::Kind::Known, found->second.state}});
        return;
    }
    const std::shared_ptr<CellJob> job = this->findJob(id);
    if (!job) {
        const JobAnswer::Kind kind = this->query(id).kind;
        this->actions.emplace_back(AnswerCancel{call, {kind, JobState::Queued}});
        return;
    }
    this->cancelCalls[id].push_back(call);
    if (!isFinal(job->state)) {
        this->log("job-cancelled", {{"job", id.value}, {"running", toText(job->placedTasks)}});
        job->end(JobState::Cancelled);
        this->removeFromReadyJobs(*job);
        this->stopRuns(now, id);
        this->markProgressDirty(now, *job);
    }
    this->flush(now);
}

JobAnswer CellLeader::query(const JobId &id) const
{
    if (const auto found = this->ended.find(id); found != this->ended.end()) {
        return {JobAnswer::Kind::Known, found->second.state};
    }
    if (const auto found = this->jobs.find(id); found != this->jobs.end()) {
        const JobState state = found->second->state;
        return {JobAnswer::Kind::Known, isFinal(state) ? JobState::Running : state};
    }
    if (!this->isLeading() || this->isBeingStored(id)) {
        return {JobAnswer::Kind::Unknown, JobState::Queued};
    }
    return {JobAnswer::Kind::NoSuchJob, JobState::Queued};
}

void CellLeader::finishJob(TimePoint now, const JobId &id)
{
    const std::shared_ptr<CellJob> job = this->findJob(id);
    assert(job && isFinal(job->state));
    this->logJobEnd(now, *job);
    this->recordEnd(now, id, job->state);
    if (const auto calls = this->cancelCalls.find(id); calls != this->cancelCalls.end()) {
        for (const CallId call : calls->second) {
            this->actions.emplace_back(AnswerCancel{call, {JobAnswer::Kind::Known, job->state}});
        }
        this->cancelCalls.erase(calls);
    }
    this->forgetCrashes(*job);
    this->removeFromReadyJobs(*job);
    this->jobs.erase(id);
}

void CellLeader::recordEnd(TimePoint now, const JobId &id, JobState state)
{
    if (this->ended.emplace(id, EndedJob{state, now}).second) {
        this->removableJobs.push_back(id);
    }
}

void CellLeader::logJobEnd(TimePoint now, const CellJob &job)
{
    const auto took = std::chrono::duration_cast<std::chrono::milliseconds>(now - job.acceptedAt).count();
    this->log("job-ended", {{"job", job.id.value},
                            {"queue", job.terms.queue.value},
                            {"state", std::string(toString(job.state))},
                            {"took_ms", toText(static_cast<std::uint64_t>(took))}});
}

CellLeader::PendingSubmission *CellLeader::findPendingSubmission(const JobId &id)
{
    const auto isSame = [&id](const PendingSubmission &pending) { return pending.job->id == id; };
    const auto queued = std::ranges::find_if(this->pendingSubmissions, isSame);
    if (queued != this->pendingSubmissions.end()) {
        return &*queued;
    }
    const auto sent = std::ranges::find_if(this->batch.submissions, isSame);
    return sent == this->batch.submissions.end() ? nullptr : &*sent;
}

bool CellLeader::isBeingStored(const JobId &id) const
{
    const auto isSame = [&id](const PendingSubmission &pending) { return pending.job->id == id; };
    return std::ranges::any_of(this->pendingSubmissions, isSame) || std::ranges::any_of(this->batch.submissions, isSame);
}

void CellLeader::refuse(std::span<const CallId> calls, const CellJob &job, std::string_view reason, std::optional<Duration> retryAfter,
                        std::string_view cause)
{
    std::vector<std::pair<std::string, std::string>> fields{
        {"job", job.id.value}, {"queue", job.terms.queue.value}, {"reason", std::string(reason)}};
    if (!cause.empty()) {
        fields.emplace_back("cause", cause);
    }
    this->log("job-refused", std::move(fields));
    for (const CallId call : calls) {
        this->answerSubmission(call, {SubmitVerdict::Refused, std::string(reason), retryAfter, {}});
    }
}

void CellLeader::refuseOverloaded(TimePoint now, CallId call, const CellJob &job, std::string_view cause)
{
    this->refuse({&call, 1}, job, OverloadedReason, retryDelay(job.id, this->backlog(now)), cause);
}

} // namespace Tanagertally::Cells
