/** Endpoints of the own failure domain: discovery, departure, slot shares and health. */
#pragma once

#include "blackboard/blackboard.h"
#include "controllers/event_type.h"
#include "controllers/outbox.h"

#include <unordered_map>

namespace Tanagertally {

/** What an ended attempt says about its endpoint. */
enum class EndpointEvidence : std::uint8_t {
    Succeeded, ///< It ran a task.
    Failed, ///< It failed while running a task.
    Busy, ///< It had no free slot.
    ReportedLeaving, ///< It said that it is leaving.
    ConnectFailed, ///< It could not be connected to.
    None, ///< Nothing: the path may be at fault, or the attempt was abandoned.
};

/**
 * Keeps the endpoint table: who is there, who takes new work, how many slots belong to this instance.
 *
 * Departure is learned from the instance list, from operators and from the endpoints themselves; the earliest wins.
 * An endpoint that fails several tasks in a row is ejected for a time that doubles, then tried with one idempotent task.
 * One that can't be connected to is probed until it answers. At most a configured share of the endpoints is ejected.
 * Thread safety: none.
 */
class EndpointController
{
public:
    /** Both arguments must outlive this object. */
    EndpointController(Blackboard &board, Outbox &outbox);

    /** Take in the instance list. */
    void handle(const InstanceList &list);

    /** Take in the end of a probe. */
    void handle(const ProbeEnded &ended);

    /**
     * Take in what an ended attempt says about its endpoint. Its slot must have been freed before.
     * @param id The endpoint.
     * @param evidence What it says.
     * @param startedAt When the attempt was started; a success from before the last failure proves nothing.
     */
    void recordEvidence(EndpointId id, EndpointEvidence evidence, TimePoint startedAt);

    /** Set whether an operator drained a worker's endpoint. */
    void setDrained(const WorkerName &worker, bool drained);

    /** Divide the slots of all endpoints between the live instances of this failure domain. */
    void recomputeShares();

    /** Bring the list of available endpoints up to date after a change of one endpoint. */
    void updateAvailability(EndpointRecord &endpoint);

    /** Probe an endpoint on a new connection unless a probe is under way. */
    void probe(EndpointRecord &endpoint);

    /** Do what is due: end ejections, probe unreachable endpoints. */
    void advance();

    /** @return When advance() has to be called next. */
    TimePoint nextDeadline() const;

    /** Set what is called when a probe has ended, answered or not. */
    void setProbeEndedHandler(std::function<void(EndpointId)> handler);

private:
    void addOrUpdate(const ListedEndpoint &listed);
    void removeMissing(const InstanceList &list);
    void applyDeparture(EndpointRecord &endpoint);
    void countFailure(EndpointRecord &endpoint);
    void eject(EndpointRecord &endpoint);
    bool isEjectionAllowed() const;

    Blackboard &board; ///< The state.
    Outbox &outbox; ///< Where actions go.
    std::unordered_map<ProbeId, EndpointId> probes; ///< Probes in flight.
    std::uint64_t lastProbe = 0; ///< Last number given.
    TimePoint nextCheck{}; ///< When advance() is due.
    std::function<void(EndpointId)> probeEndedHandler; ///< Called when a probe has ended.
};

} // namespace Tanagertally
