/** Learned run times of one kind of request. */
#pragma once

#include "core/time_type.h"

#include <array>
#include <cstdint>

namespace Tanagertally {

/**
 * Histogram of run times with logarithmic buckets, in which older samples fade.
 * Method: buckets of a quarter octave; all counts are halved whenever their sum reaches a limit.
 * Thread safety: none.
 */
class RunTimeEstimate
{
public:
    /**
     * Start from a prior that counts as a few samples.
     * @param expected Expected run time; at least 1 us.
     */
    explicit RunTimeEstimate(Duration expected);

    /**
     * Add a sample.
     * @param runTime Measured run time.
     */
    void add(Duration runTime);

    /** @return Mean run time. */
    Duration mean() const;

    /**
     * Estimate a quantile, exact to a quarter octave.
     * @param fraction Between 0 and 1.
     * @return Upper edge of the bucket that holds the quantile.
     */
    Duration quantile(double fraction) const;

    /** @return Upper edge of the highest bucket that a sample of recent times is in. */
    Duration longest() const;

    /** @return Number of measured samples so far. */
    std::uint64_t samples() const
    {
        return this->sampleCount;
    }

private:
    static constexpr std::size_t BucketCount = 128; ///< Buckets from 1 us to about 70 minutes.

    std::array<float, BucketCount> buckets{}; ///< Weight by bucket.
    double total = 0; ///< Sum of all weights.
    double weightedSum = 0; ///< Sum of run times in seconds by weight.
    std::uint64_t sampleCount = 0; ///< Measured samples.
};

} // namespace Tanagertally
