#include "node/leadership.h"

#include "core/hash_func.h"

#include <algorithm>
#include <numeric>
#include <tuple>

namespace Tanagertally::Cells {

namespace {

/** @return Number of leads for each core that a candidate would have with `leads` leads. */
double leadsPerCore(std::size_t leads, const LeadCandidate &candidate)
{
    constexpr double MinimumCoreShare = 0.001; // Keeps the order total for instances without a known share.
    return static_cast<double>(leads) / std::max(candidate.coreShare, MinimumCoreShare);
}

} // namespace

bool isLeaderLost(const LeadObservation &lead, bool isObserverInDomain, const LeadershipLimits &limits)
{
    if (lead.leader.empty() || lead.hasLeadEnded) {
        return true;
    }
    if (lead.linkSilence <= limits.linkSilence) {
        return lead.storeSilence > limits.storeSilence;
    }
    // Across failure domains a silent link may be a partition on whose other side the leader is still working.
    return (isObserverInDomain && lead.isInDomain) || lead.rowSilence > limits.rowSilence;
}

std::vector<std::size_t> rankCandidates(const CellName &cell, const FailureDomain &domain, std::span<const LeadCandidate> candidates)
{
    const auto rank = [&](std::size_t index) {
        const LeadCandidate &candidate = candidates[index];
        return std::tuple(candidate.domain != domain, leadsPerCore(candidate.ledCells + 1, candidate),
                          stableHash(cell.value, stableHash(candidate.name.value)));
    };
    std::vector<std::size_t> order(candidates.size());
    std::iota(order.begin(), order.end(), 0);
    std::ranges::sort(order, [&rank](std::size_t left, std::size_t right) { return rank(left) < rank(right); });
    return order;
}

bool shouldReleaseLead(const LeadCandidate &self, const FailureDomain &domain, std::span<const LeadCandidate> candidates, Duration ledFor,
                       const LeadershipLimits &limits)
{
    return std::ranges::any_of(candidates, [&](const LeadCandidate &other) {
        if (other.domain != domain || other.name == self.name) {
            return false;
        }
        const bool hasMuchMoreCapacity
            = other.ledCells == 0
              && limits.minimumLoadRatio * leadsPerCore(1, other) <= leadsPerCore(std::max<std::size_t>(1, self.ledCells), self);
        return self.domain != domain || (hasMuchMoreCapacity && ledFor >= limits.minimumLeadTime);
    });
}

bool isOwnTurn(const InstanceName &self, const CellName &cell, const FailureDomain &domain, std::span<const LeadCandidate> candidates,
               Duration vacantFor, const LeadershipLimits &limits)
{
    const std::vector<std::size_t> order = rankCandidates(cell, domain, candidates);
    const auto ownRank = std::ranges::find_if(order, [&](std::size_t index) { return candidates[index].name == self; });
    if (ownRank == order.end()) {
        return false;
    }
    return vacantFor >= (ownRank - order.begin()) * limits.turnLength;
}

} // namespace Tanagertally::Cells
