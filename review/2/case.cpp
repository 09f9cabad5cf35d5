// Jobs that wait for a label whose only worker was taken away as planned (scale_in), and ordinary jobs behind them.
#include "fleet.h"

#include <iostream>

using namespace Tanagertally::Review;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t Workers = 16;
constexpr std::size_t LabelledJobs = 8;
constexpr std::size_t OrdinaryJobs = 12;
constexpr std::int64_t Cpu = 1000;
constexpr const char *Prefix = "/lohu930/";

int run(const std::filesystem::path &record)
{
    FleetPlan plan;
    plan.zones = {"maarif"};
    plan.entriesPerZone = 3;
    for (std::size_t number = 0; number < Workers; ++number) {
        plan.workers.push_back({"maarif", {number + 1 == Workers ? "b" : "a", "r1-" + std::to_string(number / 6)}});
    }
    plan.routes = Json::array({route("session-confirm", Prefix, 2, 100ms, 1.6)});
    Fleet fleet(plan, record);
    std::vector<JobPlan> ordinary;
    for (std::size_t number = 0; number < LabelledJobs; ++number) {
        const JobPlan job{jobId(3, number), Prefix, {{1, Cpu, 2500ms, ""}, {1, Cpu, 2500ms, "b"}}};
        if (!fleet.submit(job, number)) {
            return 2;
        }
    }
    if (isTroubleOn()) {
        fleet.with([&fleet] { fleet.workers.back()->drain(2500ms); });
    }
    std::this_thread::sleep_for(5s);
    for (std::size_t number = 0; number < OrdinaryJobs; ++number) {
        const JobPlan job{jobId(4, number), Prefix, {{1, Cpu, 200ms, ""}}};
        if (!fleet.submit(job, number)) {
            return 2;
        }
        ordinary.push_back(job);
    }
    const std::vector<std::string> stranded
        = fleet.findStranded(ordinary, Cpu, [](const Worker &worker) { return worker.plan.labels.front() == "a"; });
    fleet.record("ordinary jobs that were accepted and don't run: " + std::to_string(stranded.size()) + " of "
                 + std::to_string(ordinary.size()));
    return stranded.empty() ? 0 : 1;
}

} // namespace

int main(int, char **arguments)
{
    try {
        return run(arguments[1]);
    } catch (const std::exception &error) {
        std::cerr << error.what() << '\n';
        return 2;
    }
}
