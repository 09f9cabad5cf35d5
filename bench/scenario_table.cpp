#include "scenario_table.h"

#include <array>

namespace Tanagertally {

using namespace std::chrono_literals;

std::span<const UserProfile> allUsers()
{
    static const std::array<UserProfile, 2> users = {{
        {.name = "riyad",
         .domains = 4,
         .instancesPerDomain = 2,
         .workersPerDomain = 12,
         .workersPerRack = 6,
         .betweenDomains = 500us,
         .toCaller = 1ms},
        {.name = "inyange",
         .domains = 3,
         .instancesPerDomain = 3,
         .workersPerDomain = 16,
         .workersPerRack = 8,
         .betweenDomains = 1ms,
         .toCaller = 3ms},
    }};
    return users;
}

std::span<const Scenario> allScenarios()
{
    static const std::vector<Scenario> scenarios = {
        {.name = "calm-30", .load = 0.3},
        {.name = "calm-60", .load = 0.6},
        {.name = "calm-80", .load = 0.8},
        {.name = "calm-95", .load = 0.95},
        {.name = "calm-80-others", .load = 0.8, .throughOthers = 1.0},
        {.name = "overload-130", .load = 1.3},
        {.name = "bursts", .load = 0.5, .burstFactor = 4.0},
        {.name = "declared-long", .load = 0.8, .expectedRunTimeFactor = 10.0},
        {.name = "declared-short", .load = 0.8, .expectedRunTimeFactor = 0.1},
        {.name = "stragglers", .load = 0.6, .stragglerShare = 0.01},
        {.name = "failing-worker", .load = 0.6, .fault = Fault::FailingWorker},
        {.name = "slow-worker", .load = 0.6, .fault = Fault::SlowWorker},
        {.name = "rack-gone", .load = 0.4, .fault = Fault::RackGone},
        {.name = "domain-cut", .load = 0.6, .fault = Fault::DomainCut},
        {.name = "domain-cut-others", .load = 0.6, .fault = Fault::DomainCut, .throughOthers = 0.1, .resubmits = 2},
        {.name = "silent-connections", .load = 0.6, .fault = Fault::SilentConnections},
        {.name = "big-jobs", .load = 0.6, .bigJobShare = 0.5},
        {.name = "cancel-waves", .load = 0.8, .fault = Fault::CancelWaves},
        {.name = "over-quota-alone", .load = 0.5},
        {.name = "within-quota", .load = 0.5, .overQuotaLoad = 0.18},
        {.name = "over-quota", .load = 0.5, .overQuotaLoad = 0.6},
        {.name = "impossible-jobs", .load = 0.6, .impossibleShare = 0.02},
        {.name = "rolling-replacement", .load = 0.6, .fault = Fault::RollingReplacement, .resubmits = 2},
    };
    return scenarios;
}

std::span<const Policy> allPolicies()
{
    static const std::vector<Policy> policies = {
        {.name = "two-choices", .choice = TwoChoicesPolicy()},
        {.name = "least-expected", .choice = LeastCostPolicy()},
        {.name = "round-robin", .choice = RoundRobinPolicy()},
        {.name = "random", .choice = RandomPolicy()},
        {.name = "hedged", .choice = TwoChoicesPolicy(), .hedged = true},
        {.name = "no-shares", .choice = TwoChoicesPolicy(), .shares = false},
        {.name = "queue-250ms", .choice = TwoChoicesPolicy(), .maxQueueWait = 250ms},
        {.name = "queue-500ms", .choice = TwoChoicesPolicy(), .maxQueueWait = 500ms},
        {.name = "queue-1s", .choice = TwoChoicesPolicy(), .maxQueueWait = 1s},
    };
    return policies;
}

} // namespace Tanagertally
