/** Jobs and tasks as submitted by callers, and the replies to callers. */
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
    Duration declaredRunTime{}; ///< Run time estimated by the caller; zero if not declared.
};

/** How the answer is delivered to the caller. */
enum class SubmitMode : std::uint8_t {
    Wait, ///< The reply to the submission is the answer of the job.
    Later, ///< The reply to the submission is an acceptance; the caller fetches the answer later.
};

/** A job: tasks that are submitted together and answered together. */
struct JobSpec {
    std::vector<TaskSpec> tasks; ///< 1 to 1,000 tasks.
    Duration timeout{}; ///< Time from submission to the deadline; more than 0 and at most 1 h.
    SubmitMode mode = SubmitMode::Wait; ///< How the answer is delivered.
};

/** Result of one task. Until the task has ended, only the verdict is current, and it does not cover attempts in flight. */
struct TaskAnswer {
    Verdict verdict = Verdict::NotRun; ///< Whether the task is known to have run.
    bool succeeded = false; ///< Whether it ran and the endpoint reported success.
    Payload output; ///< Output from the endpoint; null unless it succeeded.
    std::string error; ///< Reason of the failure; empty if it succeeded.
};

/** Result of a job. */
enum class JobOutcome : std::uint8_t {
    Complete, ///< Every task succeeded and its output is in the answer.
    Failed, ///< At least one task did not succeed; the answer contains verdicts and no outputs.
};

/** The final answer to a job. */
struct JobAnswer {
    JobKey key; ///< Key of the job.
    JobOutcome outcome = JobOutcome::Failed; ///< Result of the job as a whole.
    ErrorCode reason = ErrorCode::Internal; ///< Reason of the failure; meaningless if complete.
    std::string message; ///< Human-readable reason of the failure.
    std::vector<TaskAnswer> tasks; ///< One entry for each task of the job, in order.
};

/** State of a job or of a key without a job, as reported to the caller. */
enum class JobState : std::uint8_t {
    Pending, ///< Accepted; no task has started.
    Running, ///< At least one task has started.
    Answered, ///< The answer can be fetched.
    Unused, ///< The key was issued and no job has been submitted under it.
    Closed, ///< The key can no longer be used.
};

/** @return The state as written in answers, such as "running". */
std::string_view toString(JobState state);

/** Progress of a job. */
struct JobStatus {
    JobKey key; ///< Key of the job.
    JobState state = JobState::Pending; ///< Current state.
    std::uint32_t tasks = 0; ///< Total number of tasks.
    std::uint32_t started = 0; ///< Number of tasks started so far.
    std::uint32_t finished = 0; ///< Number of tasks finished so far.
};

/** A reply without a result: a refused call, or a job whose answer can't be delivered. */
struct Refusal {
    Error error; ///< Reason of the refusal.
    Verdict verdict = Verdict::NotRun; ///< Combined verdict on all submissions under this key so far.
    std::optional<Duration> retryAfter; ///< Delay after which the caller should retry; unset where a retry can't succeed.
};

/** Keys issued to a caller. */
struct KeysIssued {
    std::vector<JobKey> keys; ///< New keys, each valid for one job.
    Duration validFor{}; ///< Time within which a job can be submitted under them.
};

/** Acceptance of a job in mode Later: the job is stored durably and will be finished. */
struct JobAccepted {
    JobKey key; ///< Key under which to fetch the answer.
};

/** Reply to a caller. */
using CallerReply = std::variant<KeysIssued, JobAccepted, JobStatus, JobAnswer, Refusal>;

} // namespace Tanagertally
