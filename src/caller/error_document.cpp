#include "caller/error_document.h"

#include <nlohmann/json.hpp>

#include <array>

namespace Tanagertally {

namespace {

namespace http = boost::beast::http;
using Json = nlohmann::ordered_json;

constexpr Duration ConnectionRetryAfter = std::chrono::seconds(1); ///< Retry-After of a refused connection.

/** HTTP status of an error code. */
struct StatusRow {
    ErrorCode code; ///< Code of the error.
    http::status status; ///< Status of the reply.
};

constexpr std::array StatusTable = {
    StatusRow{ErrorCode::BadInput, http::status::bad_request},
    StatusRow{ErrorCode::NotFound, http::status::not_found},
    StatusRow{ErrorCode::Forbidden, http::status::forbidden},
    StatusRow{ErrorCode::Conflict, http::status::conflict},
    StatusRow{ErrorCode::Overloaded, http::status::service_unavailable},
    StatusRow{ErrorCode::QuotaExceeded, http::status::too_many_requests},
    StatusRow{ErrorCode::Infeasible, http::status::unprocessable_entity},
    StatusRow{ErrorCode::Unavailable, http::status::service_unavailable},
    StatusRow{ErrorCode::Stopping, http::status::service_unavailable},
    StatusRow{ErrorCode::Cancelled, http::status::conflict},
    StatusRow{ErrorCode::DeadlineExceeded, http::status::gateway_timeout},
    StatusRow{ErrorCode::HomeUnreachable, http::status::service_unavailable},
    StatusRow{ErrorCode::HomeLost, http::status::gone},
    StatusRow{ErrorCode::TaskFailed, http::status::ok},
    StatusRow{ErrorCode::Internal, http::status::internal_server_error},
};

/** Reply to one kind of refusal by the HTTP server. */
struct RefusalRow {
    HttpRefusal refusal; ///< Reason for the refusal.
    http::status status; ///< Status of the reply.
    ErrorCode code; ///< Code in the error document.
    std::string_view message; ///< Message in the error document, without the limit.
    bool canRetry; ///< Whether the reply carries Retry-After.
};

constexpr std::array RefusalTable = {
    RefusalRow{HttpRefusal::Malformed, http::status::bad_request, ErrorCode::BadInput, "the request is not well-formed HTTP/1.1", false},
    RefusalRow{HttpRefusal::HeaderTooLarge, http::status::request_header_fields_too_large, ErrorCode::BadInput,
               "the request's header is too long", false},
    RefusalRow{HttpRefusal::TrailersTooLarge, http::status::request_header_fields_too_large, ErrorCode::BadInput,
               "the trailers or a chunk's header are too long", false},
    RefusalRow{HttpRefusal::BodyTooLarge, http::status::payload_too_large, ErrorCode::BadInput, "the request's body is too long", false},
    RefusalRow{HttpRefusal::HeaderTimeout, http::status::request_timeout, ErrorCode::DeadlineExceeded,
               "the request's header did not come in time", false},
    RefusalRow{HttpRefusal::BodyTimeout, http::status::request_timeout, ErrorCode::DeadlineExceeded,
               "the request's body did not come in time", false},
    RefusalRow{HttpRefusal::OutOfMemory, http::status::service_unavailable, ErrorCode::Overloaded,
               "too many requests are arriving here, and this one takes long", true},
    RefusalRow{HttpRefusal::TooManyConnections, http::status::service_unavailable, ErrorCode::Overloaded,
               "too many connections are open here", true},
    RefusalRow{HttpRefusal::TooManyConnectionsFromAddress, http::status::too_many_requests, ErrorCode::QuotaExceeded,
               "too many connections are open from this address", true},
    RefusalRow{HttpRefusal::TooManyRequests, http::status::too_many_requests, ErrorCode::QuotaExceeded,
               "too many requests per second come from this address", true},
};

/** @return The exceeded limit, as text to append to the message; empty if the message doesn't quote one. */
std::string limitText(HttpRefusal refusal, const HttpLimits &limits)
{
    const auto milliseconds
        = [](Duration limit) { return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(limit).count()) + " ms"; };
    switch (refusal) {
    case HttpRefusal::HeaderTooLarge:
        return "; the limit is " + std::to_string(limits.maxHeaderBytes) + " bytes";
    case HttpRefusal::TrailersTooLarge:
        return "; the limit is " + std::to_string(limits.maxTrailerBytes) + " bytes";
    case HttpRefusal::BodyTooLarge:
        return "; the limit is " + std::to_string(limits.maxBodyBytes) + " bytes";
    case HttpRefusal::HeaderTimeout:
        return "; the limit is " + milliseconds(limits.headerTimeout);
    case HttpRefusal::BodyTimeout:
        return "; the limit is " + milliseconds(limits.bodyTimeout);
    default:
        return "";
    }
}

/** @return The time in which the rate limit of an address admits one more request. */
Duration rateRetryAfter(const HttpLimits &limits)
{
    const std::chrono::duration<double> wait(1.0 / limits.maxRequestRatePerAddress);
    return std::chrono::ceil<std::chrono::milliseconds>(wait);
}

/** @return An error document without a retry delay. */
ErrorDocument makeErrorDocument(ErrorCode code, std::string message, std::string field, std::optional<Verdict> verdict)
{
    return ErrorDocument{makeError(code, std::move(message), std::move(field)), verdict, std::nullopt};
}

} // namespace

http::status httpStatusOf(ErrorCode code)
{
    for (const StatusRow &row : StatusTable) {
        if (row.code == code) {
            return row.status;
        }
    }
    return http::status::internal_server_error;
}

HttpReply errorReply(const ErrorDocument &document, std::optional<http::status> status)
{
    Json json;
    json["code"] = toString(document.error.code);
    json["message"] = document.error.message;
    json["field"] = document.error.field;
    if (document.verdict) {
        json["verdict"] = toString(*document.verdict);
    }
    if (document.retryAfter) {
        json["retryAfterMs"] = std::chrono::ceil<std::chrono::milliseconds>(*document.retryAfter).count();
    }
    HttpReply reply;
    reply.status = status.value_or(httpStatusOf(document.error.code));
    reply.body = json.dump(-1, ' ', false, Json::error_handler_t::replace);
    reply.retryAfter = document.retryAfter;
    return reply;
}

HttpReply refusalReply(HttpRefusal refusal, const HttpLimits &limits)
{
    for (const RefusalRow &row : RefusalTable) {
        if (row.refusal != refusal) {
            continue;
        }
        ErrorDocument document = makeErrorDocument(row.code, std::string(row.message) + limitText(refusal, limits), {}, std::nullopt);
        if (row.canRetry) {
            document.retryAfter = refusal == HttpRefusal::TooManyRequests ? rateRetryAfter(limits) : ConnectionRetryAfter;
        }
        return errorReply(document, row.status);
    }
    return errorReply(makeErrorDocument(ErrorCode::Internal, "unknown refusal", {}, std::nullopt));
}

HttpReply pathNotFoundReply(std::string_view path, std::optional<Verdict> verdict)
{
    return errorReply(makeErrorDocument(ErrorCode::NotFound, "nothing is served at " + std::string(path), "path", verdict));
}

HttpReply methodNotAllowedReply(std::string_view allowed, std::optional<Verdict> verdict)
{
    const std::string message = "this path is served for " + std::string(allowed) + " only";
    HttpReply reply = errorReply(makeErrorDocument(ErrorCode::BadInput, message, "method", verdict), http::status::method_not_allowed);
    reply.allow = allowed;
    return reply;
}

HttpReply unauthorizedReply(std::optional<Verdict> verdict)
{
    const std::string message = "the Authorization header has to be \"Bearer \" and a known secret";
    HttpReply reply = errorReply(makeErrorDocument(ErrorCode::Forbidden, message, "Authorization", verdict), http::status::unauthorized);
    reply.authenticate = "Bearer";
    return reply;
}

} // namespace Tanagertally
