// tanagertally-schedules: searches schedules of faults in fleets of whole instances for violated promises.
#include "node/tests/schedules/schedule.h"

#include <CLI/CLI.hpp>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <mutex>
#include <thread>

using namespace Tanagertally;
using namespace Tanagertally::Cells::Test;

namespace {

struct SearchOptions {
    std::uint64_t seed = 1;
    std::uint64_t seeds = 1000;
    double minutes = 0; ///< Instead of `seeds`, if positive.
    unsigned jobs = 4;
    std::size_t findings = 10; ///< Findings of a family after which it isn't searched any more.
    std::string family;
    bool isReplay = false;
};

void printLog(std::int64_t atMs, std::size_t node, const Cells::WriteLogLine &line)
{
    std::string text = std::to_string(atMs) + " i" + std::to_string(node) + " " + line.event;
    for (const auto &[name, value] : line.fields) {
        text += " " + name + "=" + value;
    }
    std::puts(text.c_str());
}

void replay(const ScheduleFamily &family, std::uint64_t seed)
{
    const Schedule drawn = drawSchedule(family, seed);
    const Schedule schedule = runSchedule(drawn).violations.empty() ? drawn : shrinkSchedule(drawn);
    std::printf("%s", toText(schedule).c_str());
    for (const std::string &violation : runSchedule(schedule, printLog).violations) {
        std::printf("VIOLATED %s\n", violation.c_str());
    }
}

/** Searches one family. @return Number of findings. */
std::size_t search(const ScheduleFamily &family, const SearchOptions &options, std::size_t familyCount)
{
    std::atomic<std::uint64_t> next = options.seed;
    std::atomic<std::uint64_t> played = 0;
    std::atomic<std::uint64_t> starts = 0;
    std::atomic<std::uint64_t> faults = 0;
    std::atomic<std::size_t> findings = 0;
    std::mutex output;
    const auto startedAt = std::chrono::steady_clock::now();
    const auto share = std::chrono::duration<double>(60 * options.minutes / static_cast<double>(familyCount));
    const auto isDue = [&](std::uint64_t seed) {
        return options.minutes > 0 ? std::chrono::steady_clock::now() - startedAt < share : seed < options.seed + options.seeds;
    };
    const auto work = [&] {
        for (std::uint64_t seed = next++; isDue(seed) && findings < options.findings; seed = next++) {
            const Schedule schedule = drawSchedule(family, seed);
            const ScheduleResult result = runSchedule(schedule);
            ++played;
            starts += result.starts;
            faults += result.faults;
            if (result.violations.empty()) {
                continue;
            }
            ++findings;
            const Schedule shortest = shrinkSchedule(schedule);
            const std::vector<std::string> violations = runSchedule(shortest).violations;
            const double seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - startedAt).count();
            const std::lock_guard<std::mutex> lock(output);
            std::printf("VIOLATED %s, seed %llu, after %llu schedules, %.1f s: %s\n%s", std::string(family.name).c_str(),
                        static_cast<unsigned long long>(seed), static_cast<unsigned long long>(played.load()), seconds,
                        violations.empty() ? "?" : violations.front().c_str(), toText(shortest).c_str());
            std::fflush(stdout);
        }
    };
    std::vector<std::thread> threads;
    for (unsigned number = 0; number < options.jobs; ++number) {
        threads.emplace_back(work);
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    const double seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - startedAt).count();
    std::printf("%s: %llu schedules, %llu starts, %llu faults, %zu violated, %.1f s, %.0f schedules/s\n", std::string(family.name).c_str(),
                static_cast<unsigned long long>(played.load()), static_cast<unsigned long long>(starts.load()),
                static_cast<unsigned long long>(faults.load()), findings.load(), seconds, static_cast<double>(played) / seconds);
    std::fflush(stdout);
    return findings;
}

} // namespace

int main(int argc, char **argv)
{
    SearchOptions options;
    CLI::App app("Searches schedules of faults in fleets of whole instances for violated promises");
    app.add_option("--seed", options.seed, "First seed");
    app.add_option("--seeds", options.seeds, "Number of seeds of each family");
    app.add_option("--minutes", options.minutes, "Time for all families together, instead of a number of seeds");
    app.add_option("--jobs", options.jobs, "Number of threads")->check(CLI::Range(1, 64));
    app.add_option("--family", options.family, "Family to search; all if left out");
    app.add_option("--findings", options.findings, "Violated schedules after which a family isn't searched any more");
    app.add_flag("--replay", options.isReplay, "Print the shortest form of a seed's schedule and its log; needs --family");
    CLI11_PARSE(app, argc, argv);
    std::vector<ScheduleFamily> families;
    std::ranges::copy_if(scheduleFamilies(), std::back_inserter(families),
                         [&](const ScheduleFamily &family) { return options.family.empty() || family.name == options.family; });
    if (families.empty()) {
        std::fprintf(stderr, "--family: no family is named %s\n", options.family.c_str());
        return 2;
    }
    if (options.isReplay) {
        replay(families.front(), options.seed);
        return 0;
    }
    std::size_t findings = 0;
    for (const ScheduleFamily &family : families) {
        findings += search(family, options, families.size());
    }
    return findings > 0 ? 1 : 0;
}
