/** Stand-in of a worker of the users' platform, as PROTOCOL.md describes one. */
#pragma once

#include "platform/tests/standins/store_standin.h"

#include <nlohmann/json.hpp>

#include <map>

namespace Tanagertally::Review {

using Json = nlohmann::json;

/** What a worker is. */
struct WorkerPlan {
    std::string zone; ///< Its zone.
    std::vector<std::string> labels; ///< Its kind and its rack.
    std::int64_t cpu = 8000; ///< Capacity in thousandths of a core.
    std::int64_t memoryMb = 16384; ///< Memory.
};

/** A run on a worker. */
struct Run {
    std::uint64_t number = 0; ///< Number of the start.
    std::string spec; ///< The order's `spec`.
    std::int64_t cpu = 0; ///< Capacity that it takes.
    TimePoint endsAt; ///< When its work is done.
    std::string how = "done"; ///< How it ends at `endsAt`.
};

/** An end that isn't acknowledged. */
struct End {
    std::uint64_t number = 0; ///< Number of the end.
    std::string task; ///< The task.
    std::uint64_t run = 0; ///< The run.
    std::string how; ///< How it ended.
};

/** Called with one line for each event of a worker. */
using RecordLine = std::function<void(const std::string &)>;

/** What a task costs: its run time and its demand; the harness knows them from the jobs that it sent. */
struct TaskCost {
    Duration work{}; ///< Run time.
    std::int64_t cpu = 0; ///< Demand in thousandths of a core.
};

/**
 * One worker, which guards its room. Thread safety: none; all methods but close() run on the io_context's thread.
 */
class Worker
{
public:
    using CostOf = std::function<std::optional<TaskCost>(const std::string &task)>; ///< Nothing if nobody sent the task.

    /** Creates a worker that registers with the next tick(). */
    Worker(boost::asio::io_context &io, WorkerPlan plan, std::size_t number, CostOf costOf, RecordLine record);

    /** Ends what is due, answers waiting holds, and renews the registration. To be called about every 5 ms. */
    void tick(Platform::Test::StoreStandin &store);

    /** Crashes: nothing is answered any more, and all runs are gone. */
    void crash();

    /** Starts again at the same address under a new id. @pre crash() was called. */
    void restart();

    /** Reports that the worker drains; it leaves `remaining` later and removes its registration. */
    void drain(Duration remaining);

    /** Closes the listener. Thread safety: any thread but the io_context's. */
    void close();

    WorkerPlan plan; ///< What it is.
    std::string id; ///< Name of this life.
    bool isUp = true; ///< Whether its process runs.
    std::function<void(const std::string &)> onStart = [](const std::string &) {}; ///< Called with the task before each start.
    bool failsAll = false; ///< Whether all runs that it starts end as failed.
    std::map<std::string, Run> runs; ///< Its runs, by task.

    /** @return Capacity that the runs take. */
    std::int64_t usedCpu() const;

    /** @return Whether it takes new work. */
    bool takesWork() const;

private:
    struct WaitingHold {
        TimePoint until;
        Platform::Test::Reply reply;
    };

    void serve(const HttpRequest &request, const Platform::Test::Reply &reply);
    HttpReply start(const Json &body);
    HttpReply stop(const Json &body);
    void hold(const Json &body, const Platform::Test::Reply &reply);
    HttpReply refusal(const std::string &reason) const;
    HttpReply lists() const;
    void endRun(const std::string &task, const std::string &how);
    void endDueRuns();
    void grant(std::int64_t deadlineMs);
    std::int64_t clockMs() const;
    void beginLife();

    CostOf costOf;
    RecordLine record;
    std::size_t number;
    std::uint64_t life = 0;
    std::uint64_t token = 0;
    std::uint64_t lastEnd = 0;
    std::uint64_t sequence = 0;
    std::int64_t leaseUntilMs = 0; ///< On its clock.
    std::vector<End> ends;
    std::map<std::string, std::uint64_t> endedRuns; ///< Highest run that was stopped or ended, by task.
    std::list<WaitingHold> holds;
    std::optional<TimePoint> leavesAt;
    std::optional<std::pair<std::string, TimePoint>> lapsing; ///< Registration of a crashed life, and when it is removed.
    TimePoint registersAt;
    bool isAnnounced = false; ///< Whether the store has the registration in its present state.
    std::unique_ptr<Platform::Test::StandinServer> server;
};

/** @return The time now. */
TimePoint currentTime();

} // namespace Tanagertally::Review
