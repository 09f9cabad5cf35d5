/** The decision part of one entry instance: events and the time go in, actions come out. */
#pragma once

#include "blackboard/config_type.h"
#include "blackboard/member_type.h"
#include "controllers/action_type.h"
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
    std::optional<FleetConfig> initialConfig; ///< Proposed as version 1 if the platform holds none.
};

/** Figures of the decision part for metrics; a copy, taken on the control thread. */
struct CoordinatorStats {
    std::uint64_t jobsSubmitted = 0; ///< Jobs submitted here as home.
    std::uint64_t jobsComplete = 0; ///< Jobs answered complete.
    std::uint64_t jobsFailed = 0; ///< Jobs answered failed.
    std::uint64_t refusals = 0; ///< Submissions refused.
    std::uint64_t attemptsStarted = 0; ///< Attempts started.
    std::uint64_t attemptsSucceeded = 0; ///< Attempts that succeeded.
    std::uint64_t attemptsRefused = 0; ///< Attempts that an endpoint refused before starting.
    std::uint64_t attemptsFailed = 0; ///< Attempts that failed at the endpoint.
    std::uint64_t attemptsLost = 0; ///< Attempts that ended without evidence.
    std::uint64_t retries = 0; ///< Attempts after the first of their task.
    std::uint64_t hedges = 0; ///< Attempts started beside a running one.
    std::uint64_t probes = 0; ///< Health probes.
    std::uint64_t forwards = 0; ///< Requests forwarded to their home.
    std::uint64_t claims = 0; ///< Claim rows written.
    std::uint64_t queued = 0; ///< Tasks waiting now.
    std::uint64_t running = 0; ///< Attempts in flight now.
    std::uint64_t jobsHeld = 0; ///< Job records held now.
    std::uint64_t endpoints = 0; ///< Endpoints known now.
    std::uint64_t endpointsEjected = 0; ///< Endpoints ejected now.
    std::uint64_t configVersion = 0; ///< Version of the configuration in force.
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
