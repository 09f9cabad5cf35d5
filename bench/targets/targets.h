/** The bounds that runs are held against. */
#pragma once

#include "runner.h"

#include <span>
#include <string_view>

namespace Tanagertally {

/** A bound on one figure of one scenario. */
struct Target {
    std::string_view scenario; ///< Scenario that it speaks of.
    std::string_view what; ///< What is bounded.
    bool atMost = true; ///< Whether the bound is an upper one.
    double bound = 0; ///< The bound.
    double (*measure)(const RunFigures &figures, const RunFigures *baseline); ///< Takes the figure.
    std::string_view baseline = {}; ///< Scenario of the same run to compare with; empty for none.
};

/** A target and the figure that was measured. */
struct Judgement {
    const Target *target = nullptr; ///< The target.
    const RunResult *result = nullptr; ///< The run.
    double measured = 0; ///< The figure.
    bool met = false; ///< Whether it is within the bound.
};

/** @return All targets. */
std::span<const Target> allTargets();

/** @return The judgements of runs, one for each run and target that speaks of it; the runs must outlive it. */
std::vector<Judgement> judge(std::span<const RunResult> results);

} // namespace Tanagertally
