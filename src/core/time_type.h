/** Time as the decision part sees it: a monotonic clock that is handed in, never read. */
#pragma once

#include <chrono>
#include <concepts>

namespace Tanagertally {

/** Tag of the monotonic clock whose readings are handed to the decision part. */
struct ControlClock {
    using rep = std::int64_t;
    using period = std::nano;
    using duration = std::chrono::nanoseconds;
    using time_point = std::chrono::time_point<ControlClock>;
};

using Duration = std::chrono::nanoseconds; ///< A span of time.
using TimePoint = ControlClock::time_point; ///< An instant on the monotonic clock of one process.

/** A source of monotonic time: the steady clock in the daemon, a virtual clock in tests. */
template<typename T>
concept Clock = requires(const T &clock)
{
    {
        clock.now()
        } -> std::same_as<TimePoint>;
};

} // namespace Tanagertally
