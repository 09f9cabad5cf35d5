/** Stand-ins that run in the test process, and a client to talk to them. */
#pragma once

#include "command_codec.h"
#include "control.h"

#include <nlohmann/json.hpp>

#include <initializer_list>
#include <thread>

namespace Tanagertally::Standins {

/** How a request of the test client ended. */
enum class Ending : std::uint8_t {
    Answered, ///< A whole answer came.
    Refused, ///< No connection could be made.
    Closed, ///< The connection closed without an answer.
    Silent, ///< Nothing came in time.
};

/** What a request of the test client came to. */
struct Exchange {
    Ending ending = Ending::Silent; ///< How it ended.
    unsigned status = 0; ///< HTTP status.
    std::string body; ///< Body.
    std::string notStarted; ///< Header Not-Started.

    /** @return The body as JSON. */
    nlohmann::json json() const;
};

/** A request of the test client. */
struct Call {
    std::string method = "POST"; ///< HTTP method.
    std::string target; ///< Path.
    std::string body; ///< Body.
    std::vector<HttpHeader> headers = {}; ///< Header fields.
};

/** One client connection. Thread safety: none. */
class TestClient
{
public:
    /** Connect to "IP:port". */
    explicit TestClient(const std::string &address);

    /** Send a request on this connection and await its answer. */
    Exchange exchange(const Call &call, std::chrono::milliseconds timeout = std::chrono::seconds(5));

private:
    boost::asio::io_context io; ///< Runs this connection only.
    boost::asio::ip::tcp::socket socket; ///< The connection.
    bool connected = false; ///< Whether it could be made.
};

/** All stand-ins on ports of their own, with two threads. */
class RunningStandins
{
public:
    /** Start them: two racks of two workers, one rack in each of two domains; runs of 1 ms; a fast platform. */
    RunningStandins();
    ~RunningStandins();
    RunningStandins(const RunningStandins &) = delete;
    RunningStandins &operator=(const RunningStandins &) = delete;

    /** Carry out a command through the control port. @return The answer. */
    nlohmann::json command(const std::string &text) const;

    /** @return Address of an endpoint, numbered from 0. */
    std::string endpoint(std::size_t number) const;

    /** Make a request on a connection of its own. */
    Exchange runOn(std::size_t number, const std::string &task, const std::string &payload = "{}") const;

    /** Make a request to the platform on a connection of its own, as an instance if it is named. */
    Exchange askPlatform(const std::string &target, const std::string &body, const std::string &instance = {},
                         std::chrono::milliseconds timeout = std::chrono::seconds(5)) const;

    /** Await that a count among the totals of the report reaches a value. */
    void awaitTotal(const std::string &name, std::uint64_t value) const;

    boost::asio::io_context io; ///< Runs everything.
    std::unique_ptr<Platform> platform; ///< The platform.
    std::unique_ptr<Fleet> fleet; ///< The endpoints.
    std::unique_ptr<Control> control; ///< The control port.

private:
    std::vector<std::jthread> threads; ///< Threads of the io_context.
};

/** @return A request to run a task. */
Call runCall(const std::string &task, const std::string &payload);

} // namespace Tanagertally::Standins
