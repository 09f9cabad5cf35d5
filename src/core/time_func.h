/** Functions on time types. */
#pragma once

#include "core/time_type.h"

#include <string>

namespace Tanagertally {

/** @return Whole milliseconds of a duration as text, for logs. */
inline std::string formatMilliseconds(Duration duration)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

} // namespace Tanagertally
