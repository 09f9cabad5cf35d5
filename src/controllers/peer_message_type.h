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

/** First message on a link, in both directions. */
struct Hello {
    std::uint32_t protocol = PeerProtocolVersion; ///< Protocol version of the sender.
    InstanceIdentity identity; ///< Who the sender is.
};

/** Tasks of one team that run at the sender. */
struct TeamUsage {
    TeamName team; ///< The team.
    std::uint32_t running = 0; ///< Its tasks that run or are about to.
};

/** Sent at a fixed interval on each link. */
struct Heartbeat {
    bool stopping = false; ///< Whether the sender is shutting down.
    ConfigVersion configInForce; ///< Version in force at the sender.
    std::uint32_t queued = 0; ///< Tasks that wait at the sender.
    std::uint32_t freeSlots = 0; ///< Slots of its share that stand free at the sender.
    std::vector<TeamUsage> usage; ///< Usage of teams that have a quota.
    std::vector<std::pair<FailureDomain, ConfigVersion>>
        domainConfig; ///< Lowest version in force by failure domain, as far as the sender knows.
};

/** A submission forwarded to its key's home. */
struct ForwardedSubmit {
    ForwardId id; ///< Number given by the sender.
    TeamName team; ///< Team of the caller.
    JobKey key; ///< Key of the job.
    JobSpec job; ///< The job.
};

/** A question about a job, forwarded to its key's home. */
struct ForwardedFetch {
    ForwardId id; ///< Number given by the sender.
    TeamName team; ///< Team of the caller.
    JobKey key; ///< Key of the job.
    bool wait = false; ///< Whether to reply when the answer is there rather than at once.
};

/** A cancellation, forwarded to its key's home. */
struct ForwardedCancel {
    ForwardId id; ///< Number given by the sender.
    TeamName team; ///< Team of the caller.
    JobKey key; ///< Key of the job.
};

/** Reply to a forwarded request. */
struct ForwardedReply {
    ForwardId id; ///< Number from the request.
    CallerReply reply; ///< What to tell the caller.
};

/** A configuration for the receiver to put in force. */
struct ConfigOffer {
    FleetConfig config; ///< The document with its version.
};

/** Word that an endpoint is leaving or back. */
struct DrainNotice {
    WorkerName worker; ///< Worker of the endpoint.
    bool draining = true; ///< Leaving, or back in service.
    std::uint64_t sequence = 0; ///< Table version of the drain command; 0 if learned from the endpoint itself.
};

/** Request for slots of a peer's share. */
struct SlotRequest {
    std::uint32_t slots = 0; ///< Slots wanted.
};

/** Slots of one endpoint. */
struct SlotCount {
    WorkerName worker; ///< Worker of the endpoint.
    std::uint32_t slots = 0; ///< Number of slots.
};

/** Slots lent until the lease ends or they are returned. */
struct SlotGrant {
    std::uint64_t lease = 0; ///< Number of the lease at the lender.
    Duration validFor{}; ///< Time from receipt in which new tasks may be started on them.
    std::vector<SlotCount> slots; ///< The slots.
};

/** Lent slots given back before their lease ends. */
struct SlotReturn {
    std::uint64_t lease = 0; ///< Number of the lease at the lender.
    std::vector<SlotCount> slots; ///< The slots.
};

/** Question of an operator for a peer to answer from its own state. */
struct ForwardedQuery {
    ForwardId id; ///< Number given by the sender.
    std::string text; ///< The query in the operators' language.
};

/** Answer to a ForwardedQuery, as rows in JSON. */
struct QueryRows {
    ForwardId id; ///< Number from the query.
    std::string json; ///< JSON array of rows.
};

/** Any message between entry instances. */
using PeerMessage = std::variant<Hello, Heartbeat, ForwardedSubmit, ForwardedFetch, ForwardedCancel, ForwardedReply, ConfigOffer,
                                 DrainNotice, SlotRequest, SlotGrant, SlotReturn, ForwardedQuery, QueryRows>;

} // namespace Tanagertally
