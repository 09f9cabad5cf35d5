/** Runs one scenario with one policy. */
#pragma once

#include "recorder.h"

namespace Tanagertally {

/** One run and its figures. */
struct RunResult {
    std::string user; ///< Name of the user.
    std::string scenario; ///< Name of the scenario.
    std::string policy; ///< Name of the policy.
    std::uint64_t seed = 1; ///< Seed.
    RunFigures figures; ///< Figures.
    std::vector<JobEntry> worst; ///< Jobs with the longest response time over the ideal.
};

/**
 * Run a scenario.
 * @return Its figures, the same every time for the same arguments.
 * Thread safety: any thread; runs share nothing.
 */
RunResult runScenario(const UserProfile &user, const Scenario &scenario, const Policy &policy, const RunLength &length, std::uint64_t seed,
                      const Session::TraceHandler &trace = {});

} // namespace Tanagertally
