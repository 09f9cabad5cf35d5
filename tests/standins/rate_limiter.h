/** Spaces requests out so that no more than a given number a second take effect. */
#pragma once

#include "http_type.h"

#include <mutex>
#include <optional>

namespace Tanagertally::Standins {

/** A queue with a fixed service rate. Time is handed in. Thread safety: any thread. */
class RateLimiter
{
public:
    using TimePoint = std::chrono::steady_clock::time_point; ///< An instant.

    /**
     * Make a limiter.
     * @param rate Requests a second; 0 for no limit.
     * @param maxWait Longest wait that is granted.
     */
    RateLimiter(double rate, Duration maxWait);

    /** Change the rate; turns already given stay. */
    void setRate(double rate);

    /** Take the next turn. @return The time to wait for it; unset if it is too long, and then no turn is taken. */
    std::optional<Duration> reserve(TimePoint now);

private:
    std::mutex mutex; ///< Guards the rest.
    double rate; ///< Requests a second.
    Duration maxWait; ///< Longest wait granted.
    TimePoint next; ///< Next free turn.
};

} // namespace Tanagertally::Standins
