/** The error document: the one shape of every refusal that callers and operators get. */
#pragma once

#include "caller/http_type.h"
#include "core/result_type.h"
#include "core/verdict_type.h"

#include <optional>

namespace Tanagertally {

/** What an error document says. */
struct ErrorDocument {
    Error error; ///< What was refused and why.
    std::optional<Verdict> verdict; ///< What is known about every submission under the key; unset if it wasn't looked up.
    std::optional<Duration> retryAfter; ///< When to come back; unset where coming back can't help.
};

/** @return The HTTP status of an error. Thread safety: any thread. */
boost::beast::http::status httpStatusOf(ErrorCode code);

/**
 * Write an error document.
 * @param document What it says.
 * @param status Status of the reply; by the error's code if unset.
 * @return The reply, with Retry-After where there is a time to come back. Thread safety: any thread.
 */
HttpReply errorReply(const ErrorDocument &document, std::optional<boost::beast::http::status> status = std::nullopt);

/** @return The reply to a request that the server refuses by itself. Thread safety: any thread. */
HttpReply refusalReply(HttpRefusal refusal, const HttpLimits &limits);

/** @return 404 for a path that nothing is served at; `verdict` as far as it is known. */
HttpReply unknownPathReply(std::string_view path, std::optional<Verdict> verdict);

/** @return 405 with the methods that the path knows. */
HttpReply unknownMethodReply(std::string_view allowed, std::optional<Verdict> verdict);

/** @return 401: no known secret in the Authorization header. */
HttpReply unauthorizedReply(std::optional<Verdict> verdict);

} // namespace Tanagertally
