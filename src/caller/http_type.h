/** Types of the HTTP server: limits, requests, replies and refusals. */
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

/** Limits of one listener. */
struct HttpLimits {
    std::uint32_t maxHeaderBytes = 8 * 1024; ///< Longest header, including the request line.
    std::uint64_t maxBodyBytes = 8UL * 1024 * 1024; ///< Longest request body.
    std::uint32_t maxTrailerBytes = 16 * 1024; ///< Longest trailers of a body in chunks, and longest header of a chunk.
    std::size_t maxRetainedBytes
        = 256UL * 1024 * 1024; ///< Memory of all connections, for requests that arrive and replies that are written.
    std::size_t maxConnections = 4096; ///< Largest number of open connections.
    std::size_t maxRefusedConnections = 64; ///< Connections over the limit that may be open at once, to receive a refusal.
    bool evictsConnections = false; ///< Whether a new connection over the limit takes the place of the one that began its activity first.
    std::size_t maxConnectionsPerAddress = 4096; ///< Largest number of open connections from one remote IP address.
    double maxRequestRatePerAddress = 0; ///< Requests per second from one remote IP address; 0 for no limit.
    double requestBurstPerAddress = 100; ///< Size of the token bucket: requests that one remote IP address may send at once.
    Duration headerTimeout = std::chrono::seconds(5); ///< Time from a request's first byte to the end of its header.
    Duration bodyTimeout = std::chrono::seconds(30); ///< Time from the end of a request's header to the end of its body.
    Duration idleTimeout = std::chrono::seconds(75); ///< Time after which a connection without a request is closed.
    Duration writeTimeout = std::chrono::seconds(30); ///< Longest time to write a reply.
    Duration lingerTimeout = std::chrono::milliseconds(500); ///< Longest wait for the caller to close its side after the last reply.
};

/** A request as returned by the Beast parser. */
using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;

/** A reply, independent of the connection that it is written to. */
struct HttpReply {
    boost::beast::http::status status = boost::beast::http::status::ok; ///< HTTP status.
    std::string body; ///< Body, of type `contentType`.
    std::string contentType = "application/json"; ///< Value of the Content-Type header.
    std::optional<Duration> retryAfter; ///< Sent as Retry-After in seconds, rounded up; left out if unset.
    std::string allow; ///< Value of the Allow header; left out if empty.
    std::string authenticate; ///< Value of the WWW-Authenticate header; left out if empty.
    bool closeAfter = false; ///< Whether the connection closes after this reply.
};

/** Result of handling a request: an immediate reply, or an event whose reply follows under the same RequestId. */
template<typename EventType>
using HttpOutcomeOf = std::variant<HttpReply, EventType>;

using HttpOutcome = HttpOutcomeOf<Event>; ///< Outcome for handlers whose events are handled by the control thread.

/** Reason for which the HTTP server itself refuses a request or connection, before the handler gets the request. */
enum class HttpRefusal : std::uint8_t {
    Malformed, ///< The request isn't well-formed HTTP/1.x.
    HeaderTooLarge, ///< The header exceeds HttpLimits::maxHeaderBytes.
    TrailersTooLarge, ///< The trailers or the header of a chunk exceed HttpLimits::maxTrailerBytes.
    BodyTooLarge, ///< The body exceeds HttpLimits::maxBodyBytes.
    HeaderTimeout, ///< The header wasn't complete within HttpLimits::headerTimeout.
    BodyTimeout, ///< The body wasn't complete within HttpLimits::bodyTimeout.
    OutOfMemory, ///< HttpLimits::maxRetainedBytes is exceeded, and this request began before the others.
    TooManyConnections, ///< Too many connections are open at this listener.
    TooManyConnectionsFromAddress, ///< Too many connections are open from this remote address.
    TooManyRequests, ///< The request rate of this remote address exceeds its limit.
};

} // namespace Tanagertally
