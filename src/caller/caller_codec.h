/** The callers' JSON documents: requests read with every field checked, and replies written. */
#pragma once

#include "blackboard/job_type.h"
#include "caller/http_type.h"
#include "core/result_type.h"

#include <optional>
#include <string_view>

namespace Tanagertally {

inline constexpr std::uint32_t MaxKeysPerCall = 1000; ///< Most keys issued by one call.
inline constexpr std::size_t MaxTasksPerJob = 1000; ///< Most tasks in a job.
inline constexpr std::size_t MaxKeyBytes = 200; ///< Longest key.
inline constexpr std::size_t MaxKindBytes = 100; ///< Longest name of a kind.
inline constexpr Duration DefaultWaitTimeout = std::chrono::seconds(5); ///< Timeout of a job whose caller waits, if none is given.
inline constexpr Duration DefaultLaterTimeout = std::chrono::hours(1); ///< Timeout of a job accepted for later, if none is given.
inline constexpr Duration MaxTimeout = std::chrono::hours(24); ///< Longest timeout of a job.
inline constexpr Duration MaxDeclaredRunTime = std::chrono::hours(1); ///< Longest run time that can be declared.

/** A submission as it was read. */
struct Submission {
    JobKey key; ///< Key of the job; empty to have one issued.
    JobSpec job; ///< The job.
};

/**
 * Read the body of POST /v1/keys.
 * @return The number of keys wanted (1 if the body is empty), or BadInput with the field. Thread safety: any thread.
 */
Result<std::uint32_t> decodeKeysRequest(std::string_view body);

/**
 * Read the body of POST /v1/jobs.
 * @param body JSON text.
 * @param headerKey Value of the Idempotency-Key header, if it was sent.
 * @return The submission, or BadInput with the field. Thread safety: any thread.
 */
Result<Submission> decodeSubmission(std::string_view body, std::optional<std::string_view> headerKey);

/**
 * Check a key.
 * @param text The key.
 * @param field Where it was given, for the error.
 * @return The key, or BadInput unless it is 1 to MaxKeyBytes visible ASCII characters. Thread safety: any thread.
 */
Result<JobKey> checkKey(std::string_view text, std::string_view field);

/** @return A reply of the decision part as callers get it. Thread safety: any thread. */
HttpReply encodeCallerReply(const CallerReply &reply);

} // namespace Tanagertally
