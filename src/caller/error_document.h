/** The error document: the JSON body of every refusal to callers and operators. */
#pragma once

#include "caller/http_type.h"
#include "core/result_type.h"
#include "core/verdict_type.h"

#include <optional>

namespace Tanagertally {

/** Contents of an error document. */
struct ErrorDocument {
    Error error; ///< Code, message and field.
    std::optional<Verdict> verdict; ///< Verdict on all submissions under the key; unset if it wasn't looked up.
    std::optional<Duration> retryAfter; ///< Delay before the next try; unset if a retry can't help.
};

/** @return The HTTP status of an error code. Thread safety: any thread. */
boost::beast::http::status httpStatusOf(ErrorCode code);

/**
 * Encodes an error document.
 * @param document Contents of the document.
 * @param status Status of the reply; if unset, that of the error's code.
 * @return The reply, with a Retry-After header if `retryAfter` is set. Thread safety: any thread.
 */
HttpReply errorReply(const ErrorDocument &document, std::optional<boost::beast::http::status> status = std::nullopt);

/** @return The reply to a request or connection that the HTTP server refuses. Thread safety: any thread. */
HttpReply refusalReply(HttpRefusal refusal, const HttpLimits &limits);

/** @return 404 for a path without a resource; `verdict` is unset if unknown. */
HttpReply pathNotFoundReply(std::string_view path, std::optional<Verdict> verdict);

/** @return 405 with `allowed`, the methods that the path supports, in the Allow header. */
HttpReply methodNotAllowedReply(std::string_view allowed, std::optional<Verdict> verdict);

/** @return 401 for a request without a known secret in its Authorization header. */
HttpReply unauthorizedReply(std::optional<Verdict> verdict);

} // namespace Tanagertally
