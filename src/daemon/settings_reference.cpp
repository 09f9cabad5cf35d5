#include "blackboard/duration_func.h"
#include "daemon/settings_table.h"

namespace Tanagertally {

namespace {

constexpr std::string_view Header = R"(# Settings

A daemon reads one YAML file, named by `tanagertallyd --settings FILE`. `tanagertallyd --check --settings FILE` only checks
it. An unknown key, a wrong type, a wrong unit or a value out of range ends the start with exit code 2 and one line
`file:line: key: what was expected` for each error. Secrets are never printed or logged.

Durations are whole numbers with one of the units ns, us, ms, s, min and h, sizes with one of B, KiB and MiB. `[]` in a key
stands for each entry of a list.

This page is the output of `tanagertallyd --print-settings-reference`; a test compares the two.

| key | value | default | meaning |
| --- | --- | --- | --- |
)";

/** @return A size in the largest unit that yields an integer. */
std::string formatSize(std::int64_t bytes)
{
    constexpr std::int64_t KiB = 1'024;
    if (bytes % (KiB * KiB) == 0) {
        return std::to_string(bytes / (KiB * KiB)) + "MiB";
    }
    return bytes % KiB == 0 ? std::to_string(bytes / KiB) + "KiB" : std::to_string(bytes) + "B";
}

std::string rangeText(const std::string &minimum, const std::string &maximum)
{
    return " from " + minimum + " to " + maximum;
}

std::string countRangeText(const SettingRange &range)
{
    return std::to_string(range.minimum) + " to " + std::to_string(range.maximum);
}

/** @return The words of a choice, separated by commas, as "one of a, b". */
std::string choicesText(std::string_view words)
{
    std::string text = "one of ";
    for (const char character : words) {
        text += character == ' ' ? std::string(", ") : std::string(1, character);
    }
    return text;
}

std::string defaultColumn(const Setting &setting)
{
    switch (setting.presence) {
    case Presence::Required:
        return "required";
    case Presence::Optional:
        return "none";
    case Presence::Defaulted:
        return "`" + std::string(setting.defaultText) + "`";
    }
    return "none";
}

} // namespace

std::string expectedValue(const Setting &setting)
{
    switch (setting.type) {
    case SettingType::Name:
        return "a name of " + countRangeText(setting.range) + " letters, digits, '-', '_' and '.'";
    case SettingType::Address:
        return "an address IP:port with a numeric IP and a port from 1 to 65535";
    case SettingType::AddressList:
        return "a list of " + countRangeText(setting.range) + " addresses IP:port";
    case SettingType::Integer:
        return "a whole number from " + countRangeText(setting.range);
    case SettingType::TimeSpan:
        return "a duration with a unit"
               + rangeText(durationToText(Duration(setting.range.minimum)), durationToText(Duration(setting.range.maximum)));
    case SettingType::Size:
        return "a size with a unit" + rangeText(formatSize(setting.range.minimum), formatSize(setting.range.maximum));
    case SettingType::Choice:
        return choicesText(setting.choices);
    case SettingType::Secret:
        return "a secret of " + countRangeText(setting.range) + " printable characters";
    case SettingType::File:
        return "the path of a file that can be read";
    case SettingType::MapList:
        return "a list of " + countRangeText(setting.range) + " maps";
    case SettingType::Document:
        return "a map with kinds, teams and policy";
    }
    return {};
}

std::string settingsReference()
{
    std::string page(Header);
    for (const Setting &setting : settingsTable()) {
        page += "| `" + std::string(setting.path) + "` | " + expectedValue(setting) + " | " + defaultColumn(setting) + " | "
                + std::string(setting.description) + " |\n";
    }
    return page;
}

} // namespace Tanagertally
