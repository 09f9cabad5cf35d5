/** Plain types of the fleet: configuration, endpoints and instances as they are made known to this instance. */
#pragma once

#include "blackboard/id_type.h"
#include "cells/cell_type.h"

#include <optional>
#include <vector>

namespace Tanagertally::Cells {

/** A queue: where submissions arrive and what serves them. */
struct QueueConfig {
    QueueName name; ///< The queue.
    std::string host; ///< Host header that selects it.
    std::string prefix; ///< Path prefix that selects it, with a slash at the end.
    ServiceName service; ///< Endpoints that run its tasks.
    Duration timeout{}; ///< Longest time that a call takes.
    Duration targetDuration{}; ///< Time that callers accept beyond the ideal run time.
    std::uint32_t priority = 0; ///< 0 is the most urgent.
    std::uint32_t maxAttempts = 1; ///< A task that failed as often as this fails its job.
    double stretch = 1; ///< Factor on the ideal run time that callers accept.
    bool needsAdvice = false; ///< Whether only some endpoints may run a step, which the advice service tells.
};

/** A service: a pool of endpoints. */
struct ServiceConfig {
    ServiceName name; ///< The service.
    bool guardsCapacity = true; ///< Whether its endpoints refuse what doesn't fit.
    bool standby = false; ///< Whether its machines are off.
};

/** Limits of the callers' interface. */
struct CallerLimits {
    std::uint32_t maxHeaderBytes = 16384; ///< Longest header.
    std::uint32_t maxBodyBytes = 262144; ///< Longest body.
    Duration headerTimeout = std::chrono::seconds(3); ///< Time from a request's first byte to the end of its header.
    Duration idleTimeout = std::chrono::seconds(15); ///< Time that a connection stays open without a request.
};

/** The operators' configuration. */
struct FleetConfig {
    std::uint64_t version = 0; ///< Rises with each change; 0 means none.
    std::vector<QueueConfig> queues; ///< The queues.
    std::vector<ServiceConfig> services; ///< The services.
    CallerLimits limits; ///< Limits of the callers' interface.
};

/** An endpoint as it has registered itself. */
struct EndpointRecord {
    EndpointName name; ///< This life of it.
    ServiceName service; ///< The pool that it belongs to.
    NetAddress address; ///< Where it takes orders.
    FailureDomain domain; ///< Where it runs.
    bool isDraining = false; ///< Whether it takes no new work.
    Resources capacity; ///< What it has.
    std::vector<std::string> labels; ///< Its kind and its rack.

    friend bool operator==(const EndpointRecord &, const EndpointRecord &) = default;
};

/** An entry instance as it has registered itself. */
struct InstanceRecord {
    InstanceName name; ///< Its name.
    Incarnation incarnation; ///< Drawn at its start.
    NetAddress peerAddress; ///< Where it accepts peer links.
    FailureDomain domain; ///< Where it runs.
    double coreShare = 0; ///< Share of a core that it may use.
    bool isLeaving = false; ///< Whether it is shutting down.
};

} // namespace Tanagertally::Cells
