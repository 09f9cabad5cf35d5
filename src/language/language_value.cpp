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
    std::string_view name; ///< Its name.
    Duration length; ///< Its length.
};

/** Units from the longest on. */
constexpr std::array<Unit, 7> Units = {{{"d", 24h}, {"h", 1h}, {"m", 1min}, {"s", 1s}, {"ms", 1ms}, {"us", 1us}, {"ns", 1ns}}};

/** A character that is written after a backslash. */
struct Escape {
    char written; ///< Character after the backslash.
    char meant; ///< What it stands for.
};

constexpr std::array<Escape, 5> Escapes = {{{'"', '"'}, {'\\', '\\'}, {'n', '\n'}, {'r', '\r'}, {'t', '\t'}}};

bool isDigit(char character)
{
    return character >= '0' && character <= '9';
}

/** Whether text is digits, or digits, a point and digits. */
bool isDecimal(std::string_view text)
{
    const std::size_t point = text.find('.');
    const std::string_view whole = text.substr(0, point);
    const std::string_view fraction = point == std::string_view::npos ? std::string_view("0") : text.substr(point + 1);
    const auto areDigits = [](std::string_view part) {
        for (const char character : part) {
            if (!isDigit(character)) {
                return false;
            }
        }
        return !part.empty();
    };
    return areDigits(whole) && areDigits(fraction);
}

/** Whole units and a fraction of up to nine digits as nanoseconds, without rounding on the way. */
std::optional<Duration> scale(std::string_view digits, Duration unit)
{
    const std::size_t point = digits.find('.');
    const auto whole = parseWhole(digits.substr(0, point), static_cast<std::uint64_t>(Duration::max() / unit));
    if (!whole) {
        return std::nullopt;
    }
    Duration result = unit * static_cast<std::int64_t>(*whole);
    if (point == std::string_view::npos) {
        return result;
    }
    Duration place = unit;
    for (const char digit : digits.substr(point + 1)) {
        if ((place == Duration::zero() || place % 10 != Duration::zero()) && digit != '0') {
            return std::nullopt;
        }
        place /= 10;
        const Duration part = place * (digit - '0');
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
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), number, std::chars_format::fixed);
    if (failure != std::errc() || end != text.data() + text.size() || !std::isfinite(number)) {
        return std::nullopt;
    }
    return number;
}

std::optional<std::uint64_t> parseWhole(std::string_view text, std::uint64_t most)
{
    std::uint64_t number = 0;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (text.empty() || failure != std::errc() || end != text.data() + text.size() || number > most) {
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
            return scale(text.substr(0, digits), unit.length);
        }
    }
    return std::nullopt;
}

std::optional<std::string> parseQuoted(std::string_view text)
{
    std::string result;
    const std::string_view inner = text.substr(1, text.size() - 2);
    for (std::size_t place = 0; place < inner.size(); ++place) {
        if (inner[place] != '\\') {
            result += inner[place];
            continue;
        }
        ++place;
        const auto *const known
            = std::find_if(Escapes.begin(), Escapes.end(), [&](const Escape &escape) { return escape.written == inner[place]; });
        if (known == Escapes.end()) {
            return std::nullopt;
        }
        result += known->meant;
    }
    return result;
}

std::string printNumber(double number)
{
    constexpr std::size_t LongestFixed = std::numeric_limits<double>::max_exponent10 + std::numeric_limits<double>::max_digits10 + 32;
    std::array<char, LongestFixed * 2> buffer{};
    const auto [end, failure] = std::to_chars(buffer.data(), buffer.data() + buffer.size(), number, std::chars_format::fixed);
    return failure == std::errc() ? std::string(buffer.data(), end) : "0";
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
        const auto *const known
            = std::find_if(Escapes.begin(), Escapes.end(), [&](const Escape &escape) { return escape.meant == character; });
        if (known != Escapes.end()) {
            result += '\\';
        }
        result += known == Escapes.end() ? character : known->written;
    }
    return result + '"';
}

} // namespace Tanagertally
