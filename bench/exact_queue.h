/** A queue with exact knowledge, to hold the real decisions against. */
#pragma once

#include "core/time_type.h"

#include <functional>
#include <queue>
#include <span>
#include <tuple>
#include <vector>

namespace Tanagertally {

/**
 * Slots that serve tasks by rank, and by arrival within a rank, without faults, messages or delays of knowledge.
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
     * Take the tasks of a job.
     * @param at When it arrives; never earlier than that of the job before.
     * @param runTimes Run times of its tasks.
     * @param rank Tasks of lower rank are served first.
     * @return Number of the job.
     */
    std::size_t arrive(TimePoint at, std::span<const Duration> runTimes, std::uint64_t rank)
    {
        this->serveUntil(at);
        const std::size_t job = this->ends.size();
        this->ends.push_back(at);
        for (const Duration runTime : runTimes) {
            this->waiting.push(Waiting{rank, ++this->lastOrder, job, at, runTime});
        }
        this->serveUntil(at);
        return job;
    }

    /** Serve everything that waits. */
    void finish()
    {
        this->serveUntil(TimePoint::max());
    }

    /** @return When a job's last task ended. @pre finish() was called. */
    TimePoint endOf(std::size_t job) const
    {
        return this->ends.at(job);
    }

private:
    /** A task that waits. */
    struct Waiting {
        std::uint64_t rank; ///< Its rank.
        std::uint64_t order; ///< Its place in order of arrival.
        std::size_t job; ///< Its job.
        TimePoint at; ///< When it arrived.
        Duration runTime; ///< Its run time.
        bool operator>(const Waiting &other) const
        {
            return std::tie(this->rank, this->order) > std::tie(other.rank, other.order);
        }
    };

    void serveUntil(TimePoint until)
    {
        while (!this->waiting.empty() && this->freeAt.top() <= until) {
            const Waiting task = this->waiting.top();
            this->waiting.pop();
            const TimePoint end = std::max(task.at, this->freeAt.top()) + task.runTime;
            this->freeAt.pop();
            this->freeAt.push(end);
            this->ends[task.job] = std::max(this->ends[task.job], end);
        }
    }

    std::priority_queue<TimePoint, std::vector<TimePoint>, std::greater<>> freeAt; ///< When each slot is free.
    std::priority_queue<Waiting, std::vector<Waiting>, std::greater<>> waiting; ///< Tasks that wait.
    std::vector<TimePoint> ends; ///< End of each job's last task so far.
    std::uint64_t lastOrder = 0; ///< Order of the last task.
};

} // namespace Tanagertally
