/** Endpoints of this instance's failure domain: their state, load and health. */
#pragma once

#include "blackboard/endpoint_lifecycle.h"
#include "blackboard/member_type.h"
#include "core/time_type.h"

#include <cstddef>
#include <unordered_map>
#include <vector>

namespace Tanagertally {

/** Independent reports that an endpoint is leaving. Each source is set and cleared separately; any of them stops new work. */
struct LeavingSources {
    bool listed = false; ///< The instance list marks it as leaving or no longer contains it.
    bool drained = false; ///< An operator drained it.
    bool selfReported = false; ///< The endpoint itself reported that it is leaving, to this instance or to a peer.

    /** @return Whether at least one source reports that the endpoint is leaving. */
    bool any() const
    {
        return this->listed || this->drained || this->selfReported;
    }
};

/** State of one endpoint as seen by this instance. */
struct EndpointRecord {
    EndpointId id; ///< Number assigned by EndpointTable::add().
    ListedEndpoint listed; ///< Its entry in the instance list.
    EndpointLifecycle lifecycle; ///< Lifecycle state.
    LeavingSources leaving; ///< Reports that it is leaving, by source.
    std::uint32_t inFlight = 0; ///< Attempts of this instance in flight on it.
    std::uint32_t share = 0; ///< Slots assigned to this instance; the instances of the failure domain divide an endpoint's slots.
    std::uint32_t lent = 0; ///< Slots of the share that are currently lent to peers.
    std::uint32_t borrowed = 0; ///< Slots currently borrowed from peers.
    std::uint32_t consecutiveFailures = 0; ///< Failed tasks since the last success of a task that started after the last failure.
    TimePoint failedAt{}; ///< Time of the last failed task.
    std::uint32_t consecutiveConnectFailures = 0; ///< Failed connection attempts since the last answer to a task or probe.
    std::uint32_t ejections = 0; ///< Ejections since the last successful trial; determines the length of the next ejection.
    TimePoint ejectedUntil{}; ///< End of the current ejection.
    TimePoint busyUntil{}; ///< No new work before this time, because it refused a task for lack of a free slot.
    TimePoint leavingReportedAt{}; ///< Time at which the endpoint last reported whether it is leaving.
    TimePoint answeredAt{}; ///< Time of the last answer to a task or probe.
    TimePoint nextProbeAt{}; ///< Earliest time of the next probe while unreachable.
    Duration probeBackoff{}; ///< Pause between probes while unreachable; doubles after each failed probe.
    ProbeId probe; ///< Probe in flight; 0 if none.
    double slowness = 1.0; ///< Smoothed ratio of its round-trip times to the mean run time of the kind.
    std::size_t availableIndex = 0; ///< Position in EndpointTable::available() plus one; 0 if not in the list.

    /** @return Maximum number of slots that this instance may occupy: its share without lent slots, plus borrowed slots. */
    std::uint32_t usableSlots() const
    {
        const std::uint32_t own = this->share > this->lent ? this->share - this->lent : 0;
        return own + this->borrowed;
    }

    /** @return Usable slots without an attempt in flight. */
    std::uint32_t freeSlots() const
    {
        const std::uint32_t usable = this->usableSlots();
        return usable > this->inFlight ? usable - this->inFlight : 0;
    }
};

/**
 * All endpoints of this instance's failure domain, and the list of those that can start a task.
 * Thread safety: none.
 */
class EndpointTable
{
public:
    /**
     * Adds an endpoint with a new number.
     * @param listed Its entry in the instance list.
     * @pre The table has no endpoint of this worker.
     * @return Its record; valid until the endpoint is removed.
     */
    EndpointRecord &add(const ListedEndpoint &listed);

    /**
     * Removes an endpoint and invalidates its record. Has no effect if the number is unknown.
     */
    void remove(EndpointId id);

    /** @return The record of an endpoint, or null if the number is unknown. */
    EndpointRecord *find(EndpointId id);

    /** @return The record of a worker's endpoint, or null if the worker is unknown. */
    EndpointRecord *find(const WorkerName &worker);

    /**
     * Adds an endpoint to the list of available endpoints or removes it from the list, in constant time.
     * @param endpoint A record of this table.
     * @param available Whether it can start a task.
     */
    void setAvailable(EndpointRecord &endpoint, bool available);

    /** @return Endpoints that can start a task now, in no particular order. */
    const std::vector<EndpointRecord *> &available() const
    {
        return this->availableList;
    }

    /** @return All endpoints by number. */
    std::unordered_map<EndpointId, EndpointRecord> &all()
    {
        return this->records;
    }

    /** @return All endpoints by number. */
    const std::unordered_map<EndpointId, EndpointRecord> &all() const
    {
        return this->records;
    }

private:
    std::unordered_map<EndpointId, EndpointRecord> records; ///< All endpoints.
    std::unordered_map<WorkerName, EndpointId> byWorker; ///< Number of each worker's endpoint.
    std::vector<EndpointRecord *> availableList; ///< Endpoints that can start a task now.
    std::uint32_t lastId = 0; ///< Last number assigned; numbers start at 1 and are not reused.
};

} // namespace Tanagertally
