/** Percent-encoding of names in HTTP header fields and URL paths. */
#pragma once

#include <string>
#include <string_view>

namespace Tanagertally {

/**
 * Percent-encode every byte that is not a letter, a digit or one of "-._~:@".
 * @param text Any bytes.
 * @return Text that is safe in a header field and in a path segment.
 * Thread safety: any thread.
 */
std::string percentEncode(std::string_view text);

} // namespace Tanagertally
