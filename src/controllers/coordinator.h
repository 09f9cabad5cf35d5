/** Coordinator of one entry instance: turns events and the current time into actions. */
#pragma once

#include "blackboard/config_type.h"
#include "blackboard/member_type.h"
#include "blackboard/stats_type.h"
#include "controllers/action_type.h"
#include "controllers/endpoint_choice.h"
#include "controllers/event_type.h"
#include "core/result_type.h"
#include "core/time_type.h"

#include <memory>
#include <optional>
#include <span>

namespace Tanagertally {

/** Options of a coordinator. */
struct CoordinatorOptions {
    InstanceIdentity identity; ///< Identity of this instance.
    std::uint64_t seed = 1; ///< Seed of the random numbers and of the secret that signs issued keys.
    std::vector<NetAddress> peers; ///< Peer addresses from the settings; the instance list adds more.
    EndpointPolicy choice; ///< Policy that selects the endpoint for a task.
    std::optional<FleetConfig> initialConfig; ///< Proposed as version 1 if the platform's table holds no configuration.
};

/**
 * Makes all decisions of one entry instance.
 *
 * A coordinator owns the blackboard and the controllers, does no I/O and reads no clock.
 * Thread safety: none; one control thread owns it.
 */
class Coordinator
{
public:
    /**
     * Creates a coordinator. Call advance() once to get its first actions.
     * @return The coordinator, or an error if the name, failure domain or peer address is missing.
     */
    static Result<std::unique_ptr<Coordinator>> create(CoordinatorOptions options);

    virtual ~Coordinator() = default;

    /**
     * Handles one event.
     * @param now Current time; must not be earlier than in the previous call.
     * @param actions Resulting actions are appended here.
     */
    virtual void handle(TimePoint now, Event event, ActionList &actions) = 0;

    /**
     * Runs the timers that are due.
     * @param now Current time; must not be earlier than in the previous call.
     * @param actions Resulting actions are appended here.
     */
    virtual void advance(TimePoint now, ActionList &actions) = 0;

    /** @return Time at which advance() has to be called next. */
    virtual TimePoint nextDeadline() const = 0;

    /** @return Counters and gauges for the metrics. */
    virtual CoordinatorStats stats() const = 0;
};

} // namespace Tanagertally
