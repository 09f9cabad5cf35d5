/** Endpoints of the own failure domain: their state, load and health. */
#pragma once

#include "blackboard/endpoint_lifecycle.h"
#include "blackboard/member_type.h"
#include "core/time_type.h"

#include <cstddef>
#include <unordered_map>
#include <vector>

namespace Tanagertally {

/** Why an endpoint takes no new work although it may be healthy; the sources of departure are kept apart. */
struct DepartureSources {
    bool listed = false; ///< The instance list says leaving, or no longer names it.
    bool drained = false; ///< An operator drained it.
    bool refused = false; ///< It said so itself.

    /** @return Whether any source says that it is leaving. */
    bool any() const
    {
        return this->listed || this->drained || this->refused;
    }
};

/** What this instance knows of one endpoint. */
struct EndpointRecord {
    EndpointId id; ///< Its number.
    ListedEndpoint listed; ///< Its entry in the instance list.
    EndpointLifecycle lifecycle; ///< Its state.
    DepartureSources departure; ///< Who says that it is leaving.
    std::uint32_t inFlight = 0; ///< Attempts that this instance has running on it.
    std::uint32_t share = 0; ///< Slots that belong to this instance.
    std::uint32_t lent = 0; ///< Slots of the share that are lent to peers.
    std::uint32_t borrowed = 0; ///< Slots borrowed from peers.
    std::uint32_t failuresInRow = 0; ///< Failed tasks since the last success.
    TimePoint failedAt{}; ///< When a task last failed on it.
    std::uint32_t connectFailuresInRow = 0; ///< Failed connects since the last answer.
    std::uint32_t ejections = 0; ///< Ejections since it was last healthy for long.
    TimePoint ejectedUntil{}; ///< End of the present ejection.
    TimePoint busyUntil{}; ///< It refused for lack of a slot; no new work before this time.
    TimePoint refusedLeavingAt{}; ///< When it last said that it is leaving.
    TimePoint answeredAt{}; ///< When it last answered a task or a probe.
    TimePoint nextProbe{}; ///< When it may be probed again while it is unreachable.
    Duration probePause{}; ///< Pause between probes while it is unreachable; doubles.
    ProbeId probe; ///< Probe in flight; 0 if none.
    double slowness = 1.0; ///< Smoothed ratio of its run times to those expected.
    std::size_t availableIndex = 0; ///< Position in the list of available endpoints, plus one; 0 if not in it.

    /** @return Slots that this instance may fill at most. */
    std::uint32_t usableSlots() const
    {
        const std::uint32_t own = this->share > this->lent ? this->share - this->lent : 0;
        return own + this->borrowed;
    }

    /** @return Slots that this instance may fill now. */
    std::uint32_t freeSlots() const
    {
        const std::uint32_t usable = this->usableSlots();
        return usable > this->inFlight ? usable - this->inFlight : 0;
    }
};

/**
 * All endpoints of the own failure domain, and the list of those with a free slot.
 * Thread safety: none.
 */
class EndpointTable
{
public:
    /**
     * Add an endpoint.
     * @param listed Its entry in the instance list.
     * @pre No endpoint of this worker is in the table.
     * @return Its record; valid until it is removed.
     */
    EndpointRecord &add(const ListedEndpoint &listed);

    /**
     * Remove an endpoint.
     * @param id The endpoint.
     */
    void remove(EndpointId id);

    /** @return The record of an endpoint, or null. */
    EndpointRecord *find(EndpointId id);

    /** @return The record of a worker's endpoint, or null. */
    EndpointRecord *find(const WorkerName &worker);

    /**
     * Put an endpoint into the list of available ones or take it out of it.
     * @param endpoint The endpoint.
     * @param available Whether it can take a task.
     */
    void setAvailable(EndpointRecord &endpoint, bool available);

    /** @return Endpoints that can take a task now, in no particular order. */
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
    std::unordered_map<WorkerName, EndpointId> byWorker; ///< Endpoint of each worker.
    std::vector<EndpointRecord *> availableList; ///< Endpoints that can take a task.
    std::uint32_t lastId = 0; ///< Last number given.
};

} // namespace Tanagertally
