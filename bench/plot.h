/** A small plot of runs as SVG. */
#pragma once

#include "runner.h"

#include <span>
#include <string>

namespace Tanagertally {

/** @return An SVG of response time over the ideal by share of jobs, one line for each run, on a logarithmic scale of tails. */
std::string makePlot(std::span<const RunResult> results, const std::string &title);

} // namespace Tanagertally
