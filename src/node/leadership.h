/** Rules that decide which instance should lead which cell; free of side effects. */
#pragma once

#include "cells/fleet_type.h"

#include <optional>
#include <span>
#include <vector>

namespace Tanagertally::Cells {

/** An instance that is able to lead a cell. */
struct LeadCandidate {
    InstanceName name;
    FailureDomain domain; ///< Failure domain in which the instance runs.
    double coreShare = 0; ///< Share of a core that the instance may use.
    std::size_t ledCells = 0; ///< Number of cells that the instance leads.
};

/** What this instance knows about the leader of a cell. A silence of 0 (default): just received; Duration::max(): never received. */
struct LeadObservation {
    InstanceName leader; ///< Empty if no leader is known.
    bool isInDomain = false; ///< Whether the leader runs in the cell's failure domain.
    bool hasLeadEnded = false; ///< Whether the leader released the lead or its process has ended.
    Duration linkSilence{}; ///< Time since the peer link last received data from the leader.
    Duration rowSilence{}; ///< Time from the last change of the leader's row (heartbeat) in the instances table to its last read.
    Duration storeSilence{}; ///< Time since the store last confirmed the lead, as reported by the leader.
};

/** Time limits and thresholds for a change of leader. */
struct LeadershipLimits {
    Duration linkSilence = std::chrono::milliseconds(900); ///< Within the leader's domain; the lease of an endpoint lasts 1 s.
    Duration rowSilence = std::chrono::milliseconds(2600); ///< Two missed heartbeats of 1 s and a slow answer of the store.
    Duration storeSilence = std::chrono::milliseconds(2500); ///< A leader without other transactions renews its lead every 2 s.
    Duration turnLength = std::chrono::milliseconds(700); ///< Time that a candidate has to claim a cell before the next one may.
    Duration minimumLeadTime = std::chrono::seconds(5); ///< Before a release to a stronger instance; most partitions are over by then.
    double minimumLoadRatio = 2; ///< Leads per core of the leader, relative to the candidate's after a change, that justify the change.
};

/**
 * Decide whether a cell needs a new leader.
 * @param isObserverInDomain Whether this instance runs in the cell's failure domain.
 * Thread safety: any thread.
 */
bool isLeaderLost(const LeadObservation &lead, bool isObserverInDomain, const LeadershipLimits &limits);

/**
 * Order candidates by their precedence for leading a cell: first those of the cell's failure domain, then those that lead the fewest cells
 * for their core share, then by rendezvous hashing.
 * @return The order, as indices of `candidates`.
 * Thread safety: any thread.
 */
std::vector<std::size_t> rankCandidates(const CellName &cell, const FailureDomain &domain, std::span<const LeadCandidate> candidates);

/**
 * Decide whether this instance may claim a vacant cell now. Candidates get the right to claim one after the other, in the order of
 * rankCandidates() and LeadershipLimits::turnLength apart.
 * @param vacantFor Time since the cell became vacant.
 * Thread safety: any thread.
 */
bool isOwnTurn(const InstanceName &self, const CellName &cell, const FailureDomain &domain, std::span<const LeadCandidate> candidates,
               Duration vacantFor, const LeadershipLimits &limits);

/**
 * Decide whether a leader should release its lead in favour of a candidate of the cell's domain. A leader from another domain releases
 * it to any such candidate, a leader of the domain only to one that leads no cell and is much stronger, or about as strong if the leader
 * leads several cells.
 * @param self The leader.
 * @param candidates Instances that are able to lead.
 * @param ledFor Time since the leader claimed the cell.
 * Thread safety: any thread.
 */
bool shouldReleaseLead(const LeadCandidate &self, const FailureDomain &domain, std::span<const LeadCandidate> candidates, Duration ledFor,
                       const LeadershipLimits &limits);

} // namespace Tanagertally::Cells
