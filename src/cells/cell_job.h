/** A cell leader's state of one job and its tasks. */
#pragma once

#include "cells/job_order.h"
#include "cells/job_type.h"

#include <deque>
#include <vector>

namespace Tanagertally::Cells {

/** State of a task. */
enum class TaskPhase : std::uint8_t {
    Blocked, ///< An earlier step isn't done.
    Unaccounted, ///< Not to be started until settled: a former leader may have started it, or its run was lost after the job's end.
    Waiting, ///< The task may be started.
    Isolated, ///< Endpoints were lost under the task; it may be started on its own only.
    Placed, ///< A run of the task exists on an endpoint, or may exist.
    Done, ///< A run of the task succeeded.
};

/** State of one task. */
struct TaskRecord {
    TaskPhase phase = TaskPhase::Blocked;
    std::uint32_t failures = 0; ///< Number of failed runs.
    std::vector<RunNumber> failedRuns; ///< These runs, but for those that a former release stored without their numbers.
    bool wasStalled = false; ///< Whether a run of the task was stopped as stalled.
    bool wasDeferred = false; ///< Whether the task has waited for a faster endpoint although another one had room.
    std::uint32_t starts = 0; ///< Number of runs that this leader has ordered.
    EndpointName lastEndpoint; ///< Endpoint of the last failed or stalled run; empty if there is none.
};

/** Progress of a job as stored. */
struct JobProgress {
    struct TaskFailures {
        std::uint32_t step = 0; ///< Number of the step, from 0.
        std::uint32_t index = 0; ///< Number of the task in the step, from 0.
        std::uint32_t failures = 0; ///< Number of failed runs.
        std::vector<RunNumber> runs; ///< These runs; fewer if a former release stored them.
    };
    struct DoneTask {
        std::uint32_t step = 0; ///< Number of the step, from 0.
        std::uint32_t index = 0; ///< Number of the task in the step, from 0.
    };
    JobState state = JobState::Queued;
    std::vector<DoneTask> done; ///< Tasks that are done; empty once the job has ended.
    std::vector<TaskFailures> failures; ///< Tasks with failed runs.
    std::uint64_t runsBefore = 0; ///< See CellJob::runsBefore.
};

/**
 * A job and its tasks. Thread safety: none.
 */
class CellJob
{
public:
    /**
     * Creates a job; tasks of steps without a predecessor are waiting.
     * @param spec Steps and payload; validateSpec() finds no fault in it.
     * @param terms Terms of the job's queue.
     * @param acceptedAt When the job was submitted, on this process's clock.
     */
    CellJob(JobId id, JobSpec spec, JobTerms terms, TimePoint acceptedAt);

    const JobId id;
    const JobSpec spec;
    const JobTerms terms; ///< Terms of the job's queue.
    const TimePoint acceptedAt; ///< When the job was submitted, on this process's clock.

    const JobUrgency urgency; ///< Inputs of the job's rank.

    JobState state = JobState::Queued; ///< State as decided by the leader; the stored state may lag behind.
    bool wasRecovered = false; ///< Whether the job was read from the store after a change of leader.
    std::optional<JobRank> rank; ///< Place in the order of jobs with waiting tasks; unset if no task waits.
    std::uint32_t placedTasks = 0; ///< Number of tasks whose phase is Placed.
    std::optional<TimePoint> firstStartAt; ///< When this leader first ordered a run of the job; unset if it never did.
    std::uint64_t startOrders = 0; ///< Number of start orders for the job's tasks.
    bool isLeaving = false; ///< Whether the job is being handed over to another cell, so that nothing of it may be started here.
    std::uint64_t runsBefore = 0; ///< Former cells of the job have numbered its runs up to this number at most.
    std::uint64_t refusedStarts = 0; ///< Number of start orders that certainly had no effect.

    /** @return Whether it is certain that no task of the job ever started. */
    bool hasNeverStarted() const;

    /** @return State of a task. @pre hasTask(ref) */
    TaskRecord &task(const TaskRef &ref);

    /** @return Step of a task. @pre hasTask(ref) */
    const StepSpec &step(const TaskRef &ref) const;

    /** @return Estimated duration of the longest path through the steps after a step. @pre The step exists. */
    Duration pathAfter(std::uint32_t step) const;

    /** @return Whether `ref` is a task of this job. */
    bool hasTask(const TaskRef &ref) const;

    /** @return Waiting tasks in the order in which they should start. */
    std::deque<TaskRef> &waiting();

    /** Marks a task as waiting, at the front of waiting() if this leader has ordered a run of it. @pre It is neither waiting nor done. */
    void makeWaiting(const TaskRef &ref);

    /** Takes a waiting task out of waiting(), as it has to run on its own. @pre The task is waiting. */
    void isolate(const TaskRef &ref);

    /**
     * Marks a task as done, unblocks later steps, and ends the job after its last task. A blocked task may be done: after a change of
     * leader its end may be listed before those of its predecessors.
     * @pre The task is not done.
     */
    void markDone(const TaskRef &ref);

    /**
     * Counts a failed run of a task, and fails the job once the task has used up its attempts. No effect if the run is counted already, as
     * two leaders may see its end.
     * @return Whether the job has failed.
     * @pre The job has not ended.
     */
    bool markFailedRun(const TaskRef &ref, RunNumber run);

    /** Ends the job and removes its waiting tasks. */
    void end(JobState finalState);

    /**
     * Restores stored progress, and marks all other unblocked tasks as unaccounted.
     * @pre No task was started.
     */
    void restore(const JobProgress &progress);

    /** Marks all unaccounted tasks as waiting. */
    void releaseUnaccounted();

    /** @return Whether the job can't end without the start of a task that is known not to run now. */
    bool needsStarts() const;

    /** @return Numbers of the steps with tasks that could start if there were room. */
    std::vector<std::uint32_t> startableSteps() const;

    /** @return Numbers of the steps that are not done. */
    std::vector<std::uint32_t> openSteps() const;

    /** @return Progress to store. */
    JobProgress progress() const;

    /** @return Smallest processor demand of a waiting task, in thousandths of a core. @pre A task is waiting. */
    std::int64_t smallestWaitingCpu() const;

    /** @return Work of the waiting tasks in core-milliseconds, by the caller's estimates. */
    double waitingWork() const;

    /** @return Work of the recovered tasks that are not accounted for yet, in core-milliseconds, by the caller's estimates. */
    double unaccountedWork() const;

private:
    void unblock();
    bool isReady(std::uint32_t step) const;

    std::vector<std::vector<TaskRecord>> tasks; ///< By step and index.
    std::vector<Duration> pathsAfter; ///< By step: see pathAfter().
    std::vector<std::uint32_t> remainingTaskCounts; ///< Number of tasks that are not done, by step.
    std::deque<TaskRef> waitingTasks; ///< In the order in which they should start.
    bool isRecovering = false; ///< Whether unblocked tasks become unaccounted instead of waiting.
};

/** @return Approximate memory of a job in bytes, while it is kept. Thread safety: any thread. */
std::size_t estimateMemory(const JobSpec &spec);

/** @return Estimated duration of the longest path through the steps of a valid job. Thread safety: any thread. */
Duration estimateCriticalPath(const JobSpec &spec);

/**
 * Validates a job.
 * @return The first fault, naming the field; empty if there is none.
 * Thread safety: any thread.
 */
std::string validateSpec(const JobSpec &spec);

} // namespace Tanagertally::Cells
