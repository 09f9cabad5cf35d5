// A best-effort job whose entry's machine is suspended (node_freeze) while the request waits to be read.
#include "fleet.h"

#include <csignal>
#include <iostream>

using namespace Tanagertally::Review;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t WorkersPerZone = 4;
constexpr int Freezes = 3; // One after the other, until the rule is broken.
constexpr std::int64_t Cpu = 1000;
constexpr auto Work = 1200ms; // Less than the client's deadline; within `max` of work_ms of session-confirm.
constexpr auto Resend = 1300ms; // resend-ms
constexpr auto FreezeLength = 3500ms; // for_s of node_freeze is 4.0 s.
constexpr auto NetworkHeldAfter = 30ms;
// The client's end of the connection is sent after 1.5 s, and again by TCP 0.2, 0.6, 1.4 and 3.0 s later: first received at 4.5 s.
constexpr auto ClientEndArrives = 4500ms;
constexpr const char *Prefix = "/lohu930/";

void playFreeze(Fleet &fleet, std::uint64_t number)
{
    const auto leader = fleet.leaderOf("maarif");
    const std::size_t entry = leader && *leader == 0 ? 2 : 0; // In maarif, and not its leader.
    const JobPlan job{jobId(7, number), Prefix, {{1, Cpu, Work, ""}}, true};
    fleet.announce(job);
    Tanagertally::ProcessTests::HttpConnection connection(fleet.openClientProxy(entry));
    Tanagertally::ProcessTests::HttpCall warmUp = fleet.request(job, entry, "GET");
    warmUp.target = Prefix;
    connection.exchange(warmUp); // The connection is open from an earlier request.

    if (isTroubleOn()) {
        fleet.record(fleet.entries[entry].name + " is suspended");
        fleet.entries[entry].process->signal(SIGSTOP);
    }
    const auto startedAt = std::chrono::steady_clock::now();
    std::thread client([&] {
        Tanagertally::ProcessTests::HttpCall call = fleet.request(job, entry, "POST");
        call.body = job.body();
        fleet.record("POST " + call.target + " at " + fleet.entries[entry].name);
        const auto answer = connection.exchangeOnce(call);
        fleet.record("POST " + call.target + " at " + fleet.entries[entry].name + " -> "
                     + (answer.status > 0 ? std::to_string(answer.status) : "no answer, and the client closes the connection"));
        if (answer.status != 200) {
            std::this_thread::sleep_for(Resend);
            fleet.post(job, 1); // In anfa.
        }
    });
    if (isTroubleOn()) {
        std::this_thread::sleep_until(startedAt + NetworkHeldAfter);
        fleet.holdClient(true);
        fleet.holdLinks(entry, true);
        std::this_thread::sleep_until(startedAt + FreezeLength);
        fleet.record(fleet.entries[entry].name + " goes on");
        fleet.holdLinks(entry, false);
        fleet.entries[entry].process->signal(SIGCONT);
        std::this_thread::sleep_until(startedAt + ClientEndArrives);
        fleet.record("the client's end of the connection is received");
        fleet.holdClient(false);
    }
    client.join();
}

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
    for (int number = 0; number < Freezes && !isTwice; ++number) {
        playFreeze(fleet, static_cast<std::uint64_t>(number));
        std::this_thread::sleep_for(5s);
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
