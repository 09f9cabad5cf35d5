#include "cells/placement.h"

#include <algorithm>
#include <tuple>

namespace Tanagertally::Cells {

bool hasLabel(const EndpointRecord &endpoint, std::string_view label)
{
    return std::ranges::find(endpoint.labels, label) != endpoint.labels.end();
}

bool canEverRun(const EndpointRecord &endpoint, const StepSpec &step)
{
    return step.demand.fitsInto(endpoint.capacity) && (step.requirement.empty() || hasLabel(endpoint, step.requirement));
}

std::optional<std::size_t> chooseEndpoint(std::span<const PlacementCandidate> candidates, const StepSpec &step, const EndpointName &avoid)
{
    // Smaller is better, in this order.
    using Rank = std::tuple<bool, bool, double, std::int64_t>;
    std::optional<std::size_t> best;
    Rank bestRank;
    for (std::size_t number = 0; number < candidates.size(); ++number) {
        const PlacementCandidate &candidate = candidates[number];
        const CellEndpoint &endpoint = *candidate.endpoint;
        const Resources room = endpoint.room();
        if (!step.demand.fitsInto(room) || !canEverRun(endpoint.record, step)) {
            continue;
        }
        if (step.maxPerEndpoint > 0 && candidate.runsOfStep >= step.maxPerEndpoint) {
            continue;
        }
        const bool isFar = !step.affinity.empty() && !hasLabel(endpoint.record, step.affinity.value);
        const Rank rank{endpoint.record.name == avoid, isFar, candidate.slowness, room.cpu - step.demand.cpu};
        if (!best || rank < bestRank) {
            best = number;
            bestRank = rank;
        }
    }
    return best;
}

} // namespace Tanagertally::Cells
