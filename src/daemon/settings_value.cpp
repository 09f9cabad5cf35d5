#include "daemon/settings_value.h"

#include "blackboard/duration_func.h"

#include <boost/asio/ip/address.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>

namespace Tanagertally {

namespace {

/** A unit of size. */
struct SizeUnit {
    std::string_view suffix; ///< Unit as written in the file.
    std::int64_t bytes; ///< Bytes in one unit.
};

constexpr std::array<SizeUnit, 3> SizeUnits{{{"MiB", 1'048'576}, {"KiB", 1'024}, {"B", 1}}};

constexpr int MaxPort = 65'535;

/** An integer at the start of a text, and the remaining text. */
struct LeadingNumber {
    std::int64_t number = 0;
    std::string_view rest; ///< Text after the number.
};

Error unexpectedValueError(const Setting &setting)
{
    return makeError(ErrorCode::BadInput, "expected " + expectedValue(setting));
}

Result<LeadingNumber> parseLeadingNumber(const Setting &setting, std::string_view text)
{
    LeadingNumber parsed;
    const char *end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data(), end, parsed.number);
    if (error != std::errc()) {
        return unexpectedValueError(setting);
    }
    parsed.rest = std::string_view(rest, static_cast<std::size_t>(end - rest));
    return parsed;
}

Result<std::int64_t> parseInteger(const Setting &setting, std::string_view text)
{
    const Result<LeadingNumber> parsed = parseLeadingNumber(setting, text);
    if (!parsed || !parsed.value().rest.empty()) {
        return unexpectedValueError(setting);
    }
    return parsed.value().number;
}

Result<std::int64_t> parseSize(const Setting &setting, std::string_view text)
{
    const Result<LeadingNumber> parsed = parseLeadingNumber(setting, text);
    if (!parsed) {
        return unexpectedValueError(setting);
    }
    const LeadingNumber &size = parsed.value();
    const auto unit = std::ranges::find(SizeUnits, size.rest, &SizeUnit::suffix);
    if (unit == SizeUnits.end() || size.number > std::numeric_limits<std::int64_t>::max() / unit->bytes) {
        return unexpectedValueError(setting);
    }
    return size.number * unit->bytes;
}

Result<std::int64_t> parseInBaseUnit(const Setting &setting, std::string_view text)
{
    if (setting.type == SettingType::Size) {
        return parseSize(setting, text);
    }
    if (setting.type == SettingType::Integer) {
        return parseInteger(setting, text);
    }
    const Result<Duration> duration = durationFromText(text);
    if (!duration) {
        return unexpectedValueError(setting);
    }
    return duration.value().count();
}

bool isLengthInRange(const SettingRange &range, std::string_view text)
{
    const auto length = static_cast<std::int64_t>(text.size());
    return length >= range.minimum && length <= range.maximum;
}

bool isPrintable(std::string_view text)
{
    return std::ranges::all_of(text, [](char character) { return character > ' ' && character <= '~'; });
}

bool isChoice(std::string_view choices, std::string_view text)
{
    if (text.empty() || text.find(' ') != std::string_view::npos) {
        return false;
    }
    const std::string padded = " " + std::string(choices) + " ";
    return padded.find(" " + std::string(text) + " ") != std::string::npos;
}

} // namespace

bool isValidName(std::string_view text)
{
    constexpr std::string_view Allowed = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.";
    return text.find_first_not_of(Allowed) == std::string_view::npos;
}

bool isValidAddress(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return false;
    }
    std::string host(text.substr(0, colon));
    const std::string_view portText = text.substr(colon + 1);
    int port = 0;
    const char *end = portText.data() + portText.size();
    const auto [rest, error] = std::from_chars(portText.data(), end, port);
    if (error != std::errc() || rest != end || port < 1 || port > MaxPort) {
        return false;
    }
    const bool isBracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (isBracketed) {
        host = host.substr(1, host.size() - 2);
    }
    boost::system::error_code failure;
    const auto address = boost::asio::ip::make_address(host, failure);
    return !failure && address.is_v6() == isBracketed;
}

Result<std::int64_t> parseNumber(const Setting &setting, std::string_view text)
{
    Result<std::int64_t> number = parseInBaseUnit(setting, text);
    if (!number || number.value() < setting.range.minimum || number.value() > setting.range.maximum) {
        return unexpectedValueError(setting);
    }
    return number;
}

bool isValidText(const Setting &setting, std::string_view text)
{
    switch (setting.type) {
    case SettingType::Name:
        return isLengthInRange(setting.range, text) && isValidName(text);
    case SettingType::Address:
    case SettingType::AddressList:
        return isValidAddress(text);
    case SettingType::Choice:
        return isChoice(setting.choices, text);
    case SettingType::Secret:
        return isLengthInRange(setting.range, text) && isPrintable(text);
    default:
        return !text.empty();
    }
}

} // namespace Tanagertally
