/** The blackboard: the state that all controllers of one entry instance read and write. */
#pragma once

#include "blackboard/config_type.h"
#include "blackboard/deadline_load_base.h"
#include "blackboard/endpoint_base.h"
#include "blackboard/instance_lifecycle.h"
#include "blackboard/job_base.h"
#include "blackboard/peer_base.h"
#include "blackboard/run_time_base.h"
#include "blackboard/stats_type.h"
#include "blackboard/task_queue_base.h"
#include "core/random_base.h"

#include <array>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace Tanagertally {

/** Load and run times of one kind of request on this instance. */
struct KindLoad {
    RunTimeEstimate runTime; ///< Distribution of measured run times.
    std::uint32_t running = 0; ///< Attempts in flight.
    std::array<std::uint32_t, SizeClassCount> waiting{}; ///< Waiting tasks by size class of their job.
};

/** Load of one team on this instance. */
struct TeamLoad {
    std::uint32_t running = 0; ///< Attempts in flight.
    std::uint32_t waiting = 0; ///< Waiting tasks.
};

/** State of one entry instance. Only the control thread may access it. */
struct Blackboard {
    InstanceIdentity identity; ///< Name, failure domain, address and incarnation of this instance.
    InstanceLifecycle lifecycle; ///< Lifecycle state of this instance.
    TimePoint now{}; ///< Time of the event being handled.
    RandomEngine random; ///< Generator for randomised decisions; seeded at start.
    FleetConfig config; ///< Configuration in force; version 0 until the first one is received.
    EndpointTable endpoints; ///< Endpoints of this instance's failure domain.
    JobTable jobs; ///< Jobs whose home is this instance.
    TaskQueue queue; ///< Tasks that wait for a slot.
    DeadlineLoad deadlineLoad; ///< Slot time of the waiting tasks by their due time.
    PeerTable peers; ///< Established links to other instances.
    std::unordered_map<KindName, KindLoad> kinds; ///< Load by kind.
    std::unordered_map<TeamName, TeamLoad> teams; ///< Load by team.
    std::uint64_t openCalls = 0; ///< Calls of callers, operators and peers that await a reply; a planned stop waits for 0.
    std::vector<JobId> jobsToCheck; ///< Jobs to be checked for completion, because a task changed or the deadline passed.
    std::vector<WorkerName> leavingToAnnounce; ///< Workers whose endpoints reported that they are leaving, not yet announced to peers.
    std::vector<ListedInstance> listedInstances; ///< Entry instances according to the instance list.
    std::unordered_map<InstanceName, TimePoint>
        lostInstances; ///< Time at which the link to an own-domain instance broke without a stop notice.
    std::unordered_map<FailureDomain, TimePoint> domainLostAt; ///< Time since which no instance of another failure domain is connected.
    std::vector<FailureDomain> domains; ///< All failure domains of the fleet, sorted by name.
    CoordinatorStats stats; ///< Counters and gauges for metrics.
};

/** @return The load of a kind; a new entry starts with the expected run time of its configuration. */
KindLoad &findOrAddKindLoad(Blackboard &board, const KindName &kind);

/** @return Whether the configuration in force marks a kind as idempotent; false for an unknown kind. */
bool isIdempotent(const Blackboard &board, const KindName &kind);

/** @return Whether every task of a job is of an idempotent kind. */
bool isIdempotent(const Blackboard &board, const JobSpec &job);

} // namespace Tanagertally
