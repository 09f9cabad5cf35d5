/** Hashes that are the same in every process and build. */
#pragma once

#include <cstdint>
#include <string_view>

namespace Tanagertally {

/**
 * Hash a text; not for defence against an adversary.
 * Method: XXH3.
 * @param text Text to hash.
 * @param seed Seed; another seed gives an independent hash.
 * Thread safety: any thread.
 */
std::uint64_t stableHash(std::string_view text, std::uint64_t seed = 0);

} // namespace Tanagertally
