/** Members of the fleet according to the platform's instance list. */
#pragma once

#include "blackboard/id_type.h"

#include <vector>

namespace Tanagertally {

/** State of a listed endpoint or entry instance. */
enum class ListedState : std::uint8_t {
    Live, ///< In service.
    Leaving, ///< About to stop; must get no new work.
};

/** An endpoint in the platform's instance list. */
struct ListedEndpoint {
    WorkerName worker; ///< Worker on which it runs.
    RackName rack; ///< Rack of the worker.
    FailureDomain domain; ///< Failure domain of the worker.
    NetAddress address; ///< Address on which it accepts requests.
    std::uint32_t slots = 0; ///< Number of tasks that it can run at once.
    ListedState state = ListedState::Live;
};

/** An entry instance in the platform's instance list. */
struct ListedInstance {
    InstanceName name;
    FailureDomain domain;
    NetAddress peerAddress; ///< Address on which it accepts peer links.
    ListedState state = ListedState::Live;
};

/** The platform's instance list. Its content may be outdated. */
struct InstanceList {
    std::vector<ListedEndpoint> endpoints;
    std::vector<ListedInstance> instances;
};

/** Identity of one run of an entry instance. */
struct InstanceIdentity {
    InstanceName name;
    FailureDomain domain;
    NetAddress peerAddress; ///< Address on which it accepts peer links.
    Incarnation incarnation; ///< Random number drawn at process start; distinguishes restarts.
};

} // namespace Tanagertally
