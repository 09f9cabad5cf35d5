/** Detects that this process did not run for a while, so that what it reads next may be old; free of side effects. */
#pragma once

#include "core/time_type.h"

#include <optional>

namespace Tanagertally::Cells {

/**
 * Tells whether an input may have been received before or during a suspension of this process or of its machine.
 *
 * The system's buffers don't tell when their content arrived. An input that is read right after a suspension may be as old as the
 * suspension was long, and its sender may have given up since.
 *
 * Thread safety: none. The time must advance during suspensions, and must not decrease from call to call.
 */
class SuspensionWatch
{
public:
    /** @param now Time at which the process certainly runs. */
    explicit SuspensionWatch(TimePoint now);

    /**
     * Records that the process runs; to be called about every 20 ms, and before each input is judged.
     * @return Length of the suspension that was detected by this call; unset if there was none.
     */
    std::optional<Duration> recordActivity(TimePoint now);

    /** @return Whether an input that is read at `now` may be from before the end of a suspension. @pre recordActivity(now) was called. */
    bool mayInputBeOld(TimePoint now) const;

    /** @return Earliest time at which an input that is read at `now` may have been sent. @pre recordActivity(now) was called. */
    TimePoint earliestSendTime(TimePoint now) const;

private:
    TimePoint activeAt; ///< When the process last ran.
    TimePoint suspendedAt; ///< When the process last ran before the last suspension; valid if there was one.
    TimePoint backlogReadAt; ///< When all inputs from before the end of the last suspension have certainly been read.
};

} // namespace Tanagertally::Cells
