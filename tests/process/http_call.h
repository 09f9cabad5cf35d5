/** A blocking HTTP call on a connection of its own. */
#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include <nlohmann/json.hpp>

namespace Tanagertally::ProcessTests {

/** A request. */
struct HttpCall {
    std::string address; ///< "IP:port".
    std::string method = "GET"; ///< Its method.
    std::string target; ///< Path and query.
    std::string secret; ///< Bearer secret; empty for none.
    std::string body; ///< Body; JSON if there is one.
    std::chrono::milliseconds timeout = std::chrono::seconds(60); ///< Longest time for the whole call.
};

/** How far a call came. */
enum class CallEnd : std::uint8_t {
    Answered, ///< A whole answer came.
    NotConnected, ///< No connection was made, so nothing was sent.
    Cut, ///< The connection was made and no whole answer came.
};

/** What came of a call. */
struct HttpAnswer {
    CallEnd end = CallEnd::Cut; ///< How far it came.
    unsigned status = 0; ///< Status; 0 without an answer.
    std::string body; ///< Body.

    /** @return The body as JSON; discarded if it is none. */
    nlohmann::json json() const
    {
        return nlohmann::json::parse(this->body, nullptr, false);
    }
};

/** Make a call. Thread safety: any thread. */
HttpAnswer call(const HttpCall &request);

} // namespace Tanagertally::ProcessTests
