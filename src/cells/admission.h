/**
 * Admission of jobs while room is short.
 *
 * Pattern: bursts and waves of 1.3 to 2.5 times what a cell can carry, for some seconds, with short, long and wide jobs at once. A wait
 * that is computed from the work ahead alone is too short, as later jobs with less slack overtake an accepted job until it is too late,
 * and as room is freed only when runs end. The forecast holds the room that running tasks will free and the reservations of all accepted
 * jobs; a job is accepted if it fits beside them (conservative backfilling, Mu'alem and Feitelson, 2001).
 */
#pragma once

#include "cells/fleet_type.h"

#include <array>
#include <map>

namespace Tanagertally::Cells {

/** Identical tasks that wait for room. */
struct TaskGroup {
    std::uint32_t count = 0; ///< Number of tasks.
    std::int64_t cpu = 0; ///< Demand of each task, in thousandths of a core.
    Duration runTime{}; ///< Expected run time of each task.
};

/** Room of a cell over the next seconds. Thread safety: none. */
class RoomForecast
{
public:
    /** Creates a forecast without any room. @param builtAt Start of the forecast. */
    explicit RoomForecast(TimePoint builtAt = {});

    /** Adds room. @param at When it becomes free; a time before the start of the forecast counts as the start. */
    void addRoom(TimePoint at, std::int64_t cpu);

    /**
     * @param from Earliest start of the tasks.
     * @return Expected start of the last task of a group beside all reservations; the end of the forecast if it isn't earlier.
     */
    TimePoint expectedLastStart(const TaskGroup &group, TimePoint from) const;

    /** Reserves room for a group from its expected starts on; tasks that find none within the forecast reserve nothing. */
    void reserve(const TaskGroup &group, TimePoint from);

private:
    static constexpr std::size_t SlotCount = 128;

    static Duration slotStart(std::size_t slot);
    std::size_t slotAt(TimePoint time) const;
    std::int64_t freeBetween(std::size_t first, std::size_t end) const;
    template<typename OnStart>
    std::size_t placeTasks(const TaskGroup &group, TimePoint from, OnStart onStart) const; ///< @return Slot of the last start.

    TimePoint builtAt;
    std::array<std::int64_t, SlotCount> freeCpu{}; ///< Free room in each time slot, in thousandths of a core; negative if overcommitted.
};

/**
 * Work that each queue has offered and of which jobs were accepted lately.
 *
 * Jobs with a long objective can wait for room longer than others. Without a limit they would reserve all room in advance.
 *
 * Thread safety: none. The time must not decrease from call to call.
 */
class QueueShares
{
public:
    /** Records a submission that was accepted or refused for lack of room. @param work Estimated work in core-milliseconds. */
    void record(TimePoint now, const QueueName &queue, double work, bool isAccepted);

    /** @return Whether a tenth or more of the offered work was refused lately. */
    bool isShort() const;

    /** @return Whether room is short, and a larger share of the queue's work was accepted lately than of all queues together. */
    bool isAhead(const QueueName &queue) const;

private:
    struct Share {
        double offered = 0; ///< Decayed work, in core-milliseconds.
        double accepted = 0; ///< Decayed work of accepted jobs, in core-milliseconds.
    };

    void decay(TimePoint now);

    std::map<QueueName, Share> shares; ///< Queues with submissions lately.
    Share total; ///< Sum over `shares`.
    TimePoint decayedAt;
};

/**
 * @param backlog Time until the present work is done.
 * @return When a refused caller should retry: once the backlog is gone, with the retries of different jobs spread over as long again.
 * Thread safety: any thread.
 */
Duration retryDelay(const JobId &id, Duration backlog);

} // namespace Tanagertally::Cells
