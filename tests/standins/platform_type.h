/** Speed and faults of the platform stand-in. */
#pragma once

#include "http_type.h"

#include <cstdint>
#include <string>

namespace Tanagertally::Standins {

/** How fast the platform is when nothing is wrong. */
struct PlatformSpeed {
    Duration writeLatency = std::chrono::milliseconds(4); ///< Time from a write to its effect and answer.
    Duration readLatency = std::chrono::milliseconds(1); ///< Time from a read to its answer.
    double writeRate = 500.0; ///< Writes a second; 0 for no limit.
    double readRate = 2000.0; ///< Reads a second; 0 for no limit.
    Duration maxWait = std::chrono::seconds(1); ///< Longest wait for one's turn; beyond it requests are answered 503.
};

/** How the platform is out, from nothing to worst. */
enum class Outage : std::uint8_t {
    None, ///< It serves.
    Unavailable, ///< It answers 503, without effect.
    Refused, ///< Connections are refused; by client, they are closed when the request has been read, without effect.
    Silent, ///< Bytes are accepted and nothing is answered, without effect.
};

/** Faults of the platform, for all clients or for some. */
struct PlatformFaults {
    Duration extraLatency{}; ///< Added to every latency.
    double slowFactor = 1.0; ///< Factor on every latency.
    double lostAnswerProbability = 0.0; ///< Share of the writes that take effect and whose connection then closes.
    Outage outage = Outage::None; ///< Whether it is out.
    bool cut = false; ///< Whether a partition lies between: silent both ways, also for answers under way.
};

/** @return Both faults together: latencies add up, factors multiply, and the worse of the rest holds. */
PlatformFaults combine(const PlatformFaults &left, const PlatformFaults &right);

/** Counts of the platform's front. */
struct PlatformCounters {
    std::uint64_t requests = 0; ///< Requests read.
    std::uint64_t listReads = 0; ///< Reads of the instance list.
    std::uint64_t overRate = 0; ///< Requests answered 503 because of the rate.
    std::uint64_t unavailable = 0; ///< Requests answered 503 in an outage.
    std::uint64_t closed = 0; ///< Requests whose connection was closed in an outage.
    std::uint64_t swallowed = 0; ///< Requests never answered, without effect.
    std::uint64_t lostAnswers = 0; ///< Answers lost after the effect.
    std::uint64_t malformed = 0; ///< Requests answered 400 or 404.
};

} // namespace Tanagertally::Standins
