/** Messages between entry instances. */
#pragma once

#include "blackboard/config_type.h"
#include "blackboard/id_type.h"
#include "blackboard/job_type.h"
#include "blackboard/member_type.h"

#include <string>
#include <variant>
#include <vector>

namespace Tanagertally {

/** Version of the protocol between entry instances. */
inline constexpr std::uint32_t PeerProtocolVersion = 1;

/** Protocol version and identity, sent by both sides in the greeting of the handshake; invalid on an established link. */
struct Hello {
    std::uint32_t protocol = PeerProtocolVersion; ///< Protocol version of the sender.
    InstanceIdentity identity; ///< Identity of the sender.
};

/** Number of tasks of a team in flight at the sender. */
struct TeamUsage {
    TeamName team;
    std::uint32_t running = 0; ///< Attempts of the team in flight.
};

/** State of the sender, sent at a fixed interval on each link. */
struct Heartbeat {
    bool stopping = false; ///< Whether the sender is shutting down.
    ConfigVersion configInForce; ///< Configuration version in force at the sender.
    std::uint32_t queued = 0; ///< Tasks waiting in the queue of the sender.
    std::uint32_t freeSlots = 0; ///< Free slots of the endpoints available to the sender.
    std::vector<TeamUsage> usage; ///< Usage of teams that have a quota; teams without running tasks are left out.
    std::vector<std::pair<FailureDomain, ConfigVersion>>
        domainConfig; ///< Lowest configuration version in force by failure domain, as far as the sender knows.
};

/** A submission, forwarded to the home of its key. */
struct ForwardedSubmit {
    ForwardId id; ///< Id assigned by the sender; the reply repeats it.
    TeamName team; ///< Team of the caller.
    JobKey key; ///< Key of the job.
    JobSpec job;
};

/** A request for the answer or state of a job, forwarded to the home of its key. */
struct ForwardedFetch {
    ForwardId id; ///< Id assigned by the sender; the reply repeats it.
    TeamName team; ///< Team of the caller.
    JobKey key; ///< Key of the job.
    bool wait = false; ///< True to reply when the job is answered, false to reply at once.
};

/** A cancellation, forwarded to the home of its key. */
struct ForwardedCancel {
    ForwardId id; ///< Id assigned by the sender; the reply repeats it.
    TeamName team; ///< Team of the caller.
    JobKey key; ///< Key of the job.
};

/** Reply to a forwarded request. */
struct ForwardedReply {
    ForwardId id; ///< Id of the forwarded request.
    CallerReply reply; ///< Reply for the caller.
};

/** A configuration; the receiver puts it in force if it is newer than its own. */
struct ConfigUpdate {
    FleetConfig config; ///< The document with its version.
};

/** Notice that an endpoint is leaving or is back in service. */
struct DrainNotice {
    WorkerName worker; ///< Worker of the endpoint.
    bool draining = true; ///< True if the endpoint is leaving, false if it is back in service.
    std::uint64_t sequence = 0; ///< Row version of the drain command; 0 if the endpoint itself reported it.
};

/** Request to borrow slots from the receiver. */
struct SlotRequest {
    std::uint32_t slots = 0; ///< Maximum number of slots to lend.
};

/** Number of slots on one endpoint. */
struct SlotCount {
    WorkerName worker; ///< Worker of the endpoint.
    std::uint32_t slots = 0;
};

/** Slots lent to the receiver until the lease ends or they are returned. */
struct SlotGrant {
    std::uint64_t lease = 0; ///< Lease number assigned by the lender.
    Duration validFor{}; ///< Time after receipt during which new tasks may be started on the slots.
    std::vector<SlotCount> slots;
};

/** Return of borrowed slots to the lender. */
struct SlotReturn {
    std::uint64_t lease = 0; ///< Lease number assigned by the lender.
    std::vector<SlotCount> slots;
};

/** A query or cancel command of an operator; the receiver answers from its own state. */
struct ForwardedStatement {
    ForwardId id; ///< Id assigned by the sender; the reply repeats it.
    std::string text; ///< Query or command in the operators' language.
};

/** Answer to a ForwardedStatement. */
struct QueryRows {
    ForwardId id; ///< Id of the ForwardedStatement.
    std::string json; ///< JSON array of rows.
};

/** Any message between entry instances. */
using PeerMessage = std::variant<Hello, Heartbeat, ForwardedSubmit, ForwardedFetch, ForwardedCancel, ForwardedReply, ConfigUpdate,
                                 DrainNotice, SlotRequest, SlotGrant, SlotReturn, ForwardedStatement, QueryRows>;

} // namespace Tanagertally
