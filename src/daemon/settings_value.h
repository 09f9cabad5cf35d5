/** Single values of settings: checked against their row of the table. */
#pragma once

#include "core/result_type.h"
#include "daemon/settings_table.h"

#include <cstdint>
#include <string_view>

namespace Tanagertally {

/** @return Whether a text is a name as a setting takes it. Thread safety: any thread. */
bool isValidName(std::string_view text);

/** @return Whether a text is "IP:port" by number, with an IPv6 number in brackets. Thread safety: any thread. */
bool isValidAddress(std::string_view text);

/**
 * Read a number of a Whole, Duration or Size setting.
 * @param setting The row of the table.
 * @param text The text in the file.
 * @return The number in the base unit of the type, or BadInput if the form, unit or range is wrong.
 * Thread safety: any thread.
 */
Result<std::int64_t> parseNumber(const Setting &setting, std::string_view text);

/**
 * Check the text of a Name, Address, AddressList element, Choice, Secret or File setting.
 * @param setting The row of the table.
 * @param text The text in the file.
 * @return Whether the setting takes it.
 * Thread safety: any thread.
 */
bool isValidText(const Setting &setting, std::string_view text);

} // namespace Tanagertally
