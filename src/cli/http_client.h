/** A small blocking HTTP client that opens one connection for each call and reports whether a failed request may have been delivered. */
#pragma once

#include "core/result_type.h"
#include "core/time_type.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Tanagertally {

/** Address of a server. */
struct ServerAddress {
    std::string host; ///< IP address or host name.
    std::string port;
};

/** A request header. */
struct HttpHeader {
    std::string name;
    std::string value;
};

/** An HTTP request. */
struct HttpCall {
    std::string method; ///< GET, POST or DELETE.
    std::string target; ///< Path and query.
    std::string body; ///< JSON body; empty for none.
    std::vector<HttpHeader> headers; ///< Headers besides Host, User-Agent, Connection and those of the body.
    Duration timeout{}; ///< Time limit from the established connection to the end of the reply.
};

/** An HTTP response. */
struct HttpAnswer {
    unsigned status = 0; ///< HTTP status code.
    std::string body;
};

/** A call without a complete reply. */
struct HttpFailure {
    bool mayHaveArrived = false; ///< Part of the request was sent and may have been delivered.
    bool timedOut = false; ///< The timeout of the call expired before the reply was complete.
    std::string message; ///< Cause, for error output.
};

using HttpCallResult = std::variant<HttpAnswer, HttpFailure>;

/**
 * Parses the address of a server.
 * @param text "host:port", optionally with the prefix "http://" and a trailing slash.
 * @return The address, or BadInput.
 * Thread safety: may be called from any thread.
 */
Result<ServerAddress> parseServerAddress(std::string_view text);

/** Sends one request; blocks until the reply is read or the timeout expires. Thread safety: may be called from any thread. */
HttpCallResult sendRequest(const ServerAddress &server, const HttpCall &call);

} // namespace Tanagertally
