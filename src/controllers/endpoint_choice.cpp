#include "controllers/endpoint_choice.h"

namespace Tanagertally {

namespace {

constexpr int SampleTries = 4; // draws per sample before all are looked at
constexpr double LoadWeight = 0.25; // cost of a full endpoint against an empty one, as a share of the run time

double expectedCost(const EndpointRecord &endpoint)
{
    const double load = static_cast<double>(endpoint.inFlight) / static_cast<double>(std::max(1U, endpoint.listed.slots));
    return endpoint.slowness * (1.0 + LoadWeight * load) + static_cast<double>(endpoint.failuresInRow);
}

/** @return The first eligible endpoint at or after a position, going round; null if there is none. */
EndpointRecord *firstEligibleFrom(const EndpointTable &table, std::size_t start, const ChoiceLimits &limits)
{
    const auto &available = table.available();
    EndpointRecord *avoided = nullptr;
    for (std::size_t step = 0; step < available.size(); ++step) {
        EndpointRecord *endpoint = available[(start + step) % available.size()];
        if (!isEligible(*endpoint, limits)) {
            continue;
        }
        if (endpoint->id != limits.avoid) {
            return endpoint;
        }
        avoided = endpoint;
    }
    return avoided;
}

EndpointRecord *sample(const EndpointTable &table, RandomEngine &random, const ChoiceLimits &limits)
{
    const auto &available = table.available();
    if (available.empty()) {
        return nullptr;
    }
    for (int attempt = 0; attempt < SampleTries; ++attempt) {
        EndpointRecord *endpoint = available[drawBelow(random, available.size())];
        if (isEligible(*endpoint, limits) && endpoint->id != limits.avoid) {
            return endpoint;
        }
    }
    return firstEligibleFrom(table, drawBelow(random, available.size()), limits);
}

} // namespace

bool isEligible(const EndpointRecord &endpoint, const ChoiceLimits &limits)
{
    return limits.idempotent || endpoint.lifecycle.state() != EndpointState::Trial;
}

EndpointRecord *RandomChoice::choose(const EndpointTable &table, RandomEngine &random, const ChoiceLimits &limits)
{
    return sample(table, random, limits);
}

EndpointRecord *RoundRobinChoice::choose(const EndpointTable &table, RandomEngine & /*random*/, const ChoiceLimits &limits)
{
    return firstEligibleFrom(table, this->next++, limits);
}

EndpointRecord *TwoChoices::choose(const EndpointTable &table, RandomEngine &random, const ChoiceLimits &limits)
{
    EndpointRecord *first = sample(table, random, limits);
    if (first == nullptr || table.available().size() == 1) {
        return first;
    }
    EndpointRecord *second = sample(table, random, limits);
    return expectedCost(*second) < expectedCost(*first) ? second : first;
}

EndpointRecord *LeastExpected::choose(const EndpointTable &table, RandomEngine &random, const ChoiceLimits &limits)
{
    const auto &available = table.available();
    if (available.empty()) {
        return nullptr;
    }
    EndpointRecord *best = firstEligibleFrom(table, drawBelow(random, available.size()), limits);
    for (EndpointRecord *endpoint : available) {
        const bool allowed = isEligible(*endpoint, limits) && endpoint->id != limits.avoid;
        if (allowed && expectedCost(*endpoint) < expectedCost(*best)) {
            best = endpoint;
        }
    }
    return best;
}

EndpointRecord *chooseEndpoint(AnyChoice &choice, const EndpointTable &table, RandomEngine &random, const ChoiceLimits &limits)
{
    return std::visit([&](auto &policy) { return policy.choose(table, random, limits); }, choice);
}

} // namespace Tanagertally
