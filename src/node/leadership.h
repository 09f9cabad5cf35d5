/** Which instance should lead which cell, from what this instance knows; without side effects. */
#pragma once

#include "cells/fleet_type.h"

#include <optional>
#include <span>
#include <vector>

namespace Tanagertally::Cells {

/** An instance that could lead. */
struct LeadCandidate {
    InstanceName name; ///< The instance.
    FailureDomain domain; ///< Where it runs.
    double coreShare = 0; ///< Share of a core that it may use.
    std::size_t ledCells = 0; ///< Cells that it leads.
};

/** What is known about the leader of a cell. */
struct LeadObservation {
    InstanceName leader; ///< Who leads; empty if nobody is known to.
    bool isInDomain = false; ///< Whether the leader runs in the cell's failure domain.
    bool isGone = false; ///< Whether it gave up the lead, or its process has ended.
    Duration linkSilence{}; ///< Time since the peer link heard it last.
    Duration rowSilence{}; ///< Time since its row in the store changed last, as far as this instance could read it.
    Duration storeSilence{}; ///< Time since the store confirmed it as the leader, as it says itself.
};

/** When a leader counts as lost. */
struct LeadershipLimits {
    Duration linkSilence = std::chrono::milliseconds(900); ///< Within its domain; a lease of an endpoint lasts 1 s.
    Duration rowSilence = std::chrono::milliseconds(2600); ///< Two missed heartbeats of 1 s and a slow answer.
    Duration storeSilence = std::chrono::milliseconds(2500); ///< It renews every 2 s, in the absence of other transactions.
    Duration turn = std::chrono::milliseconds(700); ///< A candidate that doesn't act leaves the turn to the next one.
    Duration leastLead = std::chrono::seconds(5); ///< Before it is given to a stronger instance; most partitions are over by then.
    double muchStronger = 2; ///< Share of a core, against the leader's, that is worth a change of leader.
};

/**
 * Tell whether a cell needs another leader.
 * @param isObserverInDomain Whether this instance runs in the cell's failure domain.
 * Thread safety: any thread.
 */
bool isLeaderLost(const LeadObservation &lead, bool isObserverInDomain, const LeadershipLimits &limits);

/**
 * Put candidates in the order in which they should lead a cell: those of its failure domain first, then those that lead fewest
 * cells, then the stronger ones, then by rendezvous hashing.
 * @return The order, as indices of `candidates`.
 * Thread safety: any thread.
 */
std::vector<std::size_t> rankCandidates(const CellName &cell, const FailureDomain &domain, std::span<const LeadCandidate> candidates);

/**
 * Tell whether it is this instance's turn to lead a cell.
 * @param vacantFor Time for which the cell has needed a leader.
 * Thread safety: any thread.
 */
bool isOwnTurn(const InstanceName &self, const CellName &cell, const FailureDomain &domain, std::span<const LeadCandidate> candidates,
               Duration vacantFor, const LeadershipLimits &limits);

/**
 * Tell whether a leader should give its lead to a candidate: to any of the cell's domain if it is of another one, else to a much stronger
 * one of the domain that leads nothing.
 * @param self The leader.
 * @param candidates Instances that could lead.
 * @param ledFor Time for which it has led.
 * Thread safety: any thread.
 */
bool shouldGiveWay(const LeadCandidate &self, const FailureDomain &domain, std::span<const LeadCandidate> candidates, Duration ledFor,
                   const LeadershipLimits &limits);

} // namespace Tanagertally::Cells
