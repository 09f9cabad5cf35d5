/** The decision part of one entry instance: events and the time go in, actions come out. */
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

/** What the decision part is set up with. */
struct CoordinatorOptions {
    InstanceIdentity identity; ///< Who this instance is.
    std::uint64_t seed = 1; ///< Seed of its random numbers and of the secret that signs issued keys.
    std::vector<NetAddress> peers; ///< Peers known from the settings; more are learned from the instance list.
    AnyChoice choice; ///< Policy that chooses endpoints.
    std::optional<FleetConfig> initialConfig; ///< Proposed as version 1 if the platform holds none.
};

/**
 * The decision part of one entry instance.
 *
 * It owns the blackboard and the controllers, does no I/O and reads no clock.
 * Thread safety: none; one control thread owns it.
 */
class Coordinator
{
public:
    /**
     * Make the decision part. Call advance() once to get its first actions.
     * @param options Set-up.
     * @return The coordinator, or an error if the options contradict each other.
     */
    static Result<std::unique_ptr<Coordinator>> create(CoordinatorOptions options);

    virtual ~Coordinator() = default;

    /**
     * Handle one event.
     * @param now Present time; never earlier than in the call before.
     * @param event The event.
     * @param actions Actions are appended here.
     */
    virtual void handle(TimePoint now, Event event, ActionList &actions) = 0;

    /**
     * Do what is due at this time.
     * @param now Present time; never earlier than in the call before.
     * @param actions Actions are appended here.
     */
    virtual void advance(TimePoint now, ActionList &actions) = 0;

    /** @return When advance() has to be called next. */
    virtual TimePoint nextDeadline() const = 0;

    /** @return Figures for metrics. */
    virtual CoordinatorStats stats() const = 0;
};

} // namespace Tanagertally
