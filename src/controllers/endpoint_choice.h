/** Policies that choose the endpoint for a task among those with a free slot. */
#pragma once

#include "blackboard/endpoint_base.h"
#include "core/random_base.h"

#include <concepts>
#include <variant>

namespace Tanagertally {

/** What an endpoint has to be for a task. */
struct EndpointConstraints {
    bool idempotent = false; ///< Whether the task may run more than once; others don't go to endpoints on trial.
    EndpointId avoid; ///< Endpoint on which it failed before; taken only if there is no other. 0 for none.
};

/** @return Whether an endpoint with a free slot may take the task. */
bool isEligible(const EndpointRecord &endpoint, const EndpointConstraints &constraints);

/** A policy: chooses among EndpointTable::available(), or gives null if none is eligible. */
template<typename T>
concept EndpointChooser = requires(T &policy, const EndpointTable &table, RandomEngine &random, const EndpointConstraints &constraints)
{
    {
        policy.choose(table, random, constraints)
        } -> std::same_as<EndpointRecord *>;
};

/** Uniform random choice. */
struct RandomChoice {
    EndpointRecord *choose(const EndpointTable &table, RandomEngine &random, const EndpointConstraints &constraints);
};

/** One after the other. */
struct RoundRobinChoice {
    EndpointRecord *choose(const EndpointTable &table, RandomEngine &random, const EndpointConstraints &constraints);

    std::uint32_t next = 0; ///< Counts choices.
};

/**
 * The better of two random ones, by expected completion; costs the same whatever the number of endpoints.
 * Method: M. Mitzenmacher, "The power of two choices in randomized load balancing".
 */
struct TwoChoices {
    EndpointRecord *choose(const EndpointTable &table, RandomEngine &random, const EndpointConstraints &constraints);
};

/** The one with the least expected completion of all. */
struct LeastExpected {
    EndpointRecord *choose(const EndpointTable &table, RandomEngine &random, const EndpointConstraints &constraints);
};

static_assert(
    EndpointChooser<RandomChoice> && EndpointChooser<RoundRobinChoice> && EndpointChooser<TwoChoices> && EndpointChooser<LeastExpected>);

using AnyChoice = std::variant<TwoChoices, LeastExpected, RoundRobinChoice, RandomChoice>; ///< The policy in use.

/** @return The endpoint that the policy in use chooses, or null. */
EndpointRecord *chooseEndpoint(AnyChoice &choice, const EndpointTable &table, RandomEngine &random, const EndpointConstraints &constraints);

} // namespace Tanagertally
