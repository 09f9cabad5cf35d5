/** Jobs and tasks as callers submit them, and the answers that callers get. */
#pragma once

#include "blackboard/id_type.h"
#include "core/result_type.h"
#include "core/time_type.h"
#include "core/verdict_type.h"

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Tanagertally {

/** Raw JSON text of a task's input or output, shared between threads without copying. */
using Payload = std::shared_ptr<const std::string>;

/** One task of a job. */
struct TaskSpec {
    KindName kind; ///< Kind of request.
    Payload payload; ///< Input for the endpoint; never null.
    Duration declaredRunTime{}; ///< The caller's estimate; zero if none was given.
};

/** How a caller wants its answer. */
enum class SubmitMode : std::uint8_t {
    Wait, ///< The reply to the submission is the job's answer.
    Later, ///< The reply is an acceptance, and the answer is fetched.
};

/** A job: tasks submitted together, with one answer. */
struct JobSpec {
    std::vector<TaskSpec> tasks; ///< The tasks, 1 to 1,000.
    Duration timeout{}; ///< Time from submission within which the answer is wanted.
    SubmitMode mode = SubmitMode::Wait; ///< How the answer is wanted.
};

/** How one task of a job ended. */
struct TaskAnswer {
    Verdict verdict = Verdict::NotRun; ///< Whether the task ran.
    bool succeeded = false; ///< Whether it ran and the endpoint reported success.
    Payload output; ///< What the endpoint answered; null unless it succeeded.
    std::string error; ///< Why it failed; empty if it succeeded.
};

/** How a job ended. */
enum class JobOutcome : std::uint8_t {
    Complete, ///< Every task succeeded and its output is in the answer.
    Failed, ///< At least one task did not succeed; the answer carries verdicts and no outputs.
};

/** The whole answer to a job. */
struct JobAnswer {
    JobKey key; ///< Key of the job.
    JobOutcome outcome = JobOutcome::Failed; ///< Complete or failed.
    ErrorCode reason = ErrorCode::Internal; ///< Why it failed; meaningless if complete.
    std::string message; ///< Why it failed, for a person.
    std::vector<TaskAnswer> tasks; ///< One entry for each task of the job, in order.
};

/** Where a job stands. */
enum class JobState : std::uint8_t {
    Pending, ///< Accepted; no task has started.
    Running, ///< At least one task has started.
    Answered, ///< The answer is there to fetch.
    Unused, ///< The key was issued and no job has been submitted under it.
    Closed, ///< The key can no longer be used.
};

/** @return The name of a job's state, such as "running". */
std::string_view toString(JobState state);

/** Progress of a job. */
struct JobStatus {
    JobKey key; ///< Key of the job.
    JobState state = JobState::Pending; ///< Where it stands.
    std::uint32_t tasks = 0; ///< Number of its tasks.
    std::uint32_t started = 0; ///< Tasks started so far.
    std::uint32_t finished = 0; ///< Tasks finished so far.
};

/** A refusal or a final answer without a job's answer. */
struct Refusal {
    Error error; ///< What was refused and why.
    Verdict verdict = Verdict::NotRun; ///< What is known about every submission under this key so far.
    std::optional<Duration> retryAfter; ///< When to come back; unset where coming back can't help.
};

/** Keys issued to a caller. */
struct KeysIssued {
    std::vector<JobKey> keys; ///< Fresh keys, each good for one job.
    Duration validFor{}; ///< How long a job can be submitted under them.
};

/** A job accepted for later: it is durable and will be finished. */
struct JobAccepted {
    JobKey key; ///< Key under which to fetch the answer.
};

/** Whatever a caller can be told. */
using CallerReply = std::variant<KeysIssued, JobAccepted, JobStatus, JobAnswer, Refusal>;

} // namespace Tanagertally
