/** A fleet of real processes on loopback: stand-ins for endpoints and platform, and daemons. */
#pragma once

#include "child_process.h"
#include "http_call.h"
#include "process_tools.h"

#include <cstdint>
#include <filesystem>
#include <memory>
#include <string>
#include <vector>

namespace Tanagertally::ProcessTests {

inline constexpr const char *TeamKeyText = "team-secret-0123456789"; ///< Secret of the team "app".
inline constexpr const char *OperatorKeyText = "operator-secret-0123456789"; ///< Secret of the operator "amal".

/** Size of a fleet. */
struct FleetSize {
    std::uint32_t instances = 8; ///< Daemons, dealt to the failure domains in turn.
    std::uint32_t domains = 4; ///< Failure domains.
    std::uint32_t endpoints = 48; ///< Endpoints.
    std::vector<std::string> standinArguments; ///< More arguments of the stand-ins.
};

/** One daemon. */
struct Daemon {
    std::string name; ///< Its name.
    std::string domain; ///< Its failure domain.
    std::string peerAddress; ///< Where it accepts peer links.
    std::string callerAddress; ///< Where it serves callers.
    std::string operatorAddress; ///< Where it serves operators.
    std::filesystem::path settings; ///< Its settings file.
    std::unique_ptr<ChildProcess> process; ///< The process; null while stopped.
};

/**
 * Stand-ins and daemons. The constructor returns when every daemon is ready.
 * Thread safety: submit(), operate() and control() from any thread, the rest from one.
 */
class ProcessFleet
{
public:
    explicit ProcessFleet(const FleetSize &fleetSize = {});

    /** @return All daemons. */
    std::vector<Daemon> &daemons();

    /** Start a daemon that is not running. */
    void start(Daemon &daemon);

    /** @return Whether a daemon says that it is ready. */
    static bool isReady(const Daemon &daemon);

    /** Send a command to the stand-ins. @return Their answer; throws std::runtime_error if it was refused. */
    nlohmann::json control(const nlohmann::json &command) const;

    /** @return Starts counted at the endpoints: "total", "tasks", "tasksStartedAgain" and so on. */
    nlohmann::json starts() const;

    /** Submit a job to a daemon. */
    static HttpAnswer submit(const Daemon &daemon, const std::string &body);

    /** Call a daemon as a caller of the team "app". */
    static HttpAnswer callerCall(const Daemon &daemon, const std::string &method, const std::string &target, const std::string &body = {});

    /** Ask or command a daemon as the operator "amal". */
    static HttpAnswer operate(const Daemon &daemon, const std::string &text);

    /** @return A fresh key issued by a daemon. */
    static std::string issueKey(const Daemon &daemon);

private:
    void startStandins();
    void describeDaemons();
    void writeSettings(const Daemon &daemon) const;
    void awaitReadiness() const;

    FleetSize size; ///< How many of each.
    TemporaryFolder folder; ///< Settings and logs.
    std::unique_ptr<ChildProcess> standins; ///< Endpoints and platform.
    nlohmann::json addresses; ///< Where the stand-ins serve.
    std::vector<Daemon> fleet; ///< The daemons.
};

} // namespace Tanagertally::ProcessTests
