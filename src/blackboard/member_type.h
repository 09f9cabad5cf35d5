/** Members of the fleet as the platform's instance list gives them. */
#pragma once

#include "blackboard/id_type.h"

#include <vector>

namespace Tanagertally {

/** Whether a listed instance is staying. */
enum class ListedState : std::uint8_t {
    Live, ///< It serves.
    Leaving, ///< It is going to stop: no new work.
};

/** An endpoint in the platform's instance list. */
struct ListedEndpoint {
    WorkerName worker; ///< Worker that it runs on.
    RackName rack; ///< Rack of the worker.
    FailureDomain domain; ///< Failure domain of the worker.
    NetAddress address; ///< Where it serves.
    std::uint32_t slots = 0; ///< Tasks that it runs at once.
    ListedState state = ListedState::Live; ///< Live or leaving.
};

/** An entry instance in the platform's instance list. */
struct ListedInstance {
    InstanceName name; ///< Its name.
    FailureDomain domain; ///< Its failure domain.
    NetAddress peerAddress; ///< Where it accepts peer links.
    ListedState state = ListedState::Live; ///< Live or leaving.
};

/** The platform's instance list. It lags behind what is true. */
struct InstanceList {
    std::vector<ListedEndpoint> endpoints; ///< All endpoints.
    std::vector<ListedInstance> instances; ///< All entry instances.
};

/** Who this process is: from its settings and drawn at its start. */
struct InstanceIdentity {
    InstanceName name; ///< Its name.
    FailureDomain domain; ///< Its failure domain.
    NetAddress peerAddress; ///< Where it accepts peer links.
    Incarnation incarnation; ///< Drawn at random at its start.
};

} // namespace Tanagertally
