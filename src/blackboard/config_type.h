/** The fleet configuration: one versioned document that all instances apply. */
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

/** Priority class of waiting tasks. */
enum class Urgency : std::uint8_t {
    Urgent, ///< Served first: a person is waiting for the answer.
    Normal, ///< The default.
    Bulk, ///< Served only when no other task can start.
};

/** Configuration of one kind of request. */
struct KindConfig {
    KindName name; ///< Unique name.
    Idempotence idempotence = Idempotence::NonIdempotent; ///< Whether tasks of this kind may run more than once.
    Urgency urgency = Urgency::Normal; ///< Priority class in the queue.
    Duration expectedRunTime = std::chrono::milliseconds(100); ///< Initial run time estimate; measured run times outweigh it over time.
    std::uint32_t concurrencyLimit = 0; ///< Maximum number of tasks running at once per instance; 0 for no limit.
    bool hedged = false; ///< Whether a second attempt starts when an attempt is late; requires Idempotent.
};

/** Configuration of one team (client account). */
struct TeamConfig {
    TeamName name; ///< Unique name.
    std::uint32_t quota = 0; ///< Maximum number of tasks running at once in the fleet; 0 for no limit.
    std::uint32_t weight = 1; ///< Relative share of the slots when several teams have waiting tasks.
};

/** Weights and budgets for the trade-off between response time and message count. */
struct PolicyConfig {
    double responseTimeWeight = 1.0; ///< Weight of the response time in excess of the ideal.
    double wastedMessageWeight = 1.0; ///< Weight of wasted messages.
    double retryBudget = 0.1; ///< Retries allowed per first attempt, as a fraction.
    double hedgeBudget = 0.02; ///< Hedged attempts allowed per first attempt, as a fraction.
    Duration maxQueueWait = std::chrono::seconds(2); ///< Longest estimated queue wait at which a job is still admitted.
    double ejectedShare = 0.3; ///< Largest fraction of a domain's endpoints ejected or on trial at once; one is always allowed.
};

/** The configuration document. */
struct FleetConfig {
    ConfigVersion version; ///< Version; 0 in a document that was not accepted yet.
    std::vector<KindConfig> kinds; ///< All kinds of request; a job with any other kind is refused.
    std::vector<TeamConfig> teams; ///< Teams with a quota or weight; other teams use the defaults of TeamConfig.
    PolicyConfig policy; ///< Weights, budgets and limits.
};

/**
 * Parses a configuration document from JSON.
 * @param text JSON text.
 * @return The document, or the first error: its field is the JSON path, its message names the expected value.
 * Thread safety: any thread.
 */
Result<FleetConfig> fleetConfigFromJson(std::string_view text);

/**
 * Serializes a configuration document as JSON. Equal documents yield equal text.
 * Thread safety: any thread.
 */
std::string fleetConfigToJson(const FleetConfig &config);

/** @return The configuration of a kind, or null if it is unknown. */
const KindConfig *findKind(const FleetConfig &config, const KindName &name);

/** @return The configuration of a team, or null if the document has no entry for it. */
const TeamConfig *findTeam(const FleetConfig &config, const TeamName &name);

} // namespace Tanagertally
