/** Time types of the decision logic, which receives the time with each event and never reads a clock itself. */
#pragma once

#include <chrono>
#include <concepts>

namespace Tanagertally {

/** Tag type of the monotonic clock whose readings the decision logic receives. It has no now(). */
struct ControlClock {
    using rep = std::int64_t;
    using period = std::nano;
    using duration = std::chrono::nanoseconds;
    using time_point = std::chrono::time_point<ControlClock>;
};

using Duration = std::chrono::nanoseconds; ///< A time span in nanoseconds.
using TimePoint = ControlClock::time_point; ///< A point in time on the monotonic clock of one process; not comparable across processes.

/** A source of monotonic time: the steady clock in the daemon, a virtual clock in tests. */
template<typename T>
concept Clock = requires(const T &clock)
{
    {
        clock.now()
        } -> std::same_as<TimePoint>;
};

} // namespace Tanagertally
