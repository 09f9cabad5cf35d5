/** Admission control: rejects jobs that cannot be finished before their deadline, with a time after which to retry. */
#pragma once

#include "blackboard/blackboard.h"

#include <optional>

namespace Tanagertally {

inline constexpr std::size_t MaxTasksPerJob = 1000; ///< Maximum number of tasks in a job.
inline constexpr Duration LongestTimeout = std::chrono::hours(1); ///< Maximum timeout of a job.

/**
 * Checks a job against limits and the configuration in force.
 * @return Nothing if the job is valid, otherwise an error whose field names the invalid part of the job.
 */
std::optional<Error> checkJob(const Blackboard &board, const JobSpec &job);

/**
 * Computes the time by which the tasks of a job should have been served. It lies before the deadline by a part of the
 * timeout, which is reserved for the run time of the tasks and for errors of the estimate, but never earlier than the tasks
 * could be served if no other task were waiting.
 * @param job A job that is submitted now.
 */
TimePoint dueTimeOf(Blackboard &board, const JobSpec &job);

/** Reason for which a job is not admitted. */
struct AdmissionRefusal {
    Error error;
    std::optional<Duration> retryAfter; ///< Time after which the caller should retry; unset if a retry cannot succeed.
};

/**
 * Decides whether a job is admitted, from the estimated wait of its tasks, its timeout and the quota of its team.
 * @param team Team of the caller.
 * @param job A job that checkJob() accepts.
 * @return Nothing if the job is admitted, otherwise the reason for the refusal.
 */
std::optional<AdmissionRefusal> checkAdmission(Blackboard &board, const TeamName &team, const JobSpec &job);

} // namespace Tanagertally
