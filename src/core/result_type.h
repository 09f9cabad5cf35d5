/** Results of functions that can fail for an expected reason. */
#pragma once

#include <boost/outcome/result.hpp>

#include <cstdint>
#include <string>
#include <utility>

namespace Tanagertally {

/** Why something was refused, as a code that programs can act on. */
enum class ErrorCode : std::uint8_t {
    BadInput, ///< The input is malformed; `field` names the part.
    NotFound, ///< Nothing is known under this name.
    Forbidden, ///< The caller may not do this.
    Conflict, ///< Another change came first, or the key stands for another job.
    Overloaded, ///< The request can't be finished in time; come back later.
    QuotaExceeded, ///< The team is over its quota; come back later.
    Infeasible, ///< No endpoint can ever run this.
    Unavailable, ///< Something needed for this is out of reach now.
    Stopping, ///< This instance is shutting down.
    Cancelled, ///< The job was cancelled.
    DeadlineExceeded, ///< The deadline passed.
    HomeUnreachable, ///< The instance that holds this key can't be reached now.
    HomeLost, ///< The instance that held this key is gone for good.
    TaskFailed, ///< A task of the job failed.
    Internal, ///< An invariant of this program failed.
};

/** An error: code, text and the part of the input that it speaks of. */
struct Error {
    ErrorCode code = ErrorCode::Internal; ///< What kind of error.
    std::string message; ///< One sentence for a person.
    std::string field; ///< The field, key or file:line that it speaks of; empty if none.
};

/** Either a value or an Error. */
template<typename T>
using Result = boost::outcome_v2::result<T, Error, boost::outcome_v2::policy::terminate>;

/** Make an Error to return from a function with a Result. */
inline Error makeError(ErrorCode code, std::string message, std::string field = {})
{
    return Error{code, std::move(message), std::move(field)};
}

/** @return The error code as it is written in answers and logs, such as "bad-input". */
std::string_view toString(ErrorCode code);

} // namespace Tanagertally
