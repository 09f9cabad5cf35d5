#include "cost.h"

#include "cost_instance.h"

#include <fmt/format.h>
#include <malloc.h>

#include <array>
#include <ctime>
#include <functional>
#include <span>

namespace Tanagertally {

using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t KeysPerCall = 1000;
constexpr std::uint32_t MeasuredSubmissions = 1000;
constexpr int Repeats = 5; // the least is taken
constexpr Duration IdleTime = 60s;
const TeamName Team("team0");

/** A measured size and its figure. */
struct Point {
    double size; ///< Size.
    double figure; ///< Figure.
};

Duration processorTime()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

double heapBytes()
{
    const struct mallinfo2 info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

/** @return Slope of the least squares line. */
double slopeOf(std::span<const Point> points)
{
    double sizes = 0;
    double figures = 0;
    double products = 0;
    double squares = 0;
    for (const Point &point : points) {
        sizes += point.size;
        figures += point.figure;
        products += point.size * point.figure;
        squares += point.size * point.size;
    }
    const auto count = static_cast<double>(points.size());
    return (count * products - sizes * figures) / (count * squares - sizes * sizes);
}

std::string row(std::string_view what, std::span<const Point> points, std::string_view unit)
{
    std::string line = fmt::format("{:<42} slope {:>12.1f} {:<28}", what, slopeOf(points), unit);
    for (const Point &point : points) {
        line += fmt::format(" {:.0f}:{:.0f}", point.size, point.figure);
    }
    return line + "\n";
}

std::vector<JobKey> issueMany(CostInstance &instance, std::uint32_t count)
{
    std::vector<JobKey> keys;
    while (keys.size() < count) {
        for (JobKey &key : instance.issueKeys(Team, KeysPerCall)) {
            keys.push_back(std::move(key));
        }
    }
    return keys;
}

std::string taskCost(std::uint32_t jobs, std::uint32_t tasksPerJob, std::uint32_t endpoints)
{
    double nanosPerTask = 1e18;
    double nanosPerEvent = 1e18;
    for (int repeat = 0; repeat < Repeats; ++repeat) {
        CostInstance instance(CostSizes{endpoints, 1, 8});
        const std::vector<JobKey> keys = issueMany(instance, jobs);
        const std::uint64_t events = instance.events();
        const Duration begin = processorTime();
        for (std::uint32_t job = 0; job < jobs; ++job) {
            instance.submit(Team, keys[job], tasksPerJob);
            instance.finishAttempts();
        }
        const auto spent = static_cast<double>((processorTime() - begin).count());
        if (instance.completeJobs() != jobs) {
            return fmt::format("tasks: only {} of {} jobs complete\n", instance.completeJobs(), jobs);
        }
        nanosPerTask = std::min(nanosPerTask, spent / jobs / tasksPerJob);
        nanosPerEvent = std::min(nanosPerEvent, spent / static_cast<double>(instance.events() - events));
    }
    return fmt::format("{:<42} {:>8.0f} ns per task {:>8.0f} ns per event\n",
                       fmt::format("jobs of {} tasks, {} endpoints", tasksPerJob, endpoints), nanosPerTask, nanosPerEvent);
}

/** @return Heap in use after something of a size was done, less the heap before. */
double heapGrowth(const CostSizes &sizes, const std::function<void(CostInstance &)> &what)
{
    CostInstance instance(sizes);
    const double before = heapBytes();
    what(instance);
    return heapBytes() - before;
}

std::string heapRow(std::string_view what, std::string_view unit, const std::function<void(CostInstance &, std::uint32_t)> &fill)
{
    std::vector<Point> points;
    for (const std::uint32_t size : {1000U, 4000U, 16000U}) {
        points.push_back({double(size), heapGrowth(CostSizes{}, [&](CostInstance &instance) { fill(instance, size); })});
    }
    return row(what, points, unit);
}

void holdTasks(CostInstance &instance, std::uint32_t tasks)
{
    for (std::uint32_t job = 0; job < tasks / 100; ++job) {
        instance.submit(Team, JobKey(), 100);
    }
}

void answerJobs(CostInstance &instance, std::uint32_t jobs, bool ownTeams)
{
    for (std::uint32_t job = 0; job < jobs; ++job) {
        instance.submit(ownTeams ? TeamName(fmt::format("team{}", job)) : Team, JobKey(), 1);
        instance.finishAttempts();
    }
}

/** @return Processor time of a submission while jobs of one task wait. */
double submissionNanos(std::uint32_t waitingJobs)
{
    double least = 1e18;
    for (int repeat = 0; repeat < Repeats; ++repeat) {
        CostInstance instance(CostSizes{});
        for (std::uint32_t job = 0; job < waitingJobs; ++job) {
            instance.submit(Team, JobKey(), 1);
        }
        const Duration begin = processorTime();
        for (std::uint32_t job = 0; job < MeasuredSubmissions; ++job) {
            instance.submit(Team, JobKey(), 1);
        }
        least = std::min(least, static_cast<double>((processorTime() - begin).count()) / MeasuredSubmissions);
        instance.finishAttempts();
        if (instance.completeJobs() != waitingJobs + MeasuredSubmissions) {
            return 0;
        }
    }
    return least;
}

double wholeHeap(const CostSizes &sizes)
{
    const double before = heapBytes();
    const CostInstance instance(sizes);
    return heapBytes() - before;
}

double idleNanosPerSecond(const CostSizes &sizes)
{
    double least = 1e18;
    for (int repeat = 0; repeat < Repeats; ++repeat) {
        CostInstance instance(sizes);
        const Duration begin = processorTime();
        instance.pass(IdleTime);
        const auto spent = static_cast<double>((processorTime() - begin).count());
        least = std::min(least, spent / std::chrono::duration<double>(IdleTime).count());
    }
    return least;
}

std::string sizeRow(std::string_view what, std::string_view unit, std::span<const std::uint32_t> counts, bool ofPeers,
                    double (*measure)(const CostSizes &))
{
    std::vector<Point> points;
    for (const std::uint32_t count : counts) {
        CostSizes sizes{16, 2, 8};
        (ofPeers ? sizes.peers : sizes.endpoints) = count;
        points.push_back({double(count), measure(sizes)});
    }
    return row(what, points, unit);
}

} // namespace

std::string measureCosts()
{
    constexpr std::array<std::uint32_t, 4> EndpointCounts = {16, 64, 256, 1024};
    constexpr std::array<std::uint32_t, 4> PeerCounts = {2, 8, 32, 128};
    std::string text = "Processor time of the decision part, least of 5 repeats\n";
    text += taskCost(20000, 1, 16) + taskCost(20000, 1, 256) + taskCost(200, 100, 16) + taskCost(20, 1000, 16);
    std::vector<Point> waiting;
    for (const std::uint32_t jobs : {1000U, 4000U, 16000U}) {
        waiting.push_back({double(jobs), submissionNanos(jobs)});
    }
    text += row("submission, by jobs waiting", waiting, "ns per job waiting");
    text += "\nHeap in use, by size\n";
    text += heapRow("tasks held, in jobs of 100", "bytes per task", holdTasks);
    text += heapRow("jobs answered and remembered", "bytes per job",
                    [](CostInstance &instance, std::uint32_t jobs) { answerJobs(instance, jobs, false); });
    text += heapRow("the same, each of a team of its own", "bytes per job and team",
                    [](CostInstance &instance, std::uint32_t jobs) { answerJobs(instance, jobs, true); });
    text += heapRow("keys issued and unused", "bytes per key",
                    [](CostInstance &instance, std::uint32_t keys) { issueMany(instance, keys); });
    text += sizeRow("endpoints of the own domain", "bytes per endpoint", EndpointCounts, false, wholeHeap);
    text += sizeRow("peers", "bytes per peer", PeerCounts, true, wholeHeap);
    text += "\nProcessor time while idle: instance list each 500 ms, heartbeats of each peer each 100 ms\n";
    text += sizeRow("idle, by endpoints (2 peers)", "ns per second and endpoint", EndpointCounts, false, idleNanosPerSecond);
    text += sizeRow("idle, by peers (16 endpoints)", "ns per second and peer", PeerCounts, true, idleNanosPerSecond);
    return text;
}

} // namespace Tanagertally
