// Stored jobs of a zone whose worker fails all that it starts for some seconds (srv_grey).
#include "fleet.h"

#include <iostream>

using namespace Tanagertally::Review;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t FirstZoneWorkers = 8;
constexpr std::size_t SecondZoneWorkers = 7;
constexpr std::size_t Jobs = 6;
constexpr std::int64_t Cpu = 1000;
constexpr int MaxAttempts = 2;
constexpr auto GreyLength = 6400ms; // After the submissions; for_s of srv_grey is 6.5 s.
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
    plan.routes = Json::array({route("session-confirm", Prefix, MaxAttempts, 20s, 1.6)});
    Fleet fleet(plan, record);

    constexpr std::size_t AinDiabEntry = 2;
    Worker &worker = *fleet.workers.back();
    if (isTroubleOn()) {
        fleet.record("worker " + worker.id + " fails all that it starts from now on");
        fleet.with([&worker] { worker.failsAll = true; });
    }
    std::vector<JobPlan> accepted;
    for (std::size_t number = 0; number < Jobs; ++number) {
        const JobPlan job{jobId(5, number), Prefix, {{1, Cpu, 200ms, ""}}};
        if (!fleet.submit(job, AinDiabEntry)) {
            return 2;
        }
        accepted.push_back(job);
    }
    std::this_thread::sleep_for(GreyLength);
    fleet.with([&worker] { worker.failsAll = false; });
    fleet.record("worker " + worker.id + " is sound");
    const std::vector<std::string> stranded = fleet.findStranded(accepted, Cpu, [](const Worker &) { return true; });
    fleet.record("jobs that were accepted, have attempts left, and don't run: " + std::to_string(stranded.size()) + " of "
                 + std::to_string(accepted.size()));
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
