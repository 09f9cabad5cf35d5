/** A job as its cell's leader keeps it. */
#pragma once

#include "cells/job_order.h"
#include "cells/job_type.h"

#include <deque>
#include <vector>

namespace Tanagertally::Cells {

/** What a task is doing. */
enum class TaskPhase : std::uint8_t {
    Blocked, ///< An earlier step isn't done.
    Unaccounted, ///< A former leader may have started it somewhere; not to be started until that is settled.
    Waiting, ///< May be started.
    Placed, ///< A run of it is on an endpoint, or may be.
    Done, ///< Ended well.
};

/** One task. */
struct TaskRecord {
    TaskPhase phase = TaskPhase::Blocked; ///< What it is doing.
    std::uint32_t failures = 0; ///< Runs that ended as failed.
    bool wasStalled = false; ///< Whether a run of it was stopped for standing still.
    std::uint32_t starts = 0; ///< Runs that this leader has given out.
    EndpointName lastEndpoint; ///< Where it failed last; empty if nowhere.
};

/** What is stored of the progress of a job. */
struct JobProgress {
    struct TaskFailures {
        std::uint32_t step = 0; ///< The step.
        std::uint32_t index = 0; ///< The task.
        std::uint32_t failures = 0; ///< Its failed runs.
    };
    struct DoneTask {
        std::uint32_t step = 0; ///< The step.
        std::uint32_t index = 0; ///< The task.
    };
    JobState state = JobState::Queued; ///< How the job stands.
    std::vector<DoneTask> done; ///< Tasks that ended well; empty once the job has ended.
    std::vector<TaskFailures> failures; ///< Tasks with failed runs.
};

/**
 * A job and its tasks. Thread safety: none.
 */
class CellJob
{
public:
    /**
     * Make a job whose first steps may start.
     * @param id Its name.
     * @param spec What it consists of; validateSpec() accepts it.
     * @param terms Terms of its queue.
     * @param acceptedAt When it was handed in.
     */
    CellJob(JobId id, JobSpec spec, JobTerms terms, TimePoint acceptedAt);

    const JobId id; ///< Its name.
    const JobSpec spec; ///< What it consists of.
    const JobTerms terms; ///< Terms of its queue.
    const TimePoint acceptedAt; ///< When it was handed in, on this process's clock.

    const JobUrgency urgency; ///< What its place in the order depends on.

    JobState state = JobState::Queued; ///< How it stands, as decided; what is stored may lag.
    bool wasRecovered = false; ///< Whether it was read from the store after a change of leadership.
    std::optional<JobRank> rank; ///< Place in the order of waiting jobs; unset if none of its tasks waits.
    std::uint32_t placedTasks = 0; ///< Tasks whose phase is Placed.
    std::uint64_t startOrders = 0; ///< Orders to start a run of it.
    std::uint64_t refusedStarts = 0; ///< Such orders that certainly had no effect.

    /** @return Whether it is certain that no task of it ever started. */
    bool isUntried() const;

    /** @return The record of a task. @pre The task is one of the job. */
    TaskRecord &task(const TaskRef &ref);

    /** @return The step of a task. @pre The task is one of the job. */
    const StepSpec &step(const TaskRef &ref) const;

    /** @return Whether `ref` is a task of this job. */
    bool hasTask(const TaskRef &ref) const;

    /** @return The tasks that wait, in the order in which they should start. */
    std::deque<TaskRef> &waiting();

    /** Let a task wait for a start, before the others if it was started before. @pre It is not waiting or done. */
    void makeWaiting(const TaskRef &ref);

    /** Count a task as done, unblock steps, and end the job if it was the last. @pre It is not done. */
    void markDone(const TaskRef &ref);

    /**
     * Count a failed run, and fail the job if there were too many.
     * @return Whether the job failed by it.
     */
    bool markFailedRun(const TaskRef &ref);

    /** End the job; no task waits any more. */
    void end(JobState finalState);

    /**
     * Take over progress that was stored, and count all other tasks whose step may run as unaccounted.
     * @pre Nothing was started.
     */
    void restore(const JobProgress &progress);

    /** Let all unaccounted tasks wait. */
    void releaseUnaccounted();

    /** @return The progress as it should be stored. */
    JobProgress progress() const;

    /** @return Work of the tasks that wait, in core-milliseconds, by the caller's estimates. */
    double waitingWork() const;

private:
    void unblock();
    bool isReady(std::uint32_t step) const;

    std::vector<std::vector<TaskRecord>> tasks; ///< By step and index.
    std::vector<std::uint32_t> undone; ///< Tasks of each step that are not done.
    std::deque<TaskRef> waitingTasks; ///< Tasks that wait.
    bool holdsUnaccounted = false; ///< Whether unblocked tasks become unaccounted instead of waiting.
};

/**
 * Check a job.
 * @return Empty, or what is wrong with it, naming the field.
 * Thread safety: any thread.
 */
std::string findSpecFault(const JobSpec &spec);

} // namespace Tanagertally::Cells
