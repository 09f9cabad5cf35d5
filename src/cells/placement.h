/**
 * Placement of tasks on the endpoints of a cell; without side effects.
 *
 * Pattern: uneven endpoints. A task with a long run time misses its objective on a slow endpoint even if it starts at once, while a short
 * one doesn't. If each task takes the fastest endpoint with free capacity, short tasks fill the fast endpoints and long ones are left with
 * the slow ones. Each task is placed where it is expected to end in time instead, and once fast capacity is scarce, a task that has time to
 * spare leaves it to those that need it.
 */
#pragma once

#include "cells/cell_endpoint.h"
#include "cells/job_type.h"

#include <vector>

namespace Tanagertally::Cells {

/** @return Whether an endpoint has a label. Thread safety: any thread. */
bool hasLabel(const EndpointRecord &endpoint, std::string_view label);

/** @return Whether an endpoint without runs could run a task of a step. Thread safety: any thread. */
bool canEverRun(const EndpointRecord &endpoint, const StepSpec &step);

/** @return Whether an endpoint is away from the data of a step. Thread safety: any thread. */
bool isFarFromData(const EndpointRecord &endpoint, const StepSpec &step);

/**
 * @param remoteFactor Run time away from the data divided by that near it; 1 if it isn't known.
 * @return Run time of a task at the cell's mean speed, by the caller's estimate. Thread safety: any thread.
 */
Duration meanRunTime(const EndpointRecord &endpoint, const StepSpec &step, double remoteFactor = 1);

/** @return meanRunTime() at the endpoint's lasting speed. Thread safety: none. */
Duration expectedRunTime(const CellEndpoint &endpoint, const StepSpec &step, double remoteFactor = 1);

/** Processor demand of recent tasks, from which follows which rest of an endpoint is of use. Thread safety: none. */
class RecentDemand
{
public:
    /** Records the demand of a started task, in thousandths of a core. */
    void record(std::int64_t cpu);

    /** @return Weighted median in thousandths of a core; 0 without tasks. */
    std::int64_t typicalCpu() const;

private:
    /** A demand and its decayed frequency. */
    struct Entry {
        std::int64_t cpu = 0;
        double weight = 0;
    };
    std::vector<Entry> entries; ///< Sorted by `cpu`; bounded.
};

/** @return Part of a free capacity that tasks of a typical demand can't use; 0 if no demand is known. Thread safety: any thread. */
std::int64_t unusableCpu(std::int64_t freeCpu, std::int64_t typicalCpu);

/** An endpoint that accepts work. */
struct PlacementCandidate {
    CellEndpoint *endpoint = nullptr; ///< Never null; not owned.
    double slowness = 1; ///< From EndpointHealth::slowness().
    TrialTerms trial = TrialTerms::None; ///< Whether the endpoint is suspect, so that it may get one run at a time only.
    Resources promised; ///< Capacity that tasks of this pass wait for.
};

/** A task to place. */
struct PlacementTask {
    const TaskRef &ref;
    const StepSpec &step;
    const EndpointName &avoid; ///< Endpoint of the task's last failure; chosen only if no other fits; may be empty.
    TimePoint objective; ///< Time by which the whole job has to end.
    TimePoint dueAt; ///< Time by which the task has to end so that its job ends in time.
    TimePoint worthlessAt; ///< Time after which the task's end has no value.
    bool hasSpareAttempt = true; ///< Whether the task may fail without failing its job.
};

/** Where to run a task. */
struct PlacementChoice {
    CellEndpoint *endpoint = nullptr; ///< The endpoint; null if the task has to wait.
    const CellEndpoint *awaited = nullptr; ///< A faster endpoint that the task should wait for; set only if `endpoint` is null.
    bool wasKnownUnfit = false; ///< Whether no endpoint was examined, as no less demanding task has fitted before in the same pass.
};

/**
 * The endpoints of one service during one pass over the waiting tasks. What doesn't change within a pass is determined once, when an
 * endpoint is added; free capacity is read anew for each task. Thread safety: none.
 */
class PlacementPass
{
public:
    /** Starts a pass without endpoints. @param recentDemand Typical demand in thousandths of a core; 0 if it isn't known. */
    void begin(ServiceName passService, std::int64_t recentDemand);

    /** Adds an endpoint that accepts work. @param slowness From EndpointHealth::slowness(). */
    void add(CellEndpoint &endpoint, double slowness, TrialTerms trial);

    /** @return Service of the endpoints. */
    const ServiceName &service() const;

    /**
     * Chooses an endpoint for a task. In this order: not that of its last failure, one where it ends in time, one in the preferred rack,
     * the least slow one, one of the fitting speed (the fastest while the faster half of the capacity is half free, else the slowest one
     * that will do), the one with the smallest rest that typical tasks can't use, the one with the smallest rest (best fit).
     *
     * An endpoint that a passing fault slows down to less than half of the speed of others that could run the task is left out if it alone
     * makes the task late. A
     * task that ends in time on no endpoint with room, but would on one that is expected to be free by the latest start there, waits for
     * it.
     *
     * Room only shrinks within a pass: what didn't fit stays unfit, and so does a task that needs as much or more. Such tasks cost no look
     * at the endpoints, so that a pass over many of them reaches the tasks behind them.
     * @param remoteFactor See meanRunTime().
     */
    PlacementChoice choose(TimePoint now, const PlacementTask &task, double remoteFactor = 1);

private:
    /** What a task needs of an endpoint, whatever its job and its deadlines. */
    struct Needs {
        Resources demand;
        std::string requirement; ///< Label that an endpoint must have; empty for none.
        bool hasSpareAttempt = true; ///< Whether a suspect endpoint will do that takes tasks with a spare attempt only.

        /** @return Whether an endpoint that meets `other` meets these needs as well. */
        bool isImpliedBy(const Needs &other) const;
    };

    bool isKnownUnfit(const Needs &needs) const;
    void recordUnfit(Needs needs);
    static bool fits(const PlacementCandidate &candidate, const PlacementTask &task);
    static bool isWithinStepLimit(const PlacementCandidate &candidate, const PlacementTask &task);
    double leastSlownessFor(const StepSpec &step) const; ///< @return Least slowness of the candidates that could ever run a step.
    static bool isTooSlow(TimePoint now, const PlacementCandidate &candidate, const PlacementTask &task, double leastSlowness);
    const CellEndpoint *findAwaited(TimePoint now, const PlacementTask &task, double remoteFactor);
    std::optional<TimePoint> freeAt(TimePoint now, const PlacementCandidate &candidate, const Resources &demand);

    ServiceName serviceName;
    std::vector<PlacementCandidate> candidates;
    std::vector<Needs> unfitNeeds; ///< Needs that no candidate could meet in this pass.
    std::int64_t typicalCpu = 0; ///< In thousandths of a core; 0 if it isn't known.
    double leastSlowness = 1; ///< Of all candidates.
    double greatestSlowness = 1; ///< Of all candidates.
    std::int64_t fastCpu = 0; ///< Capacity of the candidates of at least mean speed, in thousandths of a core.
    std::int64_t freeFastCpu = 0; ///< Free part of `fastCpu` as of add().
    bool areSpeedsEven = true; ///< Whether all candidates are about equally fast.
    std::vector<std::pair<TimePoint, const Resources *>> endsScratch; ///< Kept to avoid allocations; valid only within freeAt().
};

} // namespace Tanagertally::Cells
