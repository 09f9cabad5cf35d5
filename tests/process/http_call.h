/** Blocking HTTP calls, on connections of their own or on one that stays open. */
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
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
    std::string host = {}; ///< Host field; empty for the address.
    std::string deadlineMs = {}; ///< Time that the caller waits, as it tells the server; empty to leave it out.
};

/** How far a call came. */
enum class CallEnd : std::uint8_t {
    Answered, ///< A whole answer came.
    NotConnected, ///< No connection was made, so nothing was sent.
    Cut, ///< The connection was made, and ended without a whole answer.
    TimedOut, ///< The connection was made, and no whole answer came in time.
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

/** Make a call on a connection of its own. Thread safety: any thread. */
HttpAnswer call(const HttpCall &request);

/** A connection that stays open from call to call. Thread safety: none. */
class HttpConnection
{
public:
    /** Make a connection that opens with its first call. */
    explicit HttpConnection(std::string address);
    ~HttpConnection();
    HttpConnection(const HttpConnection &) = delete;
    HttpConnection &operator=(const HttpConnection &) = delete;

    /** Make a call; its address is not looked at. The connection is opened again if it was closed. */
    HttpAnswer exchange(const HttpCall &request);

    /** Make a call as the last one. */
    HttpAnswer exchangeOnce(const HttpCall &request);

private:
    struct State;
    std::unique_ptr<State> state; ///< The socket and what runs it.
};

} // namespace Tanagertally::ProcessTests
