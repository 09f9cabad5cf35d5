#include "controllers/endpoint_choice.h"

namespace Tanagertally {

namespace {

constexpr int MaxDrawsPerSample = 4; // random draws before all endpoints are searched
constexpr double LoadWeight = 0.25; // additional cost of a full endpoint over an idle one, as a share of the run time

/** @return Expected cost of a task on an endpoint: its relative run time, raised by load, plus one for each recent failure. */
double expectedCost(const EndpointRecord &endpoint)
{
    const double load = static_cast<double>(endpoint.inFlight) / static_cast<double>(std::max(1U, endpoint.listed.slots));
    return endpoint.slowness * (1.0 + LoadWeight * load) + static_cast<double>(endpoint.consecutiveFailures);
}

/** @return The first eligible endpoint at or after a position, wrapping around; the avoided one or null if there is no other. */
EndpointRecord *firstEligibleFrom(const EndpointTable &table, std::size_t start, const EndpointConstraints &constraints)
{
    const auto &available = table.available();
    EndpointRecord *avoided = nullptr;
    for (std::size_t step = 0; step < available.size(); ++step) {
        EndpointRecord *endpoint = available[(start + step) % available.size()];
        if (!isEligible(*endpoint, constraints)) {
            continue;
        }
        if (endpoint->id != constraints.avoid) {
            return endpoint;
        }
        avoided = endpoint;
    }
    return avoided;
}

/** @return A random eligible endpoint; null if there is none. */
EndpointRecord *drawEligible(const EndpointTable &table, RandomEngine &random, const EndpointConstraints &constraints)
{
    const auto &available = table.available();
    if (available.empty()) {
        return nullptr;
    }
    for (int attempt = 0; attempt < MaxDrawsPerSample; ++attempt) {
        EndpointRecord *endpoint = available[drawBelow(random, available.size())];
        if (isEligible(*endpoint, constraints) && endpoint->id != constraints.avoid) {
            return endpoint;
        }
    }
    return firstEligibleFrom(table, drawBelow(random, available.size()), constraints);
}

} // namespace

bool isEligible(const EndpointRecord &endpoint, const EndpointConstraints &constraints)
{
    return constraints.idempotent || endpoint.lifecycle.state() != EndpointState::Trial;
}

EndpointRecord *RandomPolicy::choose(const EndpointTable &table, RandomEngine &random, const EndpointConstraints &constraints)
{
    return drawEligible(table, random, constraints);
}

EndpointRecord *RoundRobinPolicy::choose(const EndpointTable &table, RandomEngine & /*random*/, const EndpointConstraints &constraints)
{
    return firstEligibleFrom(table, this->next++, constraints);
}

EndpointRecord *TwoChoicesPolicy::choose(const EndpointTable &table, RandomEngine &random, const EndpointConstraints &constraints)
{
    EndpointRecord *first = drawEligible(table, random, constraints);
    if (first == nullptr || table.available().size() == 1) {
        return first;
    }
    EndpointRecord *second = drawEligible(table, random, constraints);
    return expectedCost(*second) < expectedCost(*first) ? second : first;
}

EndpointRecord *LeastCostPolicy::choose(const EndpointTable &table, RandomEngine &random, const EndpointConstraints &constraints)
{
    const auto &available = table.available();
    if (available.empty()) {
        return nullptr;
    }
    EndpointRecord *best = firstEligibleFrom(table, drawBelow(random, available.size()), constraints);
    for (EndpointRecord *endpoint : available) {
        const bool allowed = isEligible(*endpoint, constraints) && endpoint->id != constraints.avoid;
        if (allowed && expectedCost(*endpoint) < expectedCost(*best)) {
            best = endpoint;
        }
    }
    return best;
}

EndpointRecord *chooseEndpoint(EndpointPolicy &choice, const EndpointTable &table, RandomEngine &random,
                               const EndpointConstraints &constraints)
{
    return std::visit([&](auto &policy) { return policy.choose(table, random, constraints); }, choice);
}

} // namespace Tanagertally
