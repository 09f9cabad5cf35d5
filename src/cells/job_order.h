/**
 * Scheduling order of waiting jobs.
 *
 * During an overload of some seconds (a burst, or slow or missing endpoints), first come first served and earliest deadline first spend
 * all capacity on jobs that are already late and so make every later job late too. This order places a job that can no longer meet its
 * objective after all jobs that can.
 */
#pragma once

#include "cells/cell_type.h"

#include <compare>

namespace Tanagertally::Cells {

inline constexpr int LateFactor = 3; ///< An end within this many times the objective counts as late; a later one has no value.

/** Whether a waiting job can still end in time. */
enum class JobTimeliness : std::uint8_t {
    OnTime, ///< It can end within its objective.
    Late, ///< It can end within three times its objective; later ends have no value to callers.
    TooLate, ///< It can't end within three times its objective.
};

/** Inputs of a job's rank. */
struct JobUrgency {
    TimePoint acceptedAt; ///< When the job was submitted.
    Duration objective{}; ///< Time from submission within which the caller expects the end.
    Duration remaining{}; ///< Estimated duration of the whole job's critical path without waiting; not reduced as tasks end.
    std::uint32_t priority = 0; ///< Priority of the job's queue; 0 is the most urgent.
    bool isStarted = false; ///< Whether a run of the job was ordered.
};

/** Place of a job in the scheduling order; smaller ranks come first. */
struct JobRank {
    bool isTooLate = false; ///< Whether the job can't end within three times its objective.
    bool isUnstarted = false; ///< A started job goes first, as its runs are in vain unless its other tasks run as well.
    JobTimeliness timeliness = JobTimeliness::OnTime;
    TimePoint latestStart; ///< Latest start that meets the objective.
    std::uint32_t priority = 0; ///< Priority of the job's queue; 0 is the most urgent.
    JobId id; ///< Breaks ties.

    friend auto operator<=>(const JobRank &, const JobRank &) = default; // NOLINT(modernize-use-nullptr): false positive.
};

/** @return Whether a job that starts at `now` can end in time. Thread safety: any thread. */
JobTimeliness timelinessOf(const JobUrgency &job, TimePoint now);

/** @return Rank of a job at `now`. Thread safety: any thread. */
JobRank rankOf(const JobId &id, const JobUrgency &job, TimePoint now);

} // namespace Tanagertally::Cells
