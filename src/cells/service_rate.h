/**
 * Measured service rate of a cell.
 *
 * Pattern: admission by a nominal rate. A wait that is computed from the capacity of all endpoints is too short while some of them are slow
 * and runs take longer than declared. Too many jobs are then accepted, each one ends late, and the capacity is spent on late jobs. The
 * work that ends while jobs are waiting tells the rate that the endpoints really have.
 */
#pragma once

#include "core/time_type.h"

namespace Tanagertally::Cells {

/** Estimates the work that a cell completes per unit of time. Thread safety: none. The time must not decrease from call to call. */
class ServiceRate
{
public:
    /** Records a run that succeeded. @param work Estimated work of its task in core-milliseconds. */
    void recordEnd(double work);

    /**
     * Records a job that has ended as done.
     * @param took Time from its first start to its end.
     * @param estimate Estimated duration of its critical path.
     */
    void recordJob(Duration took, Duration estimate);

    /**
     * Closes a measuring interval; to be called about every 20 ms.
     * @param isSaturated Whether jobs were waiting for capacity; other intervals don't tell the rate.
     */
    void advance(TimePoint now, bool isSaturated);

    /**
     * @param nominalCpu Capacity of the endpoints in thousandths of a core.
     * @return Rate in core-milliseconds per millisecond: at most the nominal one, and the nominal one if nothing was measured lately.
     */
    double rate(double nominalCpu) const;

    /** @return Factor between the estimated and the real duration of started jobs: from 1 up to a value at which jobs still fit their
     * objective. */
    double durationFactor() const;

private:
    TimePoint advancedAt; ///< End of the last interval.
    double endedWork = 0; ///< Work of runs that have ended in the current interval, in core-milliseconds.
    double measuredWork = 0; ///< Decayed work of the saturated intervals, in core-milliseconds.
    double meanRatio = 1; ///< Moving mean of `took` divided by `estimate`.
    double measuredMs = 0; ///< Decayed length of the saturated intervals.
};

} // namespace Tanagertally::Cells
