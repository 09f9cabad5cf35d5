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

/** Load of one kind of request. */
struct KindLoad {
    RunTimeEstimate runTime; ///< Learned run times.
    std::uint32_t running = 0; ///< Attempts in flight.
    std::array<std::uint32_t, SizeClassCount> waiting{}; ///< Tasks that wait, by class of their job.
};

/** Load of one team. */
struct TeamLoad {
    std::uint32_t running = 0; ///< Attempts in flight here.
    std::uint32_t waiting = 0; ///< Tasks that wait here.
};

/** State of one entry instance. Owned by the control thread. */
struct Blackboard {
    InstanceIdentity identity; ///< Who this instance is.
    InstanceLifecycle lifecycle; ///< Its state.
    TimePoint now{}; ///< Time of the event being handled.
    RandomEngine random; ///< Random numbers.
    FleetConfig config; ///< Configuration in force; version 0 until one is learned.
    EndpointTable endpoints; ///< Endpoints of the own failure domain.
    JobTable jobs; ///< Jobs that this instance is home of.
    TaskQueue queue; ///< Waiting tasks.
    DeadlineLoad dueWork; ///< Waiting work by when it is wanted.
    PeerTable peers; ///< Links to other instances.
    std::unordered_map<KindName, KindLoad> kinds; ///< Load by kind.
    std::unordered_map<TeamName, TeamLoad> teams; ///< Load by team.
    std::uint64_t openCalls = 0; ///< Calls of callers, operators and peers that have had no reply.
    std::vector<JobId> touchedJobs; ///< Jobs whose tasks changed and that may have to be answered.
    std::vector<WorkerName> saidLeaving; ///< Workers whose endpoints said that they are leaving, not yet passed on to peers.
    std::vector<ListedInstance> listedInstances; ///< Entry instances in the instance list.
    std::unordered_map<InstanceName, TimePoint>
        lostMembers; ///< When links to instances of the own domain broke that did not say they were stopping.
    std::unordered_map<FailureDomain, TimePoint> domainLostAt; ///< Since when no instance of a failure domain is connected.
    std::vector<FailureDomain> domains; ///< All failure domains, sorted.
    CoordinatorStats stats; ///< Figures for metrics.
};

/** @return The load of a kind, started from its configuration if it is new. */
KindLoad &kindLoad(Blackboard &board, const KindName &kind);

/** @return Whether a kind may run more than once, by the configuration in force. */
bool isIdempotent(const Blackboard &board, const KindName &kind);

/** @return Whether every task of a job may run more than once. */
bool isIdempotent(const Blackboard &board, const JobSpec &job);

} // namespace Tanagertally
