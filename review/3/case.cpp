// Stored jobs of a cell whose only worker is taken away as planned (scale_in).
#include "fleet.h"

#include <iostream>

using namespace Tanagertally::Review;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t FirstZoneWorkers = 8;
constexpr std::size_t SecondZoneWorkers = 7;
constexpr std::size_t Jobs = 14;
constexpr std::int64_t Cpu = 1000;
constexpr const char *Prefix = "/lohu930/";

int run(const std::filesystem::path &record)
{
    FleetPlan plan;
    plan.zones = {"maarif", "anfa", "ain-diab"};
    for (std::size_t number = 0; number < FirstZoneWorkers; ++number) {
        plan.workers.push_back({"maarif", {"a", "r1-" + std::to_string(number / 4)}});
    }
    for (std::size_t number = 0; number < SecondZoneWorkers; ++number) {
        plan.workers.push_back({"anfa", {"a", "r2-" + std::to_string(number / 4)}});
    }
    plan.workers.push_back({"ain-diab", {"a", "r3-0"}});
    plan.routes = Json::array({route("session-confirm", Prefix, 2, 20s, 1.6)});
    Fleet fleet(plan, record);

    // Clients of ain-diab, whose zone has one worker for eight tasks at a time.
    constexpr std::size_t AinDiabEntry = 2;
    std::vector<JobPlan> accepted;
    for (std::size_t number = 0; number < Jobs; ++number) {
        const JobPlan job{jobId(1, number), Prefix, {{1, Cpu, 3000ms, ""}}};
        if (!fleet.submit(job, AinDiabEntry)) {
            fleet.record("not accepted");
            return 2;
        }
        accepted.push_back(job);
    }
    if (isTroubleOn()) {
        fleet.with([&fleet] { fleet.workers.back()->drain(2500ms); });
    }
    const std::vector<std::string> stranded = fleet.findStranded(accepted, Cpu, [](const Worker &) { return true; });
    fleet.record("jobs that were accepted and never run: " + std::to_string(stranded.size()) + " of " + std::to_string(accepted.size()));
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
