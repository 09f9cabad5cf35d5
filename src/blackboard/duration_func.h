/** Durations as text with a unit, such as "500ms", in settings, configuration documents and commands. */
#pragma once

#include "core/result_type.h"
#include "core/time_type.h"

#include <string>
#include <string_view>

namespace Tanagertally {

/**
 * Read a duration.
 * @param text A whole number followed directly by one of the units ns, us, ms, s, min and h.
 * @return The duration, or BadInput if the text is something else or overflows.
 * Thread safety: any thread.
 */
Result<Duration> durationFromText(std::string_view text);

/**
 * Write a duration with the largest unit that gives a whole number.
 * @param duration The duration, zero or positive.
 * @return Text that durationFromText() reads back as the same duration.
 * Thread safety: any thread.
 */
std::string durationToText(Duration duration);

} // namespace Tanagertally
