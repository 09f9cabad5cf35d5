#include "cells/placement.h"

#include <algorithm>
#include <tuple>

namespace Tanagertally::Cells {

namespace {

constexpr double SlowFactor = 2; // Healthy endpoints differ by a factor of 1.5 at most.
constexpr double MinRelevantSlowness = 1.6; // Smaller values are within the variation of run times.

} // namespace

bool hasLabel(const EndpointRecord &endpoint, std::string_view label)
{
    return std::ranges::find(endpoint.labels, label) != endpoint.labels.end();
}

bool canEverRun(const EndpointRecord &endpoint, const StepSpec &step)
{
    return step.demand.fitsInto(endpoint.capacity) && (step.requirement.empty() || hasLabel(endpoint, step.requirement));
}

void removeSlowCandidates(std::vector<PlacementCandidate> &candidates, const StepSpec &step, TimePoint objective, TimePoint now)
{
    if (candidates.empty()) {
        return;
    }
    const auto slowness = [](const PlacementCandidate &candidate) { return candidate.slowness; };
    const double fastest = std::ranges::min(candidates, {}, slowness).slowness;
    std::erase_if(candidates, [&](const PlacementCandidate &candidate) {
        const auto runTime
            = std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::nano>(step.estimate) * candidate.slowness);
        return candidate.slowness > SlowFactor * fastest && now + step.estimate <= objective && now + runTime > objective;
    });
}

std::optional<std::size_t> chooseEndpoint(std::span<const PlacementCandidate> candidates, const StepSpec &step, const EndpointName &avoid)
{
    // Compared lexicographically; the smallest rank is the best.
    using Rank = std::tuple<bool, bool, double, std::int64_t>;
    std::optional<std::size_t> best;
    Rank bestRank;
    for (std::size_t number = 0; number < candidates.size(); ++number) {
        const PlacementCandidate &candidate = candidates[number];
        const CellEndpoint &endpoint = *candidate.endpoint;
        const Resources available = endpoint.freeResources();
        if (!step.demand.fitsInto(available) || !canEverRun(endpoint.record, step)) {
            continue;
        }
        if (step.maxPerEndpoint > 0 && candidate.runsOfStep >= step.maxPerEndpoint) {
            continue;
        }
        const bool isFar = !step.affinity.empty() && !hasLabel(endpoint.record, step.affinity.value);
        const double slowness = candidate.slowness < MinRelevantSlowness ? 1 : candidate.slowness;
        const Rank rank{endpoint.record.name == avoid, isFar, slowness, available.cpu - step.demand.cpu};
        if (!best || rank < bestRank) {
            best = number;
            bestRank = rank;
        }
    }
    return best;
}

} // namespace Tanagertally::Cells
