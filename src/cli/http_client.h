/** A small blocking HTTP client: one call on one new connection, with the evidence of what became of it. */
#pragma once

#include "core/result_type.h"
#include "core/time_type.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Tanagertally {

/** A server's address. */
struct ServerAddress {
    std::string host; ///< IP by number, or a host's name.
    std::string port; ///< Port.
};

/** A header line to send. */
struct HttpHeader {
    std::string name; ///< Name.
    std::string value; ///< Value.
};

/** What to call. */
struct HttpCall {
    std::string method; ///< GET, POST or DELETE.
    std::string target; ///< Path with query.
    std::string body; ///< Body; empty for none.
    std::vector<HttpHeader> headers; ///< Headers besides those that HTTP itself needs.
    Duration timeout{}; ///< Time from the connection to the end of the reply.
};

/** A reply. */
struct HttpAnswer {
    unsigned status = 0; ///< HTTP status.
    std::string body; ///< Body.
};

/** A call that got no whole reply. */
struct HttpFailure {
    bool mayHaveArrived = false; ///< Whether a byte of the request may have been delivered.
    bool timedOut = false; ///< Whether the reply did not come within the call's timeout.
    std::string message; ///< What happened.
};

using HttpCallResult = std::variant<HttpAnswer, HttpFailure>; ///< How a call ended.

/**
 * Read a server's address.
 * @param text "host:port", with or without "http://" before it.
 * @return The address, or BadInput. Thread safety: any thread.
 */
Result<ServerAddress> parseServerAddress(std::string_view text);

/** Make one call. Blocks until its reply is read or its timeout passes. Thread safety: any thread. */
HttpCallResult sendRequest(const ServerAddress &server, const HttpCall &call);

} // namespace Tanagertally
