/** Hash functions whose values are stable across processes and builds. */
#pragma once

#include <cstdint>
#include <string_view>

namespace Tanagertally {

/**
 * Computes a non-cryptographic 64-bit hash (XXH3). It does not resist collisions chosen by an adversary.
 * @param text Bytes to hash.
 * @param seed Different seeds yield independent hashes.
 * Thread safety: any thread.
 */
std::uint64_t stableHash(std::string_view text, std::uint64_t seed = 0);

} // namespace Tanagertally
