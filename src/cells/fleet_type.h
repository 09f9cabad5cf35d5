/** Plain types of the fleet: configuration, endpoints and instances as known to this instance. */
#pragma once

#include "blackboard/id_type.h"
#include "cells/cell_type.h"

#include <optional>
#include <vector>

namespace Tanagertally::Cells {

/** A queue: which requests it receives, and the service that runs its tasks. */
struct QueueConfig {
    QueueName name;
    std::string host; ///< Host header that selects it.
    std::string prefix; ///< Path prefix that selects it; ends with a slash.
    ServiceName service; ///< Service whose endpoints run its tasks.
    Duration timeout{}; ///< Longest duration of a call.
    Duration targetDuration{}; ///< Time that callers accept beyond the ideal run time.
    std::uint32_t priority = 0; ///< 0 is the most urgent.
    std::uint32_t maxAttempts = 1; ///< Number of failed runs of a task after which its job fails.
    double stretch = 1; ///< Factor on the ideal run time that callers accept.
    bool needsAdvice = false; ///< Whether only some endpoints may run a step, as named by the advice service.
};

/** A service: a pool of endpoints. */
struct ServiceConfig {
    ServiceName name;
    bool checksAdmission = true; ///< Whether its endpoints refuse runs that exceed their free capacity.
    bool isStandby = false; ///< Whether its endpoints are powered off.
};

/** Limits of the caller interface. */
struct CallerLimits {
    std::uint32_t maxHeaderBytes = 16384; ///< Maximum size of a request header.
    std::uint32_t maxBodyBytes = 262144; ///< Maximum size of a request body.
    Duration headerTimeout = std::chrono::seconds(3); ///< Time from the first byte of a request to the end of its header.
    Duration idleTimeout = std::chrono::seconds(15); ///< Time after which a connection without a request is closed.
};

/** Fleet configuration as set by operators. */
struct FleetConfig {
    std::uint64_t version = 0; ///< Version of its row in the store, which orders configurations; 0 means that there is none.
    std::optional<std::uint64_t> operatorVersion; ///< Number that the operators gave it, for the log; unset if it can't be read.
    std::vector<QueueConfig> queues;
    bool areQueuesComplete = true; ///< Whether each queue could be read. If not, an unknown one may exist.
    std::vector<ServiceConfig> services;
    CallerLimits limits;
};

/** Registration of an endpoint. */
struct EndpointRecord {
    EndpointName name; ///< Names this incarnation of the endpoint, or all of its incarnations if `born` is set.
    ServiceName service; ///< Service that the endpoint belongs to.
    NetAddress address; ///< Address that accepts orders.
    FailureDomain domain;
    bool isDraining = false; ///< Whether the endpoint accepts no new runs.
    Resources capacity; ///< Total resources.
    std::vector<std::string> labels; ///< Labels, such as its kind and its rack.
    std::optional<std::int64_t> born; ///< Start of this incarnation in Unix milliseconds; unset if incarnations differ in their names.

    friend bool operator==(const EndpointRecord &, const EndpointRecord &) = default;
};

/** Registration of an instance. */
struct InstanceRecord {
    InstanceName name;
    Incarnation incarnation; ///< Drawn at the start of the process.
    NetAddress peerAddress; ///< Address that accepts peer links.
    FailureDomain domain;
    double coreShare = 0; ///< Share of a core that the instance may use.
    bool isLeaving = false; ///< Whether the instance is shutting down.
};

} // namespace Tanagertally::Cells
