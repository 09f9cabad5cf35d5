/** The fleet configuration: what every instance has in force under one version. */
#pragma once

#include "blackboard/id_type.h"
#include "core/result_type.h"
#include "core/time_type.h"

#include <string>
#include <string_view>
#include <vector>

namespace Tanagertally {

/** Whether a request can safely run more than once. */
enum class Idempotence : std::uint8_t {
    NonIdempotent, ///< Runs at most once; this is the default.
    Idempotent, ///< May be retried and hedged.
};

/** Order in which waiting tasks are served. */
enum class Urgency : std::uint8_t {
    Urgent, ///< Somebody is waiting at a desk.
    Normal, ///< The default.
    Bulk, ///< Served when nothing else waits.
};

/** Configuration of one kind of request. */
struct KindConfig {
    KindName name; ///< Name of the kind.
    Idempotence idempotence = Idempotence::NonIdempotent; ///< Whether it may run more than once.
    Urgency urgency = Urgency::Normal; ///< Its class in the queue.
    Duration expectedRunTime = std::chrono::milliseconds(100); ///< First estimate of its run time.
    std::uint32_t concurrencyLimit = 0; ///< Most tasks running at once per instance; 0 for no limit.
    bool hedged = false; ///< Whether a late idempotent task is started a second time.
};

/** Configuration of one team. */
struct TeamConfig {
    TeamName name; ///< Name of the team.
    std::uint32_t quota = 0; ///< Most tasks running at once in the fleet; 0 for no limit.
    std::uint32_t weight = 1; ///< Share of the slots when several teams wait.
};

/** What weighs more when time and messages have to be traded against each other. */
struct PolicyConfig {
    double responseTimeWeight = 1.0; ///< Weight of response time over the ideal.
    double wastedMessageWeight = 1.0; ///< Weight of wasted messages.
    double retryBudget = 0.1; ///< Retries allowed per first attempt, as a fraction.
    double hedgeBudget = 0.02; ///< Hedged attempts allowed per first attempt, as a fraction.
    Duration maxQueueWait = std::chrono::seconds(2); ///< Longest estimated wait at which a job is still admitted.
    double ejectedShare = 0.3; ///< Largest share of a domain's endpoints ejected for failing.
};

/** The configuration document. */
struct FleetConfig {
    ConfigVersion version; ///< Its version; 0 in a document that was not yet accepted.
    std::vector<KindConfig> kinds; ///< All kinds of request; an unknown kind is refused.
    std::vector<TeamConfig> teams; ///< Teams with limits; other teams have none.
    PolicyConfig policy; ///< Weights and budgets.
};

/**
 * Read a configuration document from JSON.
 * @param text JSON text.
 * @return The document, or an error whose field names the JSON path and what was expected there.
 * Thread safety: any thread.
 */
Result<FleetConfig> fleetConfigFromJson(std::string_view text);

/**
 * Write a configuration document as JSON, the same text for the same document.
 * @param config The document.
 * Thread safety: any thread.
 */
std::string fleetConfigToJson(const FleetConfig &config);

/** @return The configuration of a kind, or null if there is no such kind. */
const KindConfig *findKind(const FleetConfig &config, const KindName &name);

/** @return The configuration of a team, or null if the team has none of its own. */
const TeamConfig *findTeam(const FleetConfig &config, const TeamName &name);

} // namespace Tanagertally
