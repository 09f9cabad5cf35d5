/** Values of the operators' language as text. */
#pragma once

#include "core/time_type.h"

#include <optional>
#include <string>
#include <string_view>

namespace Tanagertally {

/** @return A number from decimal digits with an optional sign and fraction, or nothing. */
std::optional<double> parseNumber(std::string_view text);

/** @return A whole number up to `most`, or nothing. */
std::optional<std::uint64_t> parseWhole(std::string_view text, std::uint64_t most);

/** @return A duration such as "250ms" or "1.5s"; units are ns, us, ms, s, m, h and d; or nothing. */
std::optional<Duration> parseDecimalDuration(std::string_view text);

/** @return The text between the quotes with its escapes resolved, or nothing if an escape is unknown. @pre Quoted. */
std::optional<std::string> parseQuoted(std::string_view text);

/** @return A number in decimal digits that parseNumber() reads as the same number. @pre Finite. */
std::string printNumber(double number);

/** @return A duration in the largest unit that divides it. @pre Not negative. */
std::string printDuration(Duration duration);

/** @return A text in quotes. */
std::string printQuoted(std::string_view text);

} // namespace Tanagertally
