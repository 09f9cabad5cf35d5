/** The table of all settings, used to validate the settings file and to generate the reference page. */
#pragma once

#include "daemon/settings_type.h"

#include <cstdint>
#include <span>
#include <string_view>
#include <variant>

namespace Tanagertally {

/** Type of a setting's value. */
enum class SettingType : std::uint8_t {
    Name, ///< Letters, digits, '-', '_' and '.'; the range applies to the length.
    Address, ///< "IP:port" with a numeric IP.
    AddressList, ///< List of addresses; the range applies to their number.
    Integer, ///< Integer without a unit.
    TimeSpan, ///< Integer with a unit of time; the range is in nanoseconds.
    Size, ///< Integer with a unit of size; the range is in bytes.
    Choice, ///< One of the words in `choices`.
    Secret, ///< Text that is never printed; the range applies to the length.
    File, ///< Path of a file.
    MapList, ///< List of maps, whose settings are rows with the path "path[].key"; the range applies to their number.
    Document, ///< The fleet configuration, validated by fleetConfigFromYaml().
};

/** Whether a setting is required. */
enum class Presence : std::uint8_t {
    Required, ///< The setting has to be present.
    Optional, ///< The setting may be absent and has no default.
    Defaulted, ///< The default applies if the setting is absent.
};

/** Inclusive range of a value, in the base unit of its type. */
struct SettingRange {
    std::int64_t minimum = 0;
    std::int64_t maximum = 0;
};

using TextSetter = void (*)(Settings &settings, std::string_view text); ///< Stores a text; called once for each element of a list.
using NumberSetter = void (*)(Settings &settings, std::int64_t number); ///< Stores a number, given in the base unit.
using EntrySetter = void (*)(Settings &settings); ///< Appends an empty entry to a list.
using SettingSetter = std::variant<std::monostate, TextSetter, NumberSetter, EntrySetter>; ///< Unset for the fleet configuration.

/** A row of the table. */
struct Setting {
    std::string_view path = {}; ///< Path of the key, such as "listen.caller" or "teams[].key".
    SettingType type = SettingType::Integer;
    SettingRange range = {}; ///< Allowed range; unused by types without one.
    std::string_view choices = {}; ///< Allowed words of a Choice, separated by spaces.
    Presence presence = Presence::Required;
    std::string_view defaultText = {}; ///< Default, written as in the file.
    std::string_view description = {}; ///< One sentence for the reference page.
    SettingSetter set = {}; ///< Stores the value in Settings.
};

/** @return All settings, in the order of the reference page. Thread safety: may be called from any thread. */
std::span<const Setting> settingsTable();

/**
 * Describes the valid values of a setting, for errors and the reference page.
 * @return Text such as "a duration with a unit from 100ms to 1min".
 * Thread safety: may be called from any thread.
 */
std::string expectedValue(const Setting &setting);

/** @return The reference page in Markdown, the content of docs/SETTINGS.md. Thread safety: may be called from any thread. */
std::string settingsReference();

} // namespace Tanagertally
