/** Load balancing policies: select the endpoint for a task among those with a free slot. */
#pragma once

#include "blackboard/endpoint_base.h"
#include "core/random_base.h"

#include <concepts>
#include <variant>

namespace Tanagertally {

/** Constraints of a task on its endpoint. */
struct EndpointConstraints {
    bool idempotent = false; ///< Whether the task may run more than once; other tasks are not sent to endpoints on trial.
    EndpointId avoid; ///< Endpoint on which the task failed before; selected only if no other is eligible. 0 for none.
};

/** @return Whether an endpoint with a free slot may run the task. */
bool isEligible(const EndpointRecord &endpoint, const EndpointConstraints &constraints);

/** A policy selects one of EndpointTable::available() and returns null if none is eligible. */
template<typename T>
concept EndpointChooser = requires(T &policy, const EndpointTable &table, RandomEngine &random, const EndpointConstraints &constraints)
{
    {
        policy.choose(table, random, constraints)
        } -> std::same_as<EndpointRecord *>;
};

/** Selects an endpoint uniformly at random. */
struct RandomPolicy {
    EndpointRecord *choose(const EndpointTable &table, RandomEngine &random, const EndpointConstraints &constraints);
};

/** Selects the available endpoints in turn. */
struct RoundRobinPolicy {
    EndpointRecord *choose(const EndpointTable &table, RandomEngine &random, const EndpointConstraints &constraints);

    std::uint32_t next = 0; ///< Position at which the next search starts; taken modulo the number of available endpoints.
};

/**
 * Selects the one with the lower expected cost of two random endpoints; the time per selection does not grow with the number
 * of endpoints.
 * Method: M. Mitzenmacher, "The power of two choices in randomized load balancing".
 */
struct TwoChoicesPolicy {
    EndpointRecord *choose(const EndpointTable &table, RandomEngine &random, const EndpointConstraints &constraints);
};

/** Selects the endpoint with the lowest expected cost of all; the time per selection grows with the number of endpoints. */
struct LeastCostPolicy {
    EndpointRecord *choose(const EndpointTable &table, RandomEngine &random, const EndpointConstraints &constraints);
};

static_assert(
    EndpointChooser<
        RandomPolicy> && EndpointChooser<RoundRobinPolicy> && EndpointChooser<TwoChoicesPolicy> && EndpointChooser<LeastCostPolicy>);

using EndpointPolicy = std::variant<TwoChoicesPolicy, LeastCostPolicy, RoundRobinPolicy, RandomPolicy>; ///< Any of the policies.

/** @return The endpoint that the policy selects, or null if none is eligible. */
EndpointRecord *chooseEndpoint(EndpointPolicy &choice, const EndpointTable &table, RandomEngine &random,
                               const EndpointConstraints &constraints);

} // namespace Tanagertally
