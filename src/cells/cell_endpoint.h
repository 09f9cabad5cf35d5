/** An endpoint as its cell's leader keeps it: its clock, its lease, what runs there and which ends are still listed. */
#pragma once

#include "cells/cell_action.h"
#include "cells/endpoint_health.h"

#include <map>
#include <optional>
#include <unordered_map>

namespace Tanagertally::Cells {

/** What is known about a run. */
enum class RunPhase : std::uint8_t {
    Starting, ///< The order is on its way.
    Running, ///< The endpoint confirmed it.
    Doubtful, ///< The order got no answer; a stop is on its way.
    Stopping, ///< It is being stopped.
};

/** A run that is on an endpoint, or may be. */
struct RunRecord {
    RunNumber run; ///< Its number.
    RunPhase phase = RunPhase::Starting; ///< What is known.
    Resources demand; ///< What it takes.
    TimePoint confirmedAt; ///< When it was last known to be there, or known to be fenced off.
    std::int64_t startDeadlineMs = 0; ///< On the endpoint's clock: it does not start later than this.
    bool isStopConfirmed = false; ///< Whether the endpoint confirmed the stop.
    bool isStopInFlight = false; ///< Whether a stop is on its way.
    TimePoint nextStopAt; ///< When to order the stop again.
};

/** An end that the endpoint lists until it is acknowledged. */
struct EndRecord {
    std::optional<JobId> awaits; ///< Job whose progress has to be stored first; unset once it is.
    bool awaitsRecovery = false; ///< Whether a former leader may still start the task again.
};

/** Bounds of the leases that endpoints grant. */
struct LeaseTerms {
    Duration longest = std::chrono::seconds(1); ///< Longest lease; `hold-max-ms` of the platform.
    static constexpr double SlowestClock = 0.98; ///< An endpoint's clock may run this much slower; stated by the platform.
};

/**
 * One endpoint. Thread safety: none.
 */
class CellEndpoint
{
public:
    /** Take over an endpoint that has registered itself, or that a former leader used. */
    CellEndpoint(EndpointRecord record, LeaseTerms terms);

    EndpointRecord record; ///< As it registered itself.
    bool isRegistered = true; ///< Whether the registry lists it.
    bool isListed = false; ///< Whether it has told this leader what runs there.
    bool isRostered = false; ///< Whether the store tells later leaders about it.
    bool isHoldInFlight = false; ///< Whether a hold is on its way.
    TimePoint holdSentAt; ///< When the last hold was sent.
    std::uint64_t sentAcknowledgement = 0; ///< Ends that the last hold acknowledged.
    TimePoint nextHoldAt; ///< Earliest time of the next one.
    TimePoint avoidUntil; ///< It gets no new runs before.
    TimePoint lastContactAt; ///< When it answered last.
    EndpointHealth health; ///< How its runs went.
    std::uint32_t failuresInRow = 0; ///< Calls without an answer since the last answer.
    Resources used; ///< What the runs take.
    std::unordered_map<TaskRef, RunRecord> runs; ///< Runs that are there, or may be.

    /** @return What is free. */
    Resources room() const;

    /** Note the endpoint's clock as an answer gave it. */
    void noteClock(TimePoint now, std::int64_t clockMs);

    /** @return Whether the clock was ever read. */
    bool isClockKnown() const;

    /** @return The endpoint's clock as it probably stands. @pre isClockKnown() */
    std::int64_t probableClockMs(TimePoint now) const;

    /** @return A reading that the endpoint's clock has certainly reached. @pre isClockKnown() */
    std::int64_t certainClockMs(TimePoint now) const;

    /** Note that an order granted a lease until a reading of the endpoint's clock, whether or not it arrives. */
    void noteGrant(std::int64_t deadlineMs);

    /** @return Whether all leases that this leader granted have certainly run out. */
    bool isLapsed(TimePoint now) const;

    /** Add a run. */
    void addRun(const TaskRef &task, const RunRecord &run);

    /** Correct what a run takes. @pre The run is there. */
    void setDemand(const TaskRef &task, const Resources &demand);

    /** Remove a run and give its resources back; no effect if it isn't there. */
    void removeRun(const TaskRef &task);

    /**
     * Note a listed end.
     * @return Whether it is new.
     */
    bool noteEnd(std::uint64_t number, EndRecord end);

    /** Let ends be acknowledged that a former leader might have made untrue. */
    void settleRecovery();

    /** Let ends that await a job be acknowledged, up to a number. */
    void settleEnds(const JobId &job, std::uint64_t upTo);

    /** @return Highest number of an end listed so far. */
    std::uint64_t lastListedEnd() const;

    /** @return Ends up to this number are settled. */
    std::uint64_t acknowledgable() const;

    /** @return Whether an end is listed that has not been acknowledged by an answered hold. */
    bool hasUnacknowledged() const;

    /** Note that the endpoint took an acknowledgement. */
    void noteAcknowledged(std::uint64_t number);

    /** @return Whether some end may not be acknowledged yet. */
    bool hasUnsettledEnds() const;

private:
    LeaseTerms lease; ///< Bounds of leases.
    std::optional<std::int64_t> clock; ///< The endpoint's clock as last read.
    TimePoint clockReadAt; ///< When that answer came.
    std::int64_t grantedUntilMs = 0; ///< Latest end of a lease that was ordered.
    std::uint64_t lastEnd = 0; ///< Highest number of an end seen.
    std::uint64_t acknowledgedEnd = 0; ///< Acknowledged up to here, as the endpoint confirmed.
    std::map<std::uint64_t, EndRecord> ends; ///< Ends above `acknowledgedEnd`.
};

} // namespace Tanagertally::Cells
