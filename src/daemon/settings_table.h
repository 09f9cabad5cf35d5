/** The table of all settings: the reader checks by it, and the reference page is printed from it. */
#pragma once

#include "daemon/settings_type.h"

#include <cstdint>
#include <span>
#include <string_view>
#include <variant>

namespace Tanagertally {

/** What kind of value a setting takes. */
enum class SettingType : std::uint8_t {
    Name, ///< Letters, digits, '-', '_' and '.'; the range bounds its length.
    Address, ///< "IP:port" by number.
    AddressList, ///< List of addresses; the range bounds their number.
    Integer, ///< Whole number.
    TimeSpan, ///< Whole number with a unit of time; the range is in nanoseconds.
    Size, ///< Whole number with a unit of size; the range is in bytes.
    Choice, ///< One of the words in `choices`.
    Secret, ///< Text that is never printed; the range bounds its length.
    File, ///< Path of a file that can be read.
    MapList, ///< List of maps whose settings follow as "path[].key"; the range bounds their number.
    Document, ///< The fleet configuration, checked by its own reader.
};

/** Whether a setting has to be there. */
enum class Presence : std::uint8_t {
    Required, ///< It has no default.
    Optional, ///< Without it, nothing is set.
    Defaulted, ///< Without it, the default is set.
};

/** Inclusive range of a setting, in the base unit of its type. */
struct SettingRange {
    std::int64_t minimum = 0; ///< Smallest value.
    std::int64_t maximum = 0; ///< Largest value.
};

using TextSetter = void (*)(Settings &settings, std::string_view text); ///< Stores one text; called once for each element of a list.
using NumberSetter = void (*)(Settings &settings, std::int64_t number); ///< Stores a number in the base unit.
using EntrySetter = void (*)(Settings &settings); ///< Appends an empty entry to a list.
using SettingSetter = std::variant<std::monostate, TextSetter, NumberSetter, EntrySetter>; ///< How a setting is stored.

/** One row of the table. */
struct Setting {
    std::string_view path = {}; ///< Path in the file, such as "listen.caller" or "teams[].key".
    SettingType type = SettingType::Integer; ///< Kind of value.
    SettingRange range = {}; ///< Its range.
    std::string_view choices = {}; ///< Words that a Choice can be, separated by spaces.
    Presence presence = Presence::Required; ///< Whether it has to be there.
    std::string_view defaultText = {}; ///< Default as it would stand in the file.
    std::string_view description = {}; ///< One sentence for the reference.
    SettingSetter set = {}; ///< Stores the value.
};

/** @return All settings, in the order of the reference. Thread safety: any thread. */
std::span<const Setting> settingsTable();

/**
 * Say what a setting takes, for errors and for the reference.
 * @param setting The setting.
 * @return Text such as "a duration from 100ms to 1min".
 * Thread safety: any thread.
 */
std::string expectedValue(const Setting &setting);

/** @return The whole reference of settings as Markdown, as docs/SETTINGS.md holds it. Thread safety: any thread. */
std::string settingsReference();

} // namespace Tanagertally
