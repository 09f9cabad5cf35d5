/** Validates single values of settings against their row of the table. */
#pragma once

#include "core/result_type.h"
#include "daemon/settings_table.h"

#include <cstdint>
#include <string_view>

namespace Tanagertally {

/** @return Whether a text consists of letters, digits, '-', '_' and '.' only. Thread safety: may be called from any thread. */
bool isValidName(std::string_view text);

/** @return Whether a text is "IP:port" with a numeric IP, an IPv6 address in brackets. Thread safety: may be called from any thread. */
bool isValidAddress(std::string_view text);

/**
 * Parses the value of an Integer, TimeSpan or Size setting.
 * @param setting Row of the table.
 * @param text Text of the value in the file.
 * @return The number in the base unit of the type, or BadInput if the syntax, unit or range is wrong.
 * Thread safety: may be called from any thread.
 */
Result<std::int64_t> parseNumber(const Setting &setting, std::string_view text);

/**
 * Validates the value of a Name, Address, Choice, Secret or File setting, or an element of an AddressList setting.
 * @param setting Row of the table.
 * @param text Text of the value in the file.
 * @return Whether the value is valid.
 * Thread safety: may be called from any thread.
 */
bool isValidText(const Setting &setting, std::string_view text);

} // namespace Tanagertally
