/**
 * Lasting speed of an endpoint, learnt from its own runs.
 *
 * Pattern: uneven endpoints. Some endpoints run every task at half the speed of others and nothing declares it, while estimates are off by
 * up to 40% and some runs take several times as long. Passing faults are the matter of EndpointHealth, which judges what this class leaves
 * unexplained.
 */
#pragma once

#include "core/time_type.h"

namespace Tanagertally::Cells {

/**
 * Mean of log(expected / actual run time) of a cell's runs, beyond what the speeds of their endpoints explain; estimates that are biased as
 * a whole are the matter of this level, not of the endpoints. Thread safety: none.
 */
class CellSpeedLevel
{
public:
    /** Records a run. @param residual Deviation of the run from the present level and its endpoint's. @param weight From 0 to 1. */
    void record(double residual, double weight);

    /** @return The level. */
    double value() const;

private:
    double mean = 0; ///< The level.
    double runs = 0; ///< Decayed weight of the recorded runs.
};

/**
 * Speed of one endpoint relative to its cell. Thread safety: none. The time must not decrease from call to call.
 *
 * The level is a moving mean of log(expected / actual run time) above the cell's. Each deviation is clipped, so that a few runs of a
 * multiple of their estimate don't move it far, and an endpoint counts as different only if chance hardly explains it.
 */
class EndpointSpeed
{
public:
    /**
     * Records a successful run.
     * @param took Run time as observed, which includes the delay until the end was listed.
     * @param expected Run time at the cell's mean speed, by the caller's estimate; runs without an estimate are ignored.
     * @param cell Level of the cell; learns from the run as well.
     * @param hasPassingFault Whether the endpoint's health blames a passing fault for its present run times; such a run counts for little.
     */
    void record(TimePoint now, Duration took, Duration expected, CellSpeedLevel &cell, bool hasPassingFault);

    /** @return Level relative to the cell's; 0 without runs. */
    double level() const;

    /** @return Weight of this endpoint's level in the mean over all endpoints, from 0 without runs to almost 1. */
    double confidence() const;

    /**
     * Updates factor() from the level; to be called a few times a second.
     * @param meanLevel Mean of the endpoints' levels, weighted by their confidence.
     * @return Whether the speed class has changed.
     */
    bool update(TimePoint now, double meanLevel);

    /** @return Cautious estimate of the speed relative to the cell's mean as of the last update(); exactly 1 unless it differs
     * significantly. */
    double factor() const;

    /** @return Number of steps of 25% above (positive) or below (negative) the cell's mean; 0 for about the mean speed. */
    int speedClass() const;

private:
    double mean = 0; ///< The level.
    double runs = 0; ///< Decayed weight of the recorded runs.
    TimePoint recordedAt; ///< When the last run was recorded.
    double relativeSpeed = 1; ///< See factor().
    int currentClass = 0; ///< See speedClass().
};

} // namespace Tanagertally::Cells
