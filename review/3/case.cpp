// A best-effort job whose entry is cut off and killed, while a worker leaves one stop unanswered.
#include "fleet.h"

#include <csignal>
#include <iostream>

using namespace Tanagertally::Review;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t WorkersPerZone = 4;
constexpr std::int64_t Cpu = 1000;
constexpr auto Work = 3000ms; // Within `max` of work_ms of session-confirm.
constexpr auto Resend = 1300ms; // resend-ms
constexpr auto LateOrdersLength = 5500ms; // for_s of applied_late
constexpr double LateShare = 0.055; // x of applied_late
constexpr const char *Prefix = "/lohu930/";

int run(const std::filesystem::path &record)
{
    FleetPlan plan;
    plan.zones = {"maarif", "anfa"};
    plan.entriesPerZone = 4;
    plan.hasLinkProxies = true;
    for (std::size_t number = 0; number < 2 * WorkersPerZone; ++number) {
        plan.workers.push_back({plan.zones[number % 2], {"a", "r" + std::to_string(number % 2) + "-0"}});
    }
    plan.routes = Json::array({route("session-confirm", Prefix, 2, 500ms, 1.6)});
    Fleet fleet(plan, record);
    const auto leader = fleet.leaderOf("maarif");
    const auto otherLeader = fleet.leaderOf("anfa");
    if (!leader || !otherLeader) {
        return 2;
    }
    const std::size_t entry = *leader == 0 ? 2 : 0; // In maarif, and not its leader.
    const std::size_t secondEntry = *otherLeader == 1 ? 3 : 1; // In anfa, and not its leader.

    std::atomic<bool> isTwice = false;
    fleet.with([&] {
        for (const auto &worker : fleet.workers) {
            worker->onStart = [&fleet, &isTwice, starting = worker.get()](const std::string &task) {
                for (const auto &other : fleet.workers) {
                    if (other.get() != starting && other->isUp && other->runs.contains(task)) {
                        isTwice = true;
                        fleet.record("two runs of " + task + " at the same time: on " + other->id + " and " + starting->id);
                    }
                }
            };
        }
    });
    // Other jobs, so that the workers get orders all the time.
    std::atomic<bool> isOver = false;
    std::vector<std::thread> callers;
    for (std::size_t number = 0; number < 4; ++number) {
        callers.emplace_back([&, number] {
            for (std::size_t next = 0; !isOver; ++next) {
                const JobPlan job{jobId(8, 1000 * number + next), Prefix, {{2, 500, 150ms, ""}}, true};
                fleet.post(job, number % 2 == 0 ? *leader : *otherLeader);
                std::this_thread::sleep_for(100ms);
            }
        });
    }
    std::this_thread::sleep_for(1s);

    const JobPlan job{jobId(7, 1), Prefix, {{1, Cpu, Work, ""}}, true};
    std::size_t ordersBefore = 0;
    if (isTroubleOn()) {
        fleet.with([&] {
            for (const auto &worker : fleet.workers) {
                ordersBefore += worker->orders;
            }
        });
    }
    auto first = std::async(std::launch::async, [&] { return fleet.post(job, entry); });
    if (isTroubleOn()) {
        const bool isRunning = Tanagertally::ProcessTests::waitUntil(
            [&] {
                return fleet.with([&] {
                    for (const auto &worker : fleet.workers) {
                        if (worker->runs.contains(job.id + ".0.0.0")) {
                            worker->lateStops = 1;
                            return true;
                        }
                    }
                    return false;
                });
            },
            1s);
        if (!isRunning) {
            return 2;
        }
        fleet.cutOff(entry);
        fleet.record(fleet.entries[entry].name + " is killed");
        fleet.entries[entry].process->signal(SIGKILL);
    }
    const auto answer = first.get();
    if (answer.status != 200) {
        std::this_thread::sleep_for(Resend);
        fleet.post(job, secondEntry);
    }
    std::this_thread::sleep_for(LateOrdersLength - Resend);
    isOver = true;
    for (std::thread &caller : callers) {
        caller.join();
    }
    if (isTroubleOn()) {
        std::size_t orders = 0;
        fleet.with([&] {
            for (const auto &worker : fleet.workers) {
                orders += worker->orders;
            }
        });
        fleet.record("one of " + std::to_string(orders - ordersBefore) + " orders was carried out late");
        if (LateShare * static_cast<double>(orders - ordersBefore) < 1) {
            return 2;
        }
    }
    fleet.record(isTwice ? "a task ran twice at the same time" : "no task ran twice at the same time");
    return isTwice ? 1 : 0;
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
