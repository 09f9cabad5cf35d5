/** Model of an endpoint for tests: clock, lease, fencing, runs and listed ends. */
#pragma once

#include "cells/cell_action.h"
#include "cells/cell_endpoint.h"

#include <functional>
#include <map>

namespace Tanagertally::Cells::Test {

/** A run on an endpoint. */
struct ModelRun {
    TaskRef task;
    RunNumber run;
    TimePoint startedAt;
    TimePoint endsAt; ///< When its work is done.
    RunOutcome outcome = RunOutcome::Done; ///< How it ends at `endsAt`.
    std::int64_t cpu = 0; ///< Capacity that it occupies, in thousandths of a core.
};

/** An end that is not acknowledged yet. */
struct ModelEnd {
    ListedEnd listed; ///< The end as listed.
    TimePoint at; ///< When the run ended.
    bool hasLapsedSince = false; ///< Whether the endpoint's lease expired after the run's end.
};

/** Behaviour of a run. */
struct RunPlan {
    Duration work{}; ///< Run time.
    RunOutcome outcome = RunOutcome::Done; ///< How the run ends.
    std::int64_t cpu = 0; ///< Capacity that the run occupies, in thousandths of a core.
};

/** Model of one endpoint. Thread safety: none. The time must not decrease from call to call. */
class EndpointModel
{
public:
    EndpointRecord record; ///< The endpoint's registration.
    bool isUp = true; ///< Whether the endpoint's process runs.
    bool isReachable = true; ///< Whether calls reach the endpoint.
    bool isFull = false; ///< Whether the endpoint refuses all starts for lack of capacity.
    std::size_t slots = 2; ///< Maximum number of concurrent runs.
    std::int64_t clockOffsetMs = 0; ///< Offset of its clock from the simulated time, in milliseconds.
    double clockRate = 1; ///< Rate of its clock against the simulated time.
    TimePoint leaseUntil; ///< End of its lease in simulated time.
    FenceToken token; ///< Highest fencing token seen.
    std::vector<ModelRun> runs; ///< Current runs.
    std::vector<ModelEnd> ends; ///< Ends that are not acknowledged yet.
    std::uint64_t lastEnd = 0; ///< Number of the last end.
    std::map<TaskRef, RunNumber> highestEndedRuns; ///< Highest run that was stopped or has ended, by task.
    std::function<void(const ListedEnd &)> onEnd = [](const ListedEnd &) {}; ///< Called when a run ends.

    using OnStart = std::function<RunPlan(const StartRun &)>; ///< Called when a run starts; returns its behaviour.
    using OnAcknowledged
        = std::function<void(const ModelEnd &)>; ///< Called when an end is acknowledged, unless the lease has expired since.

    /** @return Reading of its clock in milliseconds. */
    std::int64_t clockMs(TimePoint now) const;

    /** Ends the runs that are due, and all runs once the lease has expired. */
    void advance(TimePoint now);

    /** Execute an order. */
    StartResult start(TimePoint now, const StartRun &order, const OnStart &onStart);
    StopResult stop(TimePoint now, const StopRun &order);
    HoldResult hold(TimePoint now, const HoldEndpoint &order, const OnAcknowledged &onAcknowledged);

    /** @return Capacity that the runs occupy, in thousandths of a core. */
    std::int64_t usedCpu() const;

    /** @return Whether a run of a task exists. */
    bool runsTask(const TaskRef &task) const;

    /** Restarts the endpoint as a new incarnation without runs, ends, lease and token. */
    void beginIncarnation(EndpointName name);

    /** Restarts the endpoint under its name, as a new incarnation that is told apart by its birth and whose clock starts anew. */
    void restart(TimePoint now);

private:
    void grant(TimePoint now, std::int64_t deadlineMs);
    void endRun(TimePoint now, std::size_t index, RunOutcome end);
};

} // namespace Tanagertally::Cells::Test
