#include "blackboard/run_time_base.h"

#include <algorithm>
#include <cmath>

namespace Tanagertally {

namespace {

constexpr double BucketsPerOctave = 4.0;
constexpr double PriorWeight = 4.0; // Samples that the expected run time counts as.
constexpr double HalvingThreshold = 2048.0; // Total weight, in samples, at which all weights are halved.
constexpr float MinSignificantWeight = 0.01F; // In samples; longest() ignores buckets below it.

std::size_t bucketOf(Duration runTime, std::size_t bucketCount)
{
    const double micros = std::max(1.0, std::chrono::duration<double, std::micro>(runTime).count());
    const auto bucket = static_cast<std::size_t>(std::log2(micros) * BucketsPerOctave);
    return std::min(bucket, bucketCount - 1);
}

Duration upperEdge(std::size_t bucket)
{
    const double micros = std::exp2(static_cast<double>(bucket + 1) / BucketsPerOctave);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::micro>(micros));
}

} // namespace

RunTimeEstimate::RunTimeEstimate(Duration expected)
{
    this->buckets[bucketOf(expected, BucketCount)] = static_cast<float>(PriorWeight);
    this->total = PriorWeight;
    this->weightedSum = PriorWeight * std::chrono::duration<double>(expected).count();
}

void RunTimeEstimate::add(Duration runTime)
{
    this->buckets[bucketOf(runTime, BucketCount)] += 1.0F;
    this->total += 1.0;
    this->weightedSum += std::chrono::duration<double>(runTime).count();
    ++this->sampleCount;
    if (this->total < HalvingThreshold) {
        return;
    }
    for (float &weight : this->buckets) {
        weight /= 2;
    }
    this->total /= 2;
    this->weightedSum /= 2;
}

Duration RunTimeEstimate::mean() const
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(this->weightedSum / this->total));
}

Duration RunTimeEstimate::longest() const
{
    for (std::size_t bucket = BucketCount; bucket-- > 0;) {
        if (this->buckets[bucket] >= MinSignificantWeight) {
            return upperEdge(bucket);
        }
    }
    return upperEdge(0);
}

Duration RunTimeEstimate::quantile(double fraction) const
{
    double remaining = fraction * this->total;
    for (std::size_t bucket = 0; bucket < BucketCount; ++bucket) {
        remaining -= static_cast<double>(this->buckets[bucket]);
        if (remaining <= 0) {
            return upperEdge(bucket);
        }
    }
    return upperEdge(BucketCount - 1);
}

} // namespace Tanagertally
