/** Limits of starts in a cell whose failure domain the operators have evacuated. */
#pragma once

#include "core/time_type.h"

namespace Tanagertally::Cells {

/** The endpoint refuses a start order that arrives later than this. */
inline constexpr Duration StartValidity = std::chrono::milliseconds(800);

/** Covers the error of an endpoint's clock estimate and the time between a decision and the order that follows from it. */
inline constexpr Duration EvacuationMargin = std::chrono::milliseconds(200);

/** Evacuation of a cell, as known to its leader. */
struct CellEvacuation {
    TimePoint startsUntil; ///< Until then, tasks of jobs that have started may be started.
    bool areStartsOver = false; ///< Whether the leader has noted that this time is over.
};

/**
 * The age of a request is unknown: it may have reached this instance late. It is younger than the last answer of the store that didn't
 * show it, so the bound counts from there.
 * @param notRequestedAt Time at which the evacuation was last known not to be requested; TimePoint() if it never was.
 * @param bound Time after the request in which endpoints may still start tasks; 0 if there is none.
 * @return Time until which start orders may be sent, so that the endpoint carries out the last one within the bound.
 * Thread safety: any thread.
 */
constexpr TimePoint lastStartTime(TimePoint notRequestedAt, Duration bound)
{
    const Duration reserve = StartValidity + EvacuationMargin;
    return notRequestedAt == TimePoint() || bound <= reserve ? TimePoint() : notRequestedAt + bound - reserve;
}

} // namespace Tanagertally::Cells
