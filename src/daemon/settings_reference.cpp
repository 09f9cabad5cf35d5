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

/** @return A number of bytes with the largest unit that gives a whole number. */
std::string formatSize(std::int64_t bytes)
{
    constexpr std::int64_t KiB = 1'024;
    if (bytes % (KiB * KiB) == 0) {
        return std::to_string(bytes / (KiB * KiB)) + "MiB";
    }
    return bytes % KiB == 0 ? std::to_string(bytes / KiB) + "KiB" : std::to_string(bytes) + "B";
}

std::string between(const std::string &low, const std::string &high)
{
    return " from " + low + " to " + high;
}

std::string countRange(const SettingRange &range)
{
    return std::to_string(range.low) + " to " + std::to_string(range.high);
}

/** @return The words of a choice with commas and "or" between them. */
std::string alternatives(std::string_view words)
{
    std::string text = "one of ";
    for (const char letter : words) {
        text += letter == ' ' ? std::string(", ") : std::string(1, letter);
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
        return "a name of " + countRange(setting.range) + " letters, digits, '-', '_' and '.'";
    case SettingType::Address:
        return "an address IP:port with a numeric IP and a port from 1 to 65535";
    case SettingType::AddressList:
        return "a list of " + countRange(setting.range) + " addresses IP:port";
    case SettingType::Whole:
        return "a whole number from " + countRange(setting.range);
    case SettingType::TimeSpan:
        return "a duration with a unit"
               + between(durationToText(Duration(setting.range.low)), durationToText(Duration(setting.range.high)));
    case SettingType::Size:
        return "a size with a unit" + between(formatSize(setting.range.low), formatSize(setting.range.high));
    case SettingType::Choice:
        return alternatives(setting.choices);
    case SettingType::Secret:
        return "a secret of " + countRange(setting.range) + " printable characters";
    case SettingType::File:
        return "the path of a file that can be read";
    case SettingType::Entries:
        return "a list of " + countRange(setting.range) + " maps";
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
                + std::string(setting.doc) + " |\n";
    }
    return page;
}

} // namespace Tanagertally
