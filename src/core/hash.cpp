#include "core/hash_func.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace Tanagertally {

std::uint64_t stableHash(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

} // namespace Tanagertally
