/** Figures of the decision part. */
#pragma once

#include <cstdint>

namespace Tanagertally {

/** Figures of the decision part for metrics; a copy, taken on the control thread. */
struct CoordinatorStats {
    std::uint64_t jobsSubmitted = 0; ///< Jobs submitted here as home.
    std::uint64_t jobsComplete = 0; ///< Jobs answered complete.
    std::uint64_t jobsFailed = 0; ///< Jobs answered failed.
    std::uint64_t refusals = 0; ///< Submissions refused.
    std::uint64_t attemptsStarted = 0; ///< Attempts started.
    std::uint64_t attemptsSucceeded = 0; ///< Attempts that succeeded.
    std::uint64_t attemptsRefused = 0; ///< Attempts that an endpoint refused before starting.
    std::uint64_t attemptsFailed = 0; ///< Attempts that failed at the endpoint.
    std::uint64_t attemptsLost = 0; ///< Attempts that ended without evidence.
    std::uint64_t retries = 0; ///< Attempts after the first of their task.
    std::uint64_t hedges = 0; ///< Attempts started beside a running one.
    std::uint64_t probes = 0; ///< Health probes.
    std::uint64_t forwards = 0; ///< Requests forwarded to their home.
    std::uint64_t claims = 0; ///< Claim rows written.
    std::uint64_t queued = 0; ///< Tasks waiting now.
    std::uint64_t running = 0; ///< Attempts in flight now.
    std::uint64_t jobsHeld = 0; ///< Job records held now.
    std::uint64_t endpoints = 0; ///< Endpoints known now.
    std::uint64_t endpointsEjected = 0; ///< Endpoints ejected now.
    std::uint64_t configVersion = 0; ///< Version of the configuration in force.
};

} // namespace Tanagertally
