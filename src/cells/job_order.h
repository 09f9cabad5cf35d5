/**
 * In which order waiting jobs get room.
 *
 * Load pattern: more work arrives for seconds than the endpoints can do (a burst, or endpoints that are slow or gone). First come
 * first served, and earliest deadline first, then spend all room on jobs that are late already and make every later job late too.
 * Here a job that can no longer meet its objective steps back behind those that can.
 */
#pragma once

#include "cells/cell_type.h"

#include <compare>

namespace Tanagertally::Cells {

/** What a waiting job still earns its caller. */
enum class JobChance : std::uint8_t {
    OnTime, ///< It can end within its objective.
    Late, ///< It can end within three times its objective, after which callers have no use for it.
    Hopeless, ///< It can't.
};

/** What the order of a job depends on. */
struct JobUrgency {
    TimePoint acceptedAt; ///< When it was handed in.
    Duration objective{}; ///< Time within which the caller expects its end.
    Duration remaining{}; ///< Time that its tasks take from now on if they all start at once.
    std::uint32_t priority = 0; ///< Of its queue; 0 is the most urgent.
};

/** Place of a job in the order; smaller ones come first. */
struct JobRank {
    JobChance chance = JobChance::OnTime; ///< What it still earns.
    TimePoint latestStart; ///< When it has to start to meet its objective.
    std::uint32_t priority = 0; ///< Of its queue.
    JobId id; ///< The job.

    friend auto operator<=>(const JobRank &, const JobRank &) = default; // NOLINT(modernize-use-nullptr): false positive.
};

/** @return What a job that starts now still earns. Thread safety: any thread. */
JobChance chanceOf(const JobUrgency &job, TimePoint now);

/** @return Place of a job in the order. Thread safety: any thread. */
JobRank rankOf(const JobId &id, const JobUrgency &job, TimePoint now);

} // namespace Tanagertally::Cells
