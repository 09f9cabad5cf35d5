/** Reports of runs as text and CSV. */
#pragma once

#include "targets/targets.h"

#include <string>

namespace Tanagertally {

/** @return A table of the runs, one line each, and the targets with met or missed. */
std::string makeTextReport(std::span<const RunResult> results);

/** @return The runs as CSV, one line each, with a head line. */
std::string makeCsvReport(std::span<const RunResult> results);

/** @return The jobs with the longest response time over the ideal, one line each. */
std::string makeWorstReport(std::span<const RunResult> results);

} // namespace Tanagertally
