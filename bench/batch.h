/** Runs many scenarios and policies, a few at the same time. */
#pragma once

#include "runner.h"

namespace Tanagertally {

/** What to run: every scenario of every user with every policy. */
struct Batch {
    std::vector<UserProfile> users; ///< Users.
    std::vector<Scenario> scenarios; ///< Scenarios.
    std::vector<Policy> policies; ///< Policies.
    RunLength length; ///< Times.
    std::uint64_t seed = 1; ///< Seed of every run.
    Session::TraceHandler trace; ///< Gets the transcripts; only for a batch on one thread.
};

/**
 * Run a batch.
 * @param batch What to run.
 * @param threads Runs at the same time.
 * @return The results in the order of users, scenarios and policies, whatever the threads.
 */
std::vector<RunResult> runBatch(const Batch &batch, std::uint32_t threads);

} // namespace Tanagertally
