/** Distribution of the measured run times of one kind of request. */
#pragma once

#include "core/time_type.h"

#include <array>
#include <cstdint>

namespace Tanagertally {

/**
 * Histogram of run times with logarithmic buckets and exponential decay of older samples.
 * Method: four buckets per octave; all weights are halved whenever their sum reaches a threshold.
 * Thread safety: none.
 */
class RunTimeEstimate
{
public:
    /**
     * Creates a histogram with a prior that weighs as much as a few samples.
     * @param expected Expected run time; at least 1 us.
     */
    explicit RunTimeEstimate(Duration expected);

    /**
     * Adds a measured run time. Values below 1 us count as 1 us; values beyond the last bucket count in it.
     */
    void add(Duration runTime);

    /** @return Weighted mean of the samples and the prior. */
    Duration mean() const;

    /**
     * Estimates a quantile with a resolution of a quarter octave.
     * @param fraction Quantile, from 0 to 1.
     * @return Upper edge of the bucket that holds the quantile.
     */
    Duration quantile(double fraction) const;

    /** @return Upper edge of the highest bucket whose weight has not decayed to insignificance. */
    Duration longest() const;

    /** @return Number of samples added so far, without the prior. */
    std::uint64_t samples() const
    {
        return this->sampleCount;
    }

private:
    static constexpr std::size_t BucketCount = 128; ///< Buckets from 1 us to about 70 minutes.

    std::array<float, BucketCount> buckets{}; ///< Decayed weight of each bucket.
    double total = 0; ///< Sum of the bucket weights.
    double weightedSum = 0; ///< Weighted sum of the run times, in seconds.
    std::uint64_t sampleCount = 0; ///< Samples added so far, without the prior.
};

} // namespace Tanagertally
