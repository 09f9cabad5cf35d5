/** A log-linear histogram that can be merged. */
#pragma once

#include <algorithm>
#include <bit>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace Tanagertally {

/**
 * Counts non-negative numbers in buckets of a fixed relative width: each power of two is split into equal parts.
 *
 * Thread safety: none.
 * @tparam PartBits log2 of the parts of each power of two; the relative error is at most 2^-PartBits.
 */
template<unsigned PartBits = 7>
class Histogram
{
public:
    /** Count a number. */
    void add(std::uint64_t value, std::uint64_t times = 1)
    {
        const std::size_t bucket = bucketOf(value);
        if (bucket >= this->counts.size()) {
            this->counts.resize(bucket + 1);
        }
        this->counts[bucket] += times;
        this->total += times;
        this->largest = std::max(this->largest, value);
    }

    /** Add all counts of another histogram. */
    void merge(const Histogram &other)
    {
        this->counts.resize(std::max(this->counts.size(), other.counts.size()));
        for (std::size_t bucket = 0; bucket < other.counts.size(); ++bucket) {
            this->counts[bucket] += other.counts[bucket];
        }
        this->total += other.total;
        this->largest = std::max(this->largest, other.largest);
    }

    /**
     * @param fraction Share of the numbers, 0 to 1.
     * @return The smallest bucket's lower edge at or below which that share lies; 0 if nothing was counted.
     */
    std::uint64_t quantile(double fraction) const
    {
        const auto wanted = static_cast<std::uint64_t>(fraction * static_cast<double>(this->total));
        std::uint64_t seen = 0;
        for (std::size_t bucket = 0; bucket < this->counts.size(); ++bucket) {
            seen += this->counts[bucket];
            if (seen > wanted) {
                return lowerEdge(bucket);
            }
        }
        return this->largest;
    }

    /** @return How many numbers were counted. */
    std::uint64_t count() const
    {
        return this->total;
    }

    /** @return The largest number counted. */
    std::uint64_t max() const
    {
        return this->largest;
    }

private:
    static constexpr std::uint64_t Parts = std::uint64_t(1) << PartBits;

    static std::size_t bucketOf(std::uint64_t value)
    {
        if (value < Parts) {
            return value;
        }
        const unsigned shift = static_cast<unsigned>(std::bit_width(value)) - PartBits - 1;
        return (static_cast<std::size_t>(shift) + 1) * Parts + ((value >> shift) - Parts);
    }

    static std::uint64_t lowerEdge(std::size_t bucket)
    {
        if (bucket < Parts) {
            return bucket;
        }
        const std::size_t shift = bucket / Parts - 1;
        return (Parts + bucket % Parts) << shift;
    }

    std::vector<std::uint64_t> counts; ///< Count of each bucket.
    std::uint64_t total = 0; ///< Numbers counted.
    std::uint64_t largest = 0; ///< Largest number counted.
};

} // namespace Tanagertally
