/** Admission: whether a job can be finished in time, and when to come back if not. */
#pragma once

#include "blackboard/blackboard.h"

#include <optional>

namespace Tanagertally {

inline constexpr std::size_t MaxTasksPerJob = 1000; ///< Most tasks in a job.
inline constexpr Duration LongestTimeout = std::chrono::hours(1); ///< Longest time that a caller can ask for.

/**
 * Check a job against the configuration in force.
 * @param board The state.
 * @param job The job.
 * @return Nothing, or an error whose field names the part of the job.
 */
std::optional<Error> checkJob(const Blackboard &board, const JobSpec &job);

/**
 * Tell when the tasks of a job are wanted to be served: before its deadline by a part of its timeout, which is left for the
 * tasks' own run time and for what was estimated wrongly; but not before they could be if nothing else waited.
 * @param board The state.
 * @param job A job that is submitted now.
 */
TimePoint wantedAt(Blackboard &board, const JobSpec &job);

/** Why a job is not admitted now. */
struct AdmissionRefusal {
    Error error; ///< Why.
    std::optional<Duration> retryAfter; ///< When to come back; unset if that can't help.
};

/**
 * Decide whether a job is admitted: by the estimated wait of its tasks against its timeout, and by its team's quota.
 * @param board The state.
 * @param team Team of the caller.
 * @param job A job that checkJob() accepts.
 * @return Nothing, or why not.
 */
std::optional<AdmissionRefusal> checkAdmission(Blackboard &board, const TeamName &team, const JobSpec &job);

} // namespace Tanagertally
