/** Percent-encoding of names that go into header fields and paths. */
#pragma once

#include <string>
#include <string_view>

namespace Tanagertally {

/**
 * Percent-encode every byte that is not a letter, a digit or one of "-._~:@".
 * @param text Any bytes.
 * @return Text that is safe in a header field and in one segment of a path.
 * Thread safety: any thread.
 */
std::string percentEncode(std::string_view text);

} // namespace Tanagertally
