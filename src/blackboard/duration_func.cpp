#include "blackboard/duration_func.h"

#include <array>
#include <charconv>
#include <limits>

namespace Tanagertally {

namespace {

struct TimeUnit {
    std::string_view suffix; ///< Unit as written after the number.
    std::int64_t nanoseconds; ///< Length of one unit.
};

/** All units, longest first, so that durationToText() finds the largest unit first. */
constexpr std::array<TimeUnit, 6> TimeUnits{{
    {"h", 3'600'000'000'000},
    {"min", 60'000'000'000},
    {"s", 1'000'000'000},
    {"ms", 1'000'000},
    {"us", 1'000},
    {"ns", 1},
}};

constexpr std::int64_t MaxNanoseconds = std::numeric_limits<std::int64_t>::max();

Error invalidDuration(std::string_view text)
{
    return makeError(ErrorCode::BadInput, "expected a duration with a unit such as 500ms or 2s, found \"" + std::string(text) + "\"");
}

} // namespace

Result<Duration> durationFromText(std::string_view text)
{
    std::int64_t count = 0;
    const char *end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data(), end, count);
    if (error != std::errc() || count < 0) {
        return invalidDuration(text);
    }
    const std::string_view suffix(rest, static_cast<std::size_t>(end - rest));
    for (const TimeUnit &unit : TimeUnits) {
        if (suffix != unit.suffix) {
            continue;
        }
        if (count > MaxNanoseconds / unit.nanoseconds) {
            return invalidDuration(text);
        }
        return Duration(count * unit.nanoseconds);
    }
    return invalidDuration(text);
}

std::string durationToText(Duration duration)
{
    if (duration.count() == 0) {
        return "0s";
    }
    for (const TimeUnit &unit : TimeUnits) {
        if (duration.count() % unit.nanoseconds == 0) {
            return std::to_string(duration.count() / unit.nanoseconds) + std::string(unit.suffix);
        }
    }
    return std::to_string(duration.count()) + "ns";
}

} // namespace Tanagertally
