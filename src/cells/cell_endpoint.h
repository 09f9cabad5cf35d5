/** A cell leader's state of one endpoint: clock estimate, lease, runs and unacknowledged ends. */
#pragma once

#include "cells/cell_action.h"
#include "cells/endpoint_health.h"
#include "cells/endpoint_speed.h"

#include <map>
#include <optional>
#include <unordered_map>

namespace Tanagertally::Cells {

/** State of a run as known to the leader. */
enum class RunPhase : std::uint8_t {
    Starting, ///< The start order is in flight.
    Running, ///< The endpoint confirmed the run.
    Unconfirmed, ///< The start order got no answer; the run may exist, and a stop is ordered.
    Stopping, ///< A stop is ordered.
};

/** A run that exists on an endpoint, or may exist. */
struct RunRecord {
    RunNumber run;
    RunPhase phase = RunPhase::Starting;
    Resources demand; ///< Resources that the run occupies.
    TimePoint confirmedAt; ///< When the endpoint last confirmed the run or its stop; until then, when the start was ordered.
    TimePoint startedAt; ///< When the start was ordered, or when this leader first learnt of the run.
    std::int64_t startDeadlineMs = 0; ///< On the endpoint's clock: the endpoint doesn't start the run after this time.
    bool isStartRepeated = false; ///< Whether the start order got no answer and was sent again.
    bool isStopConfirmed = false; ///< Whether the endpoint confirmed the stop.
    bool isStopInFlight = false; ///< Whether a stop order is in flight.
    bool isStopUnanswered = false; ///< Whether a stop order got no answer.
    bool isStopOutdated = false; ///< Whether the stop order in flight was sent to a former incarnation of the endpoint.
    TimePoint probationUntil; ///< No other run is placed beside this one before; TimePoint() if it isn't on probation.
    bool isListed = false; ///< Whether the present incarnation of the endpoint has listed the run.
    bool isCarriedOver = false; ///< Whether the start was ordered from a former incarnation, so that `startDeadlineMs` refers to its clock.
    bool mayArriveLate = false; ///< Whether an order to start the run may still be under way.
    bool mayReturn = false; ///< Whether the caller has left and may submit the job to another cell, which doesn't know of this run.
    TimePoint nextStopAt; ///< When to repeat the stop order.
    TimePoint expectedEnd; ///< Expected end by the estimate and the endpoint's speed; TimePoint() if it isn't known.
};

/** An end that the endpoint lists until it is acknowledged. */
struct EndRecord {
    std::optional<JobId> awaits; ///< Job whose progress has to be stored before the end is acknowledged; unset once it is stored.
    bool awaitsRecovery = false; ///< Whether a former leader may still start the task again, so that the end must not be acknowledged yet.
};

/** A run that was given up while an order to start it may still be under way. */
struct StrayOrder {
    TaskRef task;
    RunNumber run;
    TimePoint until; ///< When the order has certainly arrived or is lost.
};

/** Bounds of the leases that endpoints grant. */
struct LeaseTerms {
    Duration longest = std::chrono::seconds(1); ///< Longest lease; `hold-max-ms` of the platform.
    static constexpr double SlowestClock = 0.98; ///< Lowest rate of an endpoint's clock, as specified by the platform.
    static constexpr Duration MaxOrderDelay = std::chrono::seconds(10); ///< Longest delay of an order that is carried out late.
};

/** Number of runs of each task on all endpoints of a cell. Thread safety: none. */
class RunIndex
{
public:
    /** Counts a run. */
    void add(const TaskRef &task);

    /** Stops counting a run. @pre It was added. */
    void remove(const TaskRef &task);

    /** @return Whether a run of a task exists. */
    bool contains(const TaskRef &task) const;

private:
    std::unordered_map<TaskRef, std::uint32_t> counts;
};

/**
 * State of one endpoint. Thread safety: none.
 */
class CellEndpoint
{
public:
    /**
     * Creates the state of an endpoint that is registered, or that a former leader used.
     * @param cellRuns Index of all runs of the cell; has to outlive the endpoint. It follows addRun() and removeRun().
     */
    CellEndpoint(EndpointRecord record, LeaseTerms terms, RunIndex &cellRuns);

    EndpointRecord record; ///< The endpoint's registration.
    bool isRegistered = true; ///< Whether the registry lists the endpoint.
    bool hasListedRuns = false; ///< Whether the endpoint has listed its runs to this leader.
    bool isInRoster = false; ///< Whether the stored roster contains the endpoint, so that later leaders find it.
    bool isHoldInFlight = false; ///< Whether a hold is in flight.
    TimePoint holdSentAt; ///< When the last hold was sent.
    std::uint64_t sentAcknowledgement = 0; ///< Highest number that the last hold acknowledged.
    TimePoint nextHoldAt; ///< Earliest time of the next hold.
    TimePoint avoidUntil; ///< No runs are placed on the endpoint before this time.
    TimePoint lastListedAt; ///< When the endpoint last listed its runs.
    TimePoint lastStartAt; ///< When the last start was ordered.
    TimePoint lastContactAt; ///< When the endpoint last answered.
    TimePoint registeredAt; ///< When this leader first saw the registration of the present incarnation.
    EndpointHealth health; ///< Health as judged from the endpoint's runs.
    EndpointSpeed speed; ///< Lasting speed relative to the cell, as learnt from the endpoint's runs.
    std::uint32_t consecutiveFailures = 0; ///< Unanswered calls since the last answer.
    TimePoint unreachableSince; ///< When the first of these calls failed; valid if there are any.
    bool wasLostOnProbation = false; ///< Whether the endpoint was lost while a run on it was on probation, and has not answered since.
    bool isReserved = false; ///< Whether the endpoint gets no runs because a task waits to run alone there.
    Resources used; ///< Resources that the runs occupy.
    std::optional<std::int64_t> born; ///< Start of the present incarnation in Unix milliseconds; unset if it isn't known or not reported.
    TimePoint bornSeenAt; ///< When the present incarnation was first seen, if it replaced another one.
    std::vector<StrayOrder> strayOrders; ///< Start orders that a new incarnation of the endpoint would not refuse by itself.
    std::unordered_map<TaskRef, RunRecord>
        runs; ///< Runs that exist on the endpoint, or may exist; changed by addRun() and removeRun() only.

    /** @return Whether the registration is the one of the present incarnation, so that its address, capacity and labels hold. */
    bool isRecordCurrent() const;

    /**
     * Replaces the state that belonged to the former incarnation: clock, ends, acknowledgements, leases, health and speed. The runs remain;
     * the leader decides about them.
     * @param startedAtMs Start of the new incarnation in Unix milliseconds.
     */
    void beginIncarnation(TimePoint now, std::int64_t startedAtMs);

    /** @return Free resources; negative if the endpoint is overcommitted. */
    Resources freeResources() const;

    /** @return Whether a run on the endpoint was on probation at a time, so that it excluded others. */
    bool hasRunOnProbation(TimePoint time) const;

    /** Records a reading of the endpoint's clock from an answer. */
    void updateClock(TimePoint now, std::int64_t clockMs);

    /** @return Whether the endpoint's clock was ever read. */
    bool isClockKnown() const;

    /** @return Estimate of the endpoint's clock in milliseconds. @pre isClockKnown() */
    std::int64_t estimatedClockMs(TimePoint now) const;

    /** @return Lower bound of the endpoint's clock in milliseconds. @pre isClockKnown() */
    std::int64_t minClockMs(TimePoint now) const;

    /** Records that an order grants a lease until `deadlineMs` on the endpoint's clock, whether or not the order arrives. */
    void recordGrant(std::int64_t deadlineMs);

    /** @return Whether all leases that this leader granted have certainly expired. */
    bool areLeasesExpired(TimePoint now) const;

    /** @return Whether the endpoint may have a run whose job may return to another cell, and has not confirmed its stop. */
    bool hasUnstoppedRun() const;

    /** Adds a run and reserves its resources. */
    void addRun(const TaskRef &task, const RunRecord &run);

    /** Changes the resources that a run occupies. @pre The run exists. */
    void setDemand(const TaskRef &task, const Resources &demand);

    /** Removes a run and releases its resources; no effect if the run doesn't exist. Its order becomes a stray one if it may arrive late.
     */
    void removeRun(TimePoint now, const TaskRef &task);

    /**
     * Records a listed end.
     * @return Whether the end is new.
     */
    bool noteEnd(std::uint64_t number, EndRecord end);

    /** Allows ends that await recovery to be acknowledged. */
    void settleRecovery();

    /** Allows ends that await the progress of `job` to be acknowledged, up to the end numbered `upTo`. */
    void settleEnds(const JobId &job, std::uint64_t upTo);

    /** @return Highest number of a listed end. */
    std::uint64_t lastListedEnd() const;

    /** @return Highest number up to which all ends may be acknowledged. */
    std::uint64_t lastSettledEnd() const;

    /**
     * @return Number up to which a hold acknowledges ends. 0 if there is nothing new to acknowledge, or if an incarnation that has not been
     * seen yet may have ended a run: it numbers its ends anew and would discard ends that it has not listed.
     */
    std::uint64_t acknowledgementToSend(TimePoint now) const;

    /** @return Whether a listed end has not been acknowledged by an answered hold. */
    bool hasUnacknowledgedEnds() const;

    /** Records that the endpoint received an acknowledgement. */
    void recordAcknowledgement(std::uint64_t number);

    /** @return Whether some end must not be acknowledged yet. */
    bool hasUnsettledEnds() const;

    /** @return Whether a start order may still be carried out by a new incarnation. */
    bool hasStrayOrders(TimePoint now) const;

private:
    RunIndex &runIndex;
    LeaseTerms lease;
    TimePoint strayLeasesUntil; ///< When all leases that orders to a former incarnation may grant to the present one have expired.
    std::optional<std::int64_t> clock; ///< Last reading of the endpoint's clock in milliseconds.
    TimePoint clockReadAt; ///< When that reading arrived.
    std::int64_t grantedUntilMs = 0; ///< Latest lease end that was granted, on the endpoint's clock.
    std::uint64_t lastEnd = 0; ///< Highest number of a listed end.
    std::uint64_t acknowledgedEnd = 0; ///< Highest number whose acknowledgement the endpoint received.
    std::map<std::uint64_t, EndRecord> ends; ///< Ends above `acknowledgedEnd`.
};

} // namespace Tanagertally::Cells
