#include "cells/cell_job.h"

#include <algorithm>
#include <cassert>

namespace Tanagertally::Cells {

namespace {

constexpr std::uint32_t MaxTasksPerJob = 1000; // Largest job that the specification requires to be supported.

JobUrgency urgencyOf(const JobSpec &spec, const JobTerms &terms, TimePoint acceptedAt)
{
    const Duration criticalPath = estimateCriticalPath(spec);
    const auto ideal = std::chrono::duration<double, std::nano>(criticalPath) * terms.stretch;
    return {acceptedAt, std::chrono::duration_cast<Duration>(ideal) + terms.targetDuration, criticalPath, terms.priority};
}

} // namespace

Duration estimateCriticalPath(const JobSpec &spec)
{
    std::vector<Duration> ends(spec.steps.size());
    Duration longest{};
    for (std::size_t step = 0; step < ends.size(); ++step) {
        Duration start{};
        for (const std::uint32_t earlier : spec.steps[step].after) {
            start = std::max(start, ends[earlier]);
        }
        ends[step] = start + spec.steps[step].estimate;
        longest = std::max(longest, ends[step]);
    }
    return longest;
}

CellJob::CellJob(JobId jobId, JobSpec jobSpec, JobTerms jobTerms, TimePoint accepted)
    : id(std::move(jobId))
    , spec(std::move(jobSpec))
    , terms(std::move(jobTerms))
    , acceptedAt(accepted)
    , urgency(urgencyOf(this->spec, this->terms, accepted))
{
    for (const StepSpec &step : this->spec.steps) {
        this->tasks.emplace_back(step.count);
        this->remainingTaskCounts.push_back(step.count);
    }
    this->pathsAfter.resize(this->spec.steps.size());
    for (std::size_t later = this->spec.steps.size(); later-- > 0;) {
        for (const std::uint32_t earlier : this->spec.steps[later].after) {
            this->pathsAfter[earlier] = std::max(this->pathsAfter[earlier], this->spec.steps[later].estimate + this->pathsAfter[later]);
        }
    }
    this->unblock();
}

bool CellJob::hasNeverStarted() const
{
    return !this->wasRecovered && this->startOrders == this->refusedStarts;
}

TaskRecord &CellJob::task(const TaskRef &ref)
{
    assert(this->hasTask(ref));
    return this->tasks[ref.step][ref.index];
}

const StepSpec &CellJob::step(const TaskRef &ref) const
{
    return this->spec.steps[ref.step];
}

Duration CellJob::pathAfter(std::uint32_t step) const
{
    return this->pathsAfter[step];
}

bool CellJob::hasTask(const TaskRef &ref) const
{
    return ref.step < this->tasks.size() && ref.index < this->tasks[ref.step].size();
}

std::deque<TaskRef> &CellJob::waiting()
{
    return this->waitingTasks;
}

void CellJob::makeWaiting(const TaskRef &ref)
{
    TaskRecord &record = this->task(ref);
    assert(record.phase != TaskPhase::Waiting && record.phase != TaskPhase::Done);
    record.phase = TaskPhase::Waiting;
    if (record.starts > 0) {
        this->waitingTasks.push_front(ref);
        return;
    }
    this->waitingTasks.push_back(ref);
}

void CellJob::isolate(const TaskRef &ref)
{
    TaskRecord &record = this->task(ref);
    assert(record.phase == TaskPhase::Waiting);
    std::erase(this->waitingTasks, ref);
    record.phase = TaskPhase::Isolated;
}

void CellJob::markDone(const TaskRef &ref)
{
    TaskRecord &record = this->task(ref);
    assert(record.phase != TaskPhase::Done);
    if (record.phase == TaskPhase::Waiting) {
        std::erase(this->waitingTasks, ref);
    }
    record.phase = TaskPhase::Done;
    if (--this->remainingTaskCounts[ref.step] > 0) {
        return;
    }
    this->unblock();
    if (std::ranges::all_of(this->remainingTaskCounts, [](std::uint32_t left) { return left == 0; })) {
        this->end(JobState::Done);
    }
}

bool CellJob::markFailedRun(const TaskRef &ref, RunNumber run)
{
    assert(!isFinal(this->state));
    TaskRecord &record = this->task(ref);
    if (std::ranges::find(record.failedRuns, run) != record.failedRuns.end()) {
        return false;
    }
    record.failedRuns.push_back(run);
    ++record.failures;
    if (record.failures < this->terms.maxAttempts) {
        return false;
    }
    this->end(JobState::Failed);
    return true;
}

void CellJob::end(JobState finalState)
{
    assert(isFinal(finalState));
    this->state = finalState;
    this->waitingTasks.clear();
}

void CellJob::restore(const JobProgress &progress)
{
    this->wasRecovered = true;
    this->isRecovering = true;
    for (const TaskRef &ref : this->waitingTasks) {
        this->task(ref).phase = TaskPhase::Unaccounted;
    }
    this->waitingTasks.clear();
    this->state = progress.state;
    this->runsBefore = progress.runsBefore;
    for (const JobProgress::TaskFailures &entry : progress.failures) {
        const TaskRef ref{this->id, entry.step, entry.index};
        if (this->hasTask(ref)) {
            this->task(ref).failures = entry.failures;
            this->task(ref).failedRuns = entry.runs;
        }
    }
    for (const JobProgress::DoneTask &entry : progress.done) {
        const TaskRef ref{this->id, entry.step, entry.index};
        if (this->hasTask(ref) && this->task(ref).phase != TaskPhase::Done) {
            this->markDone(ref);
        }
    }
}

void CellJob::releaseUnaccounted()
{
    this->isRecovering = false;
    if (isFinal(this->state)) {
        return;
    }
    for (std::uint32_t step = 0; step < this->tasks.size(); ++step) {
        for (std::uint32_t index = 0; index < this->tasks[step].size(); ++index) {
            if (this->tasks[step][index].phase == TaskPhase::Unaccounted) {
                this->makeWaiting({this->id, step, index});
            }
        }
    }
}

bool CellJob::needsStarts() const
{
    const auto needsStart = [](const TaskRecord &task) { return task.phase == TaskPhase::Blocked || task.phase == TaskPhase::Isolated; };
    return !this->waitingTasks.empty()
           || std::ranges::any_of(this->tasks, [&](const auto &step) { return std::ranges::any_of(step, needsStart); });
}

std::vector<std::uint32_t> CellJob::startableSteps() const
{
    const auto couldStart = [](const TaskRecord &task) { return task.phase == TaskPhase::Waiting || task.phase == TaskPhase::Isolated; };
    std::vector<std::uint32_t> steps;
    for (std::uint32_t step = 0; step < this->tasks.size(); ++step) {
        if (std::ranges::any_of(this->tasks[step], couldStart)) {
            steps.push_back(step);
        }
    }
    return steps;
}

std::vector<std::uint32_t> CellJob::openSteps() const
{
    std::vector<std::uint32_t> steps;
    for (std::uint32_t step = 0; step < this->tasks.size(); ++step) {
        if (this->remainingTaskCounts[step] > 0) {
            steps.push_back(step);
        }
    }
    return steps;
}

JobProgress CellJob::progress() const
{
    JobProgress result;
    result.state = this->state;
    result.runsBefore = this->runsBefore;
    if (isFinal(this->state)) {
        return result;
    }
    for (std::uint32_t step = 0; step < this->tasks.size(); ++step) {
        for (std::uint32_t index = 0; index < this->tasks[step].size(); ++index) {
            const TaskRecord &record = this->tasks[step][index];
            if (record.phase == TaskPhase::Done) {
                result.done.push_back({step, index});
            } else if (record.failures > 0) {
                result.failures.push_back({step, index, record.failures, record.failedRuns});
            }
        }
    }
    return result;
}

std::int64_t CellJob::smallestWaitingCpu() const
{
    assert(!this->waitingTasks.empty());
    std::int64_t smallest = this->step(this->waitingTasks.front()).demand.cpu;
    if (this->spec.steps.size() == 1) {
        return smallest;
    }
    for (const TaskRef &ref : this->waitingTasks) {
        smallest = std::min(smallest, this->step(ref).demand.cpu);
    }
    return smallest;
}

double CellJob::waitingWork() const
{
    double work = 0;
    for (const TaskRef &ref : this->waitingTasks) {
        work += estimatedTaskWork(this->step(ref));
    }
    return work;
}

double CellJob::unaccountedWork() const
{
    double work = 0;
    if (!this->isRecovering || isFinal(this->state)) {
        return work;
    }
    for (std::uint32_t step = 0; step < this->tasks.size(); ++step) {
        const auto count = std::ranges::count(this->tasks[step], TaskPhase::Unaccounted, &TaskRecord::phase);
        work += static_cast<double>(count) * estimatedTaskWork(this->spec.steps[step]);
    }
    return work;
}

void CellJob::unblock()
{
    for (std::uint32_t step = 0; step < this->tasks.size(); ++step) {
        if (!this->isReady(step)) {
            continue;
        }
        for (std::uint32_t index = 0; index < this->tasks[step].size(); ++index) {
            TaskRecord &record = this->tasks[step][index];
            if (record.phase != TaskPhase::Blocked) {
                continue;
            }
            if (this->isRecovering) {
                record.phase = TaskPhase::Unaccounted;
                continue;
            }
            this->makeWaiting({this->id, step, index});
        }
    }
}

bool CellJob::isReady(std::uint32_t step) const
{
    return std::ranges::all_of(this->spec.steps[step].after,
                               [this](std::uint32_t earlier) { return this->remainingTaskCounts[earlier] == 0; });
}

std::size_t estimateMemory(const JobSpec &spec)
{
    constexpr std::size_t BytesPerJob = 1024;
    constexpr std::size_t BytesPerStep = sizeof(StepSpec) + sizeof(std::vector<TaskRecord>) + sizeof(Duration);
    constexpr std::size_t BytesPerTask = sizeof(TaskRecord) + sizeof(TaskRef);
    std::size_t bytes = BytesPerJob + (spec.payload ? spec.payload->size() : 0);
    for (const StepSpec &step : spec.steps) {
        bytes += BytesPerStep + step.after.size() * sizeof(step.after.front()) + step.requirement.size() + step.affinity.value.size();
        bytes += step.count * BytesPerTask;
    }
    return bytes;
}

std::string validateSpec(const JobSpec &spec)
{
    if (spec.steps.empty()) {
        return "steps: at least one step is needed";
    }
    std::uint64_t tasks = 0;
    for (std::size_t number = 0; number < spec.steps.size(); ++number) {
        const StepSpec &step = spec.steps[number];
        const std::string field = "steps[" + std::to_string(number) + "].";
        if (step.count == 0) {
            return field + "count: must be at least 1";
        }
        if (std::ranges::any_of(step.after, [number](std::uint32_t earlier) { return earlier >= number; })) {
            return field + "after: may only name earlier steps";
        }
        if (step.demand.cpu < 0 || step.demand.memoryMb < 0 || step.demand.gpu < 0) {
            return field + "cpu, mem-mb and gpu: must not be negative";
        }
        tasks += step.count;
    }
    if (tasks > MaxTasksPerJob) {
        return "steps: more than " + std::to_string(MaxTasksPerJob) + " tasks";
    }
    return {};
}

} // namespace Tanagertally::Cells
