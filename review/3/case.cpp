// A long task of a stored job whose worker crashes twice (srv_crash).
#include "fleet.h"

#include <iostream>

using namespace Tanagertally::Review;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t Workers = 8;
constexpr std::int64_t Cpu = 1000;
constexpr auto Work = 9000ms;
constexpr auto CrashLength = 4500ms; // for_s of srv_crash
constexpr int Crashes = 2;
constexpr const char *Prefix = "/lohu930/";

/** @return The worker that runs the job; null if none does within 20 s. */
Worker *findRunner(Fleet &fleet, const JobPlan &job)
{
    Worker *runner = nullptr;
    Tanagertally::ProcessTests::waitUntil(
        [&] {
            runner = fleet.with([&]() -> Worker * {
                for (const auto &worker : fleet.workers) {
                    if (worker->isUp && worker->runs.contains(job.id + ".0.0.0")) {
                        return worker.get();
                    }
                }
                return nullptr;
            });
            return runner != nullptr;
        },
        20s);
    return runner;
}

int run(const std::filesystem::path &record)
{
    FleetPlan plan;
    plan.zones = {"maarif"};
    plan.entriesPerZone = 3;
    for (std::size_t number = 0; number < Workers; ++number) {
        plan.workers.push_back({"maarif", {"a", "r1-" + std::to_string(number / 4)}});
    }
    plan.routes = Json::array({route("session-confirm", Prefix, 2, 20s, 1.6)});
    Fleet fleet(plan, record);
    const JobPlan job{jobId(2, 1), Prefix, {{1, Cpu, Work, ""}}};
    if (!fleet.submit(job, 0)) {
        return 2;
    }
    for (int crash = 0; isTroubleOn() && crash < Crashes; ++crash) {
        Worker *runner = findRunner(fleet, job);
        if (runner == nullptr) {
            break;
        }
        std::this_thread::sleep_for(1500ms);
        fleet.with([runner] { runner->crash(); });
        std::this_thread::sleep_for(CrashLength);
        fleet.with([runner] { runner->restart(); });
        std::this_thread::sleep_for(1000ms);
    }
    fleet.record("the traffic ends");
    std::string last;
    for (int look = 0; look < 40; ++look) {
        const JobView view = fleet.look(job, static_cast<std::size_t>(look) % fleet.entries.size());
        if (view.state != last) {
            fleet.record("GET " + job.prefix + job.id + " -> " + std::to_string(view.status) + " " + view.state);
        }
        last = view.state;
        if (last == "failed" || last == "done") {
            break;
        }
        std::this_thread::sleep_for(1s);
    }
    fleet.record(last == "failed" ? "shown as failed, though no run of it has ended as failed" : "not shown as failed");
    return last == "failed" ? 1 : 0;
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
