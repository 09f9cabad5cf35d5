/** Endpoints in the failure domain of this instance: discovery, departure, slot shares and health. */
#pragma once

#include "blackboard/blackboard.h"
#include "controllers/event_type.h"
#include "controllers/outbox.h"

#include <unordered_map>

namespace Tanagertally {

/** Evidence about an endpoint from an attempt that ended. */
enum class EndpointEvidence : std::uint8_t {
    Succeeded, ///< The endpoint ran the task to its end.
    Failed, ///< The endpoint failed while running the task, or no answer came.
    Busy, ///< The endpoint had no free slot.
    ReportedLeaving, ///< The endpoint refused the task because it is leaving.
    ConnectFailed, ///< The connection could not be made.
    None, ///< No evidence: the attempt was abandoned, or the network may be at fault.
};

/**
 * Maintains the endpoint table: which endpoints exist, which accept new tasks, and how many of their slots belong to this
 * instance.
 *
 * An endpoint counts as leaving as soon as the instance list, an operator or the endpoint itself reports it.
 * An endpoint that fails several tasks in a row is ejected for a time that doubles with each ejection, then gets one idempotent
 * task on trial. An endpoint that cannot be connected to is probed until it answers. At most a configured share of the
 * endpoints is ejected.
 * Thread safety: none.
 */
class EndpointController
{
public:
    /** Both arguments must outlive this object. */
    EndpointController(Blackboard &board, Outbox &outbox);

    /** Adds, updates and removes endpoints according to the instance list. */
    void handle(const InstanceList &list);

    /** Handles the end of a probe. */
    void handle(const ProbeEnded &ended);

    /**
     * Records the evidence from an attempt that ended. The slot of the attempt must have been released before.
     * @param startedAt Start of the attempt; a success of an attempt started before the last failure does not reset the failures.
     */
    void recordEvidence(EndpointId id, EndpointEvidence evidence, TimePoint startedAt);

    /** Sets whether an operator has drained the endpoint of a worker. */
    void setDrained(const WorkerName &worker, bool drained);

    /** Divides the slots of all endpoints between the live instances of this failure domain. */
    void recomputeShares();

    /** Adds an endpoint to the available endpoints, or removes it from them, after a change of its state. */
    void updateAvailability(EndpointRecord &endpoint);

    /** Probes an endpoint on a new connection unless a probe is in flight. */
    void probe(EndpointRecord &endpoint);

    /** Ends ejections and sends probes that are due. */
    void advance();

    /** @return Time at which advance() has to be called next. */
    TimePoint nextDeadline() const;

    /** Sets the handler that is called when a probe has ended, answered or not. */
    void setProbeEndedHandler(std::function<void(EndpointId)> handler);

private:
    void addOrUpdate(const ListedEndpoint &listed);
    void removeMissing(const InstanceList &list);
    void applyDeparture(EndpointRecord &endpoint);
    void countFailure(EndpointRecord &endpoint);
    void eject(EndpointRecord &endpoint);
    bool isEjectionAllowed() const;

    Blackboard &board;
    Outbox &outbox;
    std::unordered_map<ProbeId, EndpointId> probes; ///< Probes in flight.
    std::uint64_t lastProbe = 0; ///< Number of the last probe sent.
    TimePoint nextCheck{}; ///< Time of the next check of all endpoints.
    std::function<void(EndpointId)> probeEndedHandler; ///< Called when a probe has ended.
};

} // namespace Tanagertally
