/** Counters and gauges of the coordinator. */
#pragma once

#include <cstdint>

namespace Tanagertally {

/** Counters and gauges of the coordinator for metrics. The control thread updates them; other threads read a copy. */
struct CoordinatorStats {
    std::uint64_t jobsSubmitted = 0; ///< Jobs submitted to this instance as their home.
    std::uint64_t jobsComplete = 0; ///< Jobs answered as complete.
    std::uint64_t jobsFailed = 0; ///< Jobs answered as failed.
    std::uint64_t refusals = 0; ///< Submissions refused.
    std::uint64_t attemptsStarted = 0; ///< Attempts started.
    std::uint64_t attemptsSucceeded = 0; ///< Attempts that succeeded.
    std::uint64_t attemptsRefused = 0; ///< Attempts that an endpoint refused without running the task.
    std::uint64_t attemptsFailed = 0; ///< Attempts that failed at the endpoint.
    std::uint64_t attemptsLost = 0; ///< Attempts that ended without an answer, so that the task may have run.
    std::uint64_t retries = 0; ///< Attempts after the first one of a task.
    std::uint64_t hedges = 0; ///< Additional attempts started while another attempt of the task was in flight.
    std::uint64_t probes = 0; ///< Health probes sent.
    std::uint64_t forwards = 0; ///< Requests forwarded to the home instance of their key.
    std::uint64_t claims = 0; ///< Claim rows written.
    std::uint64_t queued = 0; ///< Current number of waiting tasks.
    std::uint64_t running = 0; ///< Current number of attempts in flight.
    std::uint64_t jobsHeld = 0; ///< Current number of job records.
    std::uint64_t endpoints = 0; ///< Current number of known endpoints.
    std::uint64_t endpointsEjected = 0; ///< Current number of ejected endpoints.
    std::uint64_t configVersion = 0; ///< Version of the configuration in force.
};

} // namespace Tanagertally
