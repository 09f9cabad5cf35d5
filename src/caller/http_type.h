/** Plain types of the HTTP server: limits, requests as handlers see them, and replies. */
#pragma once

#include "controllers/event_type.h"
#include "core/time_type.h"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace Tanagertally {

/** What one listener accepts from its callers. */
struct HttpLimits {
    std::uint32_t maxHeaderBytes = 8 * 1024; ///< Longest header, with the request line.
    std::uint64_t maxBodyBytes = 8UL * 1024 * 1024; ///< Longest body.
    std::size_t maxConnections = 4096; ///< Most connections open at once.
    std::size_t maxConnectionsPerAddress = 4096; ///< Most connections open at once from one remote IP address.
    double maxRequestRatePerAddress = 0; ///< Most requests per second from one remote IP address; 0 for no limit.
    double requestBurstPerAddress = 100; ///< Requests from one remote IP address that may come at once.
    Duration headerTimeout = std::chrono::seconds(5); ///< Time from a request's first byte to the end of its header.
    Duration bodyTimeout = std::chrono::seconds(30); ///< Time from the end of a request's header to the end of its body.
    Duration idleTimeout = std::chrono::seconds(75); ///< Time that a connection stays open without a request.
    Duration writeTimeout = std::chrono::seconds(30); ///< Time in which a caller has to take a reply.
    Duration lingerTimeout = std::chrono::milliseconds(500); ///< Time given to a caller to close its side after the last reply.
};

/** A request as the Beast parser gives it. */
using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;

/** A reply before it is put on the wire. */
struct HttpReply {
    boost::beast::http::status status = boost::beast::http::status::ok; ///< Status.
    std::string body; ///< Body.
    std::string contentType = "application/json"; ///< Type of the body.
    std::optional<Duration> retryAfter; ///< Sent as Retry-After in seconds, rounded up.
    std::string allow; ///< Methods for the Allow header; empty to leave it out.
    std::string authenticate; ///< Value of the WWW-Authenticate header; empty to leave it out.
    bool closeAfter = false; ///< Whether the connection ends with this reply.
};

/** What a handler makes of a request: a reply at once, or an event whose reply comes later under the same RequestId. */
template<typename EventType>
using HttpOutcomeOf = std::variant<HttpReply, EventType>;

using HttpOutcome = HttpOutcomeOf<Event>; ///< Outcome of the handlers whose events go to the control thread.

/** Why the server refuses a request or connection by itself. */
enum class HttpRefusal : std::uint8_t {
    Malformed, ///< Not HTTP/1.x as this server reads it.
    HeaderTooLarge, ///< The header is over its limit.
    BodyTooLarge, ///< The body is over its limit.
    HeaderTimeout, ///< The header took too long.
    BodyTimeout, ///< The body took too long.
    TooManyConnections, ///< Too many connections are open at this listener.
    TooManyConnectionsFromAddress, ///< Too many connections are open from this remote address.
    TooManyRequests, ///< Too many requests per second from this remote address.
};

} // namespace Tanagertally
