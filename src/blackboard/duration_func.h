/** Durations as text with a unit, such as "500ms", in settings, configuration documents and commands. */
#pragma once

#include "core/result_type.h"
#include "core/time_type.h"

#include <string>
#include <string_view>

namespace Tanagertally {

/**
 * Parses a duration.
 * @param text A non-negative whole number followed directly by one of the units ns, us, ms, s, min and h.
 * @return The duration, or BadInput if the text has another form or the value overflows 64-bit nanoseconds.
 * Thread safety: any thread.
 */
Result<Duration> durationFromText(std::string_view text);

/**
 * Formats a duration with the largest unit that yields a whole number.
 * @param duration Duration of zero or more.
 * @return Text that durationFromText() parses as the same duration.
 * Thread safety: any thread.
 */
std::string durationToText(Duration duration);

} // namespace Tanagertally
