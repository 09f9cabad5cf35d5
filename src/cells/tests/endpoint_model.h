/** An endpoint as a model for tests: its clock, its lease, fencing, what runs there and which ends it lists. */
#pragma once

#include "cells/cell_action.h"
#include "cells/cell_endpoint.h"

#include <functional>
#include <map>

namespace Tanagertally::Cells::Test {

/** One run on an endpoint. */
struct ModelRun {
    TaskRef task; ///< The task.
    RunNumber run; ///< Its number.
    TimePoint startedAt; ///< When it started.
    TimePoint endsAt; ///< When its work is done.
    RunEnd outcome = RunEnd::Done; ///< How it ends then.
};

/** An end that an endpoint lists. */
struct ModelEnd {
    ListedEnd listed; ///< As listed.
    TimePoint at; ///< When it ended.
    bool hasLapsedSince = false; ///< Whether the endpoint's lease ran out before the end was acknowledged.
};

/** What a run does. */
struct RunPlan {
    Duration work{}; ///< How long it works.
    RunEnd outcome = RunEnd::Done; ///< How it ends.
};

/** One endpoint. Thread safety: none. Time never goes back from call to call. */
class EndpointModel
{
public:
    EndpointRecord record; ///< As registered.
    bool isUp = true; ///< Whether it runs.
    bool isReachable = true; ///< Whether calls reach it.
    bool hasNoRoom = false; ///< Whether something else fills it.
    std::size_t places = 2; ///< Runs that fit at a time.
    std::int64_t clockOffsetMs = 0; ///< Its clock against the world's.
    double clockRate = 1; ///< Speed of its clock.
    TimePoint leaseUntil; ///< End of its lease, on the world's clock.
    FenceToken token; ///< Highest token seen.
    std::vector<ModelRun> runs; ///< What runs.
    std::vector<ModelEnd> ends; ///< What is listed.
    std::uint64_t lastEnd = 0; ///< Number of the last end.
    std::map<TaskRef, RunNumber> over; ///< Highest run that was stopped or ended, by task.
    std::function<void(const ListedEnd &)> onEnd = [](const ListedEnd &) {}; ///< Called as a run ends.

    using Begin = std::function<RunPlan(const StartRun &)>; ///< Called as a run starts.
    using NoteDone = std::function<void(const TaskRef &)>; ///< Called as a good end is acknowledged under an unbroken lease.

    /** @return Its clock. */
    std::int64_t clockMs(TimePoint now) const;

    /** Let runs end that are due, and the lease run out. */
    void advance(TimePoint now);

    /** Carry out an order. */
    StartResult start(TimePoint now, const StartRun &order, const Begin &begin);
    StopResult stop(TimePoint now, const StopRun &order);
    HoldResult hold(TimePoint now, const HoldEndpoint &order, const NoteDone &noteDone);

    /** @return Whether a task runs there. */
    bool runsTask(const TaskRef &task) const;

    /** Let another life of it begin: nothing runs, and it remembers nothing. */
    void beginLife(EndpointName name);

private:
    void grant(TimePoint now, std::int64_t deadlineMs);
    void endRun(TimePoint now, std::size_t index, RunEnd end);
};

} // namespace Tanagertally::Cells::Test
