/** A queue with exact knowledge: what no dispatcher in order of arrival can beat. */
#pragma once

#include "core/time_type.h"

#include <functional>
#include <queue>
#include <span>
#include <vector>

namespace Tanagertally {

/**
 * Slots that serve tasks in order of arrival, without faults, messages or delays of knowledge.
 * Thread safety: none.
 */
class ExactQueue
{
public:
    /** @param slots Number of slots. */
    explicit ExactQueue(std::uint32_t slots)
    {
        for (std::uint32_t slot = 0; slot < slots; ++slot) {
            this->freeAt.push(TimePoint());
        }
    }

    /**
     * Run the tasks of a job.
     * @param arrival When it arrives; never earlier than that of the job before.
     * @param runTimes Run times of its tasks.
     * @return Time from arrival to the end of its last task.
     */
    Duration run(TimePoint arrival, std::span<const Duration> runTimes)
    {
        TimePoint end = arrival;
        for (const Duration runTime : runTimes) {
            const TimePoint start = std::max(arrival, this->freeAt.top());
            this->freeAt.pop();
            this->freeAt.push(start + runTime);
            end = std::max(end, start + runTime);
        }
        return end - arrival;
    }

private:
    std::priority_queue<TimePoint, std::vector<TimePoint>, std::greater<>> freeAt; ///< When each slot is free.
};

} // namespace Tanagertally
