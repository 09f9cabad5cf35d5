/** Result and error types of functions that can fail for an expected reason. */
#pragma once

#include <boost/outcome/result.hpp>

#include <cstdint>
#include <string>
#include <utility>

namespace Tanagertally {

/** Machine-readable reason of a failure or refusal. */
enum class ErrorCode : std::uint8_t {
    BadInput, ///< The input is malformed; Error::field names the offending part.
    NotFound, ///< No object exists under this name or key.
    Forbidden, ///< The caller lacks the permission for this operation.
    Conflict, ///< A concurrent change was applied first, or the key already belongs to a different job.
    Overloaded, ///< The request can't be finished in time; the caller should retry later.
    QuotaExceeded, ///< The team exceeds its quota; the caller should retry later.
    Infeasible, ///< No endpoint can run this request within its timeout.
    Unavailable, ///< A required endpoint, instance or store is currently unavailable.
    Stopping, ///< This instance is shutting down.
    Cancelled, ///< The job was cancelled.
    DeadlineExceeded, ///< The job's deadline passed before it was answered.
    HomeUnreachable, ///< The home instance of this key is currently unreachable.
    HomeLost, ///< The home instance of this key is permanently lost.
    TaskFailed, ///< A task of the job failed.
    Internal, ///< An internal invariant was violated.
};

/** An error: its code, a message and the part of the input that caused it. */
struct Error {
    ErrorCode code = ErrorCode::Internal; ///< Machine-readable reason.
    std::string message; ///< Human-readable description, one sentence.
    std::string field; ///< Field, key or file:line that caused the error; empty if none.
};

/** Either a value or an Error. Accessing the value of a failed result terminates the process. */
template<typename T>
using Result = boost::outcome_v2::result<T, Error, boost::outcome_v2::policy::terminate>;

/** Builds an Error, to be returned from a function with a Result. */
inline Error makeError(ErrorCode code, std::string message, std::string field = {})
{
    return Error{code, std::move(message), std::move(field)};
}

/** @return The error code as written in answers and logs, such as "bad-input". */
std::string_view toString(ErrorCode code);

} // namespace Tanagertally
