/** Plain types of jobs: specification, terms, state, and answers to callers. */
#pragma once

#include "cells/cell_type.h"

#include <optional>
#include <string_view>
#include <vector>

namespace Tanagertally::Cells {

/** Longest estimate and target duration of a job. Sums over its steps, times MaxStretch and LateFactor, stay within a Duration. */
inline constexpr Duration MaxEstimate = std::chrono::hours(24);
/** Largest factor on the ideal run time of a job. */
inline constexpr double MaxStretch = 20;

/** One step of a job: a number of identical tasks. */
struct StepSpec {
    std::uint32_t count = 0; ///< Number of tasks.
    Resources demand; ///< Resources that each task demands.
    Duration estimate{}; ///< The caller's estimate of a task's run time; 0 if there is none.
    std::vector<std::uint32_t> after; ///< Numbers of the steps whose tasks must all be done first.
    std::string requirement; ///< Label that an endpoint must have; empty for none.
    RackLabel affinity; ///< Preferred rack, near the data; empty for none.
    std::uint32_t maxPerEndpoint = 0; ///< Maximum number of the step's tasks that run on one endpoint at a time; 0 for no limit.
};

/** @return Work of one task of a step in core-milliseconds, by the caller's estimate. */
inline double estimatedTaskWork(const StepSpec &step)
{
    return std::chrono::duration<double, std::milli>(step.estimate).count() * static_cast<double>(step.demand.cpu) / 1000;
}

/** Specification of a job as submitted. */
struct JobSpec {
    std::shared_ptr<const std::string> payload; ///< Passed unchanged to each task.
    std::vector<StepSpec> steps;
    bool isBestEffort = false; ///< Whether the job is not stored: its caller waits for its end and submits it again if it is lost.
};

/** Terms of the queue that a job was submitted to, fixed when it is accepted. */
struct JobTerms {
    QueueName queue;
    ServiceName service; ///< Service whose endpoints run the tasks.
    std::uint32_t priority = 0; ///< 0 is the most urgent.
    std::uint32_t maxAttempts = 1; ///< Number of failed runs of a task after which its job fails.
    double stretch = 1; ///< Factor on the ideal run time that callers accept.
    Duration targetDuration{}; ///< Time that callers accept beyond that.
};

/** @return Step and index of a task for the log, such as "0.3". */
inline std::string toText(const TaskRef &task)
{
    return std::to_string(task.step) + "." + std::to_string(task.index);
}

/** State of a job. */
enum class JobState : std::uint8_t {
    Queued, ///< Accepted; no task has started.
    Running, ///< A task has started.
    Done, ///< All tasks succeeded.
    Failed, ///< A task has used up its attempts.
    Cancelled, ///< The caller cancelled the job, or the leader ended a best-effort job that can't end in time.
};

/** @return Whether a job in this state has ended. */
constexpr bool isFinal(JobState state)
{
    return state == JobState::Done || state == JobState::Failed || state == JobState::Cancelled;
}

/** @return Name of a state, such as "queued". */
constexpr std::string_view toString(JobState state)
{
    switch (state) {
    case JobState::Queued:
        return "queued";
    case JobState::Running:
        return "running";
    case JobState::Done:
        return "done";
    case JobState::Failed:
        return "failed";
    case JobState::Cancelled:
        return "cancelled";
    }
    return "queued";
}

/** Outcome of a run as listed by its endpoint. */
enum class RunOutcome : std::uint8_t {
    Done, ///< The run succeeded.
    Failed, ///< The run failed, by the task's fault or the endpoint's.
    Stopped, ///< The run was stopped on order.
    Lapsed, ///< The endpoint's lease expired.
    Broken, ///< Another member of the run's group ended.
};

/** @return Name of an outcome, such as "done". */
constexpr std::string_view toString(RunOutcome end)
{
    switch (end) {
    case RunOutcome::Done:
        return "done";
    case RunOutcome::Failed:
        return "failed";
    case RunOutcome::Stopped:
        return "stopped";
    case RunOutcome::Lapsed:
        return "lapsed";
    case RunOutcome::Broken:
        return "broken";
    }
    return "lapsed";
}

/** Verdict on a submission. */
enum class SubmitVerdict : std::uint8_t {
    Accepted, ///< The job is stored.
    Ended, ///< The best-effort job has ended; `state` holds its final state.
    Refused, ///< The job is not stored and never will be under this submission.
    Unknown, ///< The job may be stored, or may have run.
};

/** Refused without effect: another instance leads the cell. */
inline constexpr std::string_view NotLeadingReason = "not-leading";
/** Refused without effect: no endpoint could ever run one of its steps. */
inline constexpr std::string_view NoEndpointReason = "no-endpoint-fits";
/** Refused without effect: the job could not end in time. */
inline constexpr std::string_view OverloadedReason = "overloaded";
/** Refused without effect: the operators have evacuated the cell's failure domain. As the reason of an unknown verdict: the job may have
 * run, and can't go on there. */
inline constexpr std::string_view EvacuatedReason = "evacuated";
/** Refused without effect: the process that took the submission was suspended, so that the caller may have given up since. As the reason of
 * an unknown verdict: the job may have run before. */
inline constexpr std::string_view SuspendedReason = "suspended";
/** Refused without effect: the leader has no memory for another job. As the reason of an unknown verdict: the instance that the caller is
 * connected to has none to pass the job on. */
inline constexpr std::string_view NoMemoryReason = "no-memory";
/** Time after which a job that was refused for lack of memory should be submitted again: the smallest one that callers can be told. */
inline constexpr Duration NoMemoryRetryAfter = std::chrono::seconds(1);
/** Verdict unknown: the caller stops waiting, and the job has not ended. */
inline constexpr std::string_view NoAnswerInTimeReason = "no answer in time";
/** Verdict unknown: a task of the job may have run, and the job can't end in time. */
inline constexpr std::string_view TooLateReason = "too-late";
/** The lead of the cell has moved; the submission has to be sent to the next leader. */
inline constexpr std::string_view LeadMovedReason = "moved";

/** Answer to a submission. */
struct SubmitAnswer {
    SubmitVerdict verdict = SubmitVerdict::Unknown;
    std::string reason; ///< Reason of a refusal or of an unknown verdict; empty otherwise.
    std::optional<Duration> retryAfter; ///< When to submit again; unset if a retry can't help.
    JobState state = JobState::Queued; ///< Final state of a best-effort job; valid if the verdict is Ended.
};

/** Answer to a query about a job or to a request to cancel it. */
struct JobAnswer {
    enum class Kind : std::uint8_t {
        Known, ///< `state` is valid.
        NoSuchJob, ///< The job doesn't exist.
        Unknown, ///< The state can't be determined now.
    };
    Kind kind = Kind::Unknown;
    JobState state = JobState::Queued; ///< State of the job if known.
};

} // namespace Tanagertally::Cells
