#include "language/language_value.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <limits>

namespace Tanagertally {

namespace {

using namespace std::chrono_literals;

/** A unit of time. */
struct Unit {
    std::string_view name; ///< Suffix in the text of a duration.
    Duration length; ///< Duration of one unit.
};

/** Units in descending order of length. */
constexpr std::array<Unit, 7> Units = {{{"d", 24h}, {"h", 1h}, {"m", 1min}, {"s", 1s}, {"ms", 1ms}, {"us", 1us}, {"ns", 1ns}}};

/** Escape sequence in a quoted text. */
struct Escape {
    char code; ///< Character after the backslash.
    char character; ///< Character that the sequence stands for.
};

constexpr std::array<Escape, 5> Escapes = {{{'"', '"'}, {'\\', '\\'}, {'n', '\n'}, {'r', '\r'}, {'t', '\t'}}};

bool isDigit(char character)
{
    return character >= '0' && character <= '9';
}

/** @return Whether the text is an unsigned decimal number: digits, optionally followed by a point and more digits. */
bool isDecimal(std::string_view text)
{
    const std::size_t point = text.find('.');
    const std::string_view whole = text.substr(0, point);
    const std::string_view fraction = point == std::string_view::npos ? std::string_view("0") : text.substr(point + 1);
    const auto isAllDigits = [](std::string_view part) {
        for (const char character : part) {
            if (!isDigit(character)) {
                return false;
            }
        }
        return !part.empty();
    };
    return isAllDigits(whole) && isAllDigits(fraction);
}

/**
 * Multiply a decimal number by a unit, exactly.
 * @param digits Text accepted by isDecimal().
 * @param unit Unit to multiply by.
 * @return The product; std::nullopt if it overflows or if a fractional digit other than 0 is not worth a whole number of nanoseconds.
 */
std::optional<Duration> scaleExactly(std::string_view digits, Duration unit)
{
    const std::size_t point = digits.find('.');
    const auto whole = parseUnsigned(digits.substr(0, point), static_cast<std::uint64_t>(Duration::max() / unit));
    if (!whole) {
        return std::nullopt;
    }
    Duration result = unit * static_cast<std::int64_t>(*whole);
    if (point == std::string_view::npos) {
        return result;
    }
    Duration placeValue = unit;
    for (const char digit : digits.substr(point + 1)) {
        if ((placeValue == Duration::zero() || placeValue % 10 != Duration::zero()) && digit != '0') {
            return std::nullopt;
        }
        placeValue /= 10;
        const Duration part = placeValue * (digit - '0');
        if (part > Duration::max() - result) {
            return std::nullopt;
        }
        result += part;
    }
    return result;
}

} // namespace

std::optional<double> parseNumber(std::string_view text)
{
    const bool isNegative = text.starts_with('-');
    if (!isDecimal(text.substr(isNegative ? 1 : 0))) {
        return std::nullopt;
    }
    double number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number, std::chars_format::fixed);
    if (error != std::errc() || end != text.data() + text.size() || !std::isfinite(number)) {
        return std::nullopt;
    }
    return number;
}

std::optional<std::uint64_t> parseUnsigned(std::string_view text, std::uint64_t max)
{
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (text.empty() || error != std::errc() || end != text.data() + text.size() || number > max) {
        return std::nullopt;
    }
    return number;
}

std::optional<Duration> parseDecimalDuration(std::string_view text)
{
    std::size_t digits = 0;
    while (digits < text.size() && (isDigit(text[digits]) || text[digits] == '.')) {
        ++digits;
    }
    if (!isDecimal(text.substr(0, digits))) {
        return std::nullopt;
    }
    for (const Unit &unit : Units) {
        if (text.substr(digits) == unit.name) {
            return scaleExactly(text.substr(0, digits), unit.length);
        }
    }
    return std::nullopt;
}

std::optional<std::string> parseQuoted(std::string_view text)
{
    std::string result;
    const std::string_view inner = text.substr(1, text.size() - 2);
    for (std::size_t index = 0; index < inner.size(); ++index) {
        if (inner[index] != '\\') {
            result += inner[index];
            continue;
        }
        ++index;
        const auto *const found
            = std::find_if(Escapes.begin(), Escapes.end(), [&](const Escape &escape) { return escape.code == inner[index]; });
        if (found == Escapes.end()) {
            return std::nullopt;
        }
        result += found->character;
    }
    return result;
}

std::string printNumber(double number)
{
    constexpr std::size_t MaxFixedChars = std::numeric_limits<double>::max_exponent10 + std::numeric_limits<double>::max_digits10 + 32;
    std::array<char, MaxFixedChars * 2> buffer{};
    const auto [end, error] = std::to_chars(buffer.data(), buffer.data() + buffer.size(), number, std::chars_format::fixed);
    return error == std::errc() ? std::string(buffer.data(), end) : "0";
}

std::string printDuration(Duration duration)
{
    for (const Unit &unit : Units) {
        if (duration % unit.length == Duration::zero() && (duration != Duration::zero() || unit.name == "s")) {
            return std::to_string(duration / unit.length) + std::string(unit.name);
        }
    }
    return std::to_string(duration.count()) + "ns";
}

std::string printQuoted(std::string_view text)
{
    std::string result = "\"";
    for (const char character : text) {
        const auto *const found
            = std::find_if(Escapes.begin(), Escapes.end(), [&](const Escape &escape) { return escape.character == character; });
        if (found != Escapes.end()) {
            result += '\\';
        }
        result += found == Escapes.end() ? character : found->code;
    }
    return result + '"';
}

} // namespace Tanagertally
