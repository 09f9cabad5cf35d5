#include "batch.h"

#include <atomic>
#include <thread>

namespace Tanagertally {

std::vector<RunResult> runBatch(const Batch &batch, std::uint32_t threads)
{
    std::vector<std::function<RunResult()>> runs;
    for (const UserProfile &user : batch.users) {
        for (const Scenario &scenario : batch.scenarios) {
            for (const Policy &policy : batch.policies) {
                runs.emplace_back([&] { return runScenario(user, scenario, policy, batch.length, batch.seed, batch.trace); });
            }
        }
    }
    std::vector<RunResult> results(runs.size());
    std::atomic<std::size_t> next = 0;
    const auto work = [&] {
        for (std::size_t index = next++; index < runs.size(); index = next++) {
            results[index] = runs[index]();
        }
    };
    std::vector<std::jthread> workers;
    for (std::uint32_t thread = 1; thread < threads; ++thread) {
        workers.emplace_back(work);
    }
    work();
    workers.clear();
    return results;
}

} // namespace Tanagertally
