#include "duration_func.h"

#include <algorithm>
#include <array>
#include <cstdlib>

namespace Tanagertally::Standins {

namespace {

/** A unit of time as it is written. */
struct Unit {
    std::string_view suffix; ///< How it is written.
    double nanoseconds; ///< Its length.
};

constexpr std::array<Unit, 4> Units{{{"ns", 1.0}, {"us", 1e3}, {"ms", 1e6}, {"s", 1e9}}};
constexpr double MaxNanoseconds = 86400.0 * 1e9;

Error notADuration(std::string_view text)
{
    return makeError(ErrorCode::BadInput, "not a duration such as 50ms: '" + std::string(text) + "'", std::string(text));
}

} // namespace

Result<Duration> parseDuration(std::string_view text)
{
    if (text == "0") {
        return Duration::zero();
    }
    const std::string copy(text);
    char *end = nullptr;
    const double number = std::strtod(copy.c_str(), &end);
    if (end == copy.c_str() || !(number >= 0.0)) {
        return notADuration(text);
    }
    const std::string_view suffix(end);
    const auto unit = std::find_if(Units.begin(), Units.end(), [suffix](const Unit &candidate) { return candidate.suffix == suffix; });
    if (unit == Units.end() || number * unit->nanoseconds > MaxNanoseconds) {
        return notADuration(text);
    }
    return Duration(static_cast<Duration::rep>(number * unit->nanoseconds));
}

double toMilliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

Duration scale(Duration duration, double factor)
{
    const double nanoseconds = std::clamp(static_cast<double>(duration.count()) * factor, 0.0, MaxNanoseconds);
    return Duration(static_cast<Duration::rep>(nanoseconds));
}

} // namespace Tanagertally::Standins
