/** Random numbers: one seedable engine, so that every run of the decision part can be repeated. */
#pragma once

#include <cstdint>
#include <random>

namespace Tanagertally {

using RandomEngine = std::mt19937_64; ///< The engine that the decision part draws from.

/**
 * Draw a uniform number below a bound.
 * @param engine Engine to draw from.
 * @param bound Exclusive upper bound.
 * @pre bound > 0.
 */
inline std::uint64_t drawBelow(RandomEngine &engine, std::uint64_t bound)
{
    return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(engine);
}

} // namespace Tanagertally
