/** Durations as text and in JSON. */
#pragma once

#include "core/result_type.h"
#include "http_type.h"

#include <string_view>

namespace Tanagertally::Standins {

/**
 * Read a duration such as "50ms", "1.5s", "200us" or "0".
 * @param text The text.
 * @return The duration, or an error that quotes the text.
 * Thread safety: any thread.
 */
Result<Duration> parseDuration(std::string_view text);

/** @return A duration in milliseconds. Thread safety: any thread. */
double toMilliseconds(Duration duration);

/** @return A duration multiplied by a factor, at most a day. Thread safety: any thread. */
Duration scale(Duration duration, double factor);

} // namespace Tanagertally::Standins
