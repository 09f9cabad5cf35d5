/** Settings, faults and counts of one endpoint. */
#pragma once

#include "duration_func.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>

namespace Tanagertally::Standins {

/** Where an endpoint stands and what it holds. */
struct EndpointPlace {
    std::string worker; ///< Its worker.
    std::string rack; ///< Rack of the worker.
    std::string domain; ///< Failure domain of the worker.
    std::uint32_t slots = 8; ///< Tasks run at once.
};

/** Faults of an endpoint that act on single requests; all off at first. */
struct EndpointFaults {
    double failProbability = 0.0; ///< Share of the tasks answered 500.
    bool failFast = true; ///< Whether a failure comes at once rather than after the run time.
    double slowFactor = 1.0; ///< Factor on every run time.
    double stragglerProbability = 0.0; ///< Share of the tasks that run longer.
    double stragglerFactor = 1.0; ///< Factor on the run time of those.
    bool refuseBusy = false; ///< Whether everything is refused as busy.
    bool silent = false; ///< Whether bytes are accepted on every connection and nothing is answered.
    double dropProbability = 0.0; ///< Share of the tasks whose connection is closed after the run, without an answer.
    double lateProbability = 0.0; ///< Share of the tasks whose answer comes late.
    Duration lateDelay{}; ///< Time by which such an answer is late.
};

/** Life of an endpoint. */
enum class EndpointState : std::uint8_t {
    Live, ///< It serves.
    Leaving, ///< It was told to leave.
    Killed, ///< Its process is gone.
};

constexpr std::size_t SecondsCounted = 60; ///< Whole seconds after leaving that are counted apart; the last one holds the rest.

/** What arrived at an endpoint after it was told to leave. */
struct AfterLeaving {
    std::uint64_t started = 0; ///< Requests started all the same.
    std::uint64_t refused = 0; ///< Requests refused as leaving.
    Duration last{}; ///< Time from leaving to the last of them.
    std::array<std::uint64_t, SecondsCounted> bySecond{}; ///< Arrivals by whole seconds since leaving.
};

/** Counts of one endpoint. */
struct EndpointCounters {
    std::uint64_t started = 0; ///< Tasks started.
    std::uint64_t succeeded = 0; ///< Tasks answered 200.
    std::uint64_t taskFailed = 0; ///< Tasks answered 422.
    std::uint64_t endpointFailed = 0; ///< Tasks answered 500.
    std::uint64_t refusedBusy = 0; ///< Requests refused as busy.
    std::uint64_t refusedLeaving = 0; ///< Requests refused as leaving.
    std::uint64_t malformed = 0; ///< Requests answered 400 or 404.
    std::uint64_t swallowed = 0; ///< Requests read on a silent connection and not started.
    std::uint64_t dropped = 0; ///< Connections closed after a run without an answer.
    std::uint64_t late = 0; ///< Answers held back.
    std::uint64_t cut = 0; ///< Requests whose connection the client closed before the answer.
    std::uint64_t killed = 0; ///< Tasks that ended with their process.
    std::uint64_t probes = 0; ///< Health probes answered.
    AfterLeaving afterLeaving; ///< Arrivals after leaving.
};

} // namespace Tanagertally::Standins
