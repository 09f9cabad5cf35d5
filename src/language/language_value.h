/** Conversion of the operators' language values from and to text. */
#pragma once

#include "core/time_type.h"

#include <optional>
#include <string>
#include <string_view>

namespace Tanagertally {

/** @return The finite number that `text` denotes in decimal digits with an optional minus sign and fraction; otherwise std::nullopt. */
std::optional<double> parseNumber(std::string_view text);

/** @return The unsigned decimal integer that `text` denotes, if it is at most `max`; otherwise std::nullopt. */
std::optional<std::uint64_t> parseUnsigned(std::string_view text, std::uint64_t max);

/**
 * Parse a duration such as "250ms" or "1.5s", with one of the units ns, us, ms, s, m, h and d.
 * @return The duration; std::nullopt if `text` is malformed, is out of range, or has a fractional digit other than 0 that is not worth a
 *         whole number of nanoseconds.
 */
std::optional<Duration> parseDecimalDuration(std::string_view text);

/**
 * @return The text between the quotes with its escapes resolved; std::nullopt if an escape is unknown.
 * @pre scanQuoted() matches the whole `text`.
 */
std::optional<std::string> parseQuoted(std::string_view text);

/**
 * @return The number in decimal digits that parseNumber() parses to the same number.
 * @pre `number` is finite.
 */
std::string printNumber(double number);

/**
 * @return The duration as a whole number of the largest unit that divides it.
 * @pre `duration` is not negative.
 */
std::string printDuration(Duration duration);

/** @return The text in double quotes, with special characters escaped. */
std::string printQuoted(std::string_view text);

} // namespace Tanagertally
