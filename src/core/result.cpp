#include "core/result_type.h"

namespace Tanagertally {

std::string_view toString(ErrorCode code)
{
    switch (code) {
    case ErrorCode::BadInput:
        return "bad-input";
    case ErrorCode::NotFound:
        return "not-found";
    case ErrorCode::Forbidden:
        return "forbidden";
    case ErrorCode::Conflict:
        return "conflict";
    case ErrorCode::Overloaded:
        return "overloaded";
    case ErrorCode::QuotaExceeded:
        return "quota-exceeded";
    case ErrorCode::Infeasible:
        return "infeasible";
    case ErrorCode::Unavailable:
        return "unavailable";
    case ErrorCode::Stopping:
        return "stopping";
    case ErrorCode::Cancelled:
        return "cancelled";
    case ErrorCode::DeadlineExceeded:
        return "deadline-exceeded";
    case ErrorCode::HomeUnreachable:
        return "home-unreachable";
    case ErrorCode::HomeLost:
        return "home-lost";
    case ErrorCode::TaskFailed:
        return "task-failed";
    case ErrorCode::Internal:
        return "internal";
    }
    return "internal";
}

} // namespace Tanagertally
