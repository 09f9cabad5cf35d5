/** Plain types of jobs: what a caller submits, on which terms, and how it stands. */
#pragma once

#include "cells/cell_type.h"

#include <optional>
#include <string_view>
#include <vector>

namespace Tanagertally::Cells {

/** One step of a job: a number of like tasks. */
struct StepSpec {
    std::uint32_t count = 0; ///< Number of tasks.
    Resources demand; ///< What each task asks for.
    Duration estimate{}; ///< The caller's rough estimate of a task's run time; 0 if there is none.
    std::vector<std::uint32_t> after; ///< Steps whose tasks must all be done first.
    std::string requirement; ///< Label that an endpoint must have; empty for none.
    RackLabel affinity; ///< Rack near the data; empty for none.
    std::uint32_t maxPerEndpoint = 0; ///< Most tasks of the step that run on one endpoint; 0 for no limit.
};

/** @return Work of one task of a step in core-milliseconds, by the caller's estimate. */
inline double workOf(const StepSpec &step)
{
    return std::chrono::duration<double, std::milli>(step.estimate).count() * static_cast<double>(step.demand.cpu) / 1000;
}

/** What a job consists of. */
struct JobSpec {
    std::shared_ptr<const std::string> payload; ///< Handed to each task as it is.
    std::vector<StepSpec> steps; ///< The steps.
    bool isBestEffort = false; ///< Whether the job is not stored: its caller waits for its end and hands it in again if it is lost.
};

/** Terms of the queue that a job was submitted to, fixed when it is accepted. */
struct JobTerms {
    QueueName queue; ///< The queue.
    ServiceName service; ///< Endpoints that run its tasks.
    std::uint32_t priority = 0; ///< 0 is the most urgent.
    std::uint32_t maxAttempts = 1; ///< A task that failed as often as this fails its job.
    double stretch = 1; ///< Factor on the ideal run time that callers accept.
    Duration targetDuration{}; ///< Time that callers accept beyond that.
};

/** How a job stands. */
enum class JobState : std::uint8_t {
    Queued, ///< Accepted; no task has started.
    Running, ///< A task has started.
    Done, ///< All tasks ended well.
    Failed, ///< A task failed too often.
    Cancelled, ///< The caller cancelled it.
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

/** How a run of a task ended, as its endpoint lists it. */
enum class RunEnd : std::uint8_t {
    Done, ///< It did its work.
    Failed, ///< It failed, by its own fault or the endpoint's.
    Stopped, ///< It was stopped on order.
    Lapsed, ///< The endpoint's lease ran out.
    Broken, ///< Another member of its group ended.
};

/** @return Name of an end. */
constexpr std::string_view toString(RunEnd end)
{
    switch (end) {
    case RunEnd::Done:
        return "done";
    case RunEnd::Failed:
        return "failed";
    case RunEnd::Stopped:
        return "stopped";
    case RunEnd::Lapsed:
        return "lapsed";
    case RunEnd::Broken:
        return "broken";
    }
    return "lapsed";
}

/** What became of a submission. */
enum class SubmitVerdict : std::uint8_t {
    Accepted, ///< The job is stored.
    Ended, ///< The best-effort job has ended; `state` tells how.
    Refused, ///< The job is not stored and never will be under this submission.
    Unknown, ///< It may be stored.
};

inline constexpr std::string_view NotLeadingReason = "not-leading"; ///< Refused without effect: another instance leads the cell.
inline constexpr std::string_view NoEndpointReason = "no-endpoint-fits"; ///< Refused without effect: no endpoint could ever run it.
inline constexpr std::string_view OverloadedReason = "overloaded"; ///< Refused without effect: it could not end in time.
inline constexpr std::string_view HopelessReason = "too-late"; ///< Given up: a task of it may have run, and it can't end in time.
inline constexpr std::string_view MovedReason = "moved"; ///< The lead of the cell changed; the next leader has to be asked.

/** Answer to a submission. */
struct SubmitAnswer {
    SubmitVerdict verdict = SubmitVerdict::Unknown; ///< What became of it.
    std::string reason; ///< Why it was refused; empty otherwise.
    std::optional<Duration> retryAfter; ///< When to come back, if that can help.
    JobState state = JobState::Queued; ///< How a best-effort job ended.
};

/** Answer to a question about a job, or to its cancelling. */
struct JobAnswer {
    enum class Kind : std::uint8_t {
        Known, ///< `state` holds.
        NoSuchJob, ///< There is no such job.
        Unknown, ///< It can't be told now.
    };
    Kind kind = Kind::Unknown; ///< Which of them.
    JobState state = JobState::Queued; ///< How the job stands, if known.
};

} // namespace Tanagertally::Cells
