/** Pseudo-random numbers from one type of seedable engine, so that randomised decisions can be replayed. */
#pragma once

#include <cstdint>
#include <random>

namespace Tanagertally {

using RandomEngine = std::mt19937_64; ///< Generator of all randomised decisions.

/**
 * Draws a uniformly distributed number from [0, bound).
 * @param engine Generator to draw from.
 * @param bound Exclusive upper bound.
 * @pre bound > 0.
 */
inline std::uint64_t drawBelow(RandomEngine &engine, std::uint64_t bound)
{
    return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(engine);
}

} // namespace Tanagertally
