/** Codec of the callers' JSON documents: decodes and validates requests, encodes replies. */
#pragma once

#include "blackboard/job_type.h"
#include "caller/http_type.h"
#include "core/result_type.h"

#include <optional>
#include <string_view>

namespace Tanagertally {

inline constexpr std::uint32_t MaxKeysPerCall = 1000; ///< Largest number of keys issued by one call.
inline constexpr std::size_t MaxTasksPerJob = 1000; ///< Largest number of tasks in a job.
inline constexpr std::size_t MaxKeyBytes = 200; ///< Longest idempotency key.
inline constexpr std::size_t MaxKindBytes = 100; ///< Longest name of a request kind.
inline constexpr Duration DefaultWaitTimeout = std::chrono::seconds(5); ///< Timeout of a job in mode "wait", unless the request sets one.
inline constexpr Duration DefaultLaterTimeout = std::chrono::hours(1); ///< Timeout of a job in mode "later", unless the request sets one.
inline constexpr Duration MaxTimeout = std::chrono::hours(24); ///< Longest timeout that a request may set.
inline constexpr Duration MaxDeclaredRunTime = std::chrono::hours(1); ///< Longest run time that a task may declare.

/** A decoded submission. */
struct Submission {
    JobKey key; ///< Idempotency key of the job; empty if the instance has to issue one.
    JobSpec job; ///< The job.
};

/**
 * Decodes the body of POST /v1/keys.
 * @return The number of keys requested (1 if the body is empty), or BadInput with the invalid field. Thread safety: any thread.
 */
Result<std::uint32_t> decodeKeysRequest(std::string_view body);

/**
 * Decodes the body of POST /v1/jobs.
 * @param body JSON text.
 * @param headerKey Value of the Idempotency-Key header, if the request has one.
 * @return The submission, or BadInput with the invalid field. Thread safety: any thread.
 */
Result<Submission> decodeSubmission(std::string_view body, std::optional<std::string_view> headerKey);

/**
 * Validates an idempotency key.
 * @param text The key.
 * @param field Name of the field, header or path segment that it comes from, for the error.
 * @return The key, or BadInput unless it is 1 to MaxKeyBytes visible ASCII characters. Thread safety: any thread.
 */
Result<JobKey> checkKey(std::string_view text, std::string_view field);

/** @return The HTTP reply for a reply of the coordinator. Thread safety: any thread. */
HttpReply encodeCallerReply(const CallerReply &reply);

} // namespace Tanagertally
