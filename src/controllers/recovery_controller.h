/** Finds durable jobs whose home is gone, fences it, and has them adopted. */
#pragma once

#include "controllers/durable_controller.h"

namespace Tanagertally {

/**
 * Recovery of durable jobs in the own failure domain.
 *
 * The durable jobs of the domain are listed from time to time and soon after a peer is lost. A home that is neither this
 * instance nor connected for some time is suspected; it is fenced by a conditional write, its start lease is waited out,
 * and its jobs are adopted one by one, each by a conditional write that one instance wins.
 * Thread safety: none.
 */
class RecoveryController
{
public:
    /** The references must outlive this object. */
    RecoveryController(Blackboard &board, Outbox &outbox, PlatformCalls &platform, GroupCommit &commits, DurableController &durables);

    /** A peer was lost: look for its jobs soon. */
    void onPeerDown();

    /** Do what is due. */
    void advance();

    /** @return When advance() has to be called next. */
    TimePoint nextDeadline() const;

private:
    /** What is known of an incarnation that holds jobs and is not connected. */
    struct Suspect {
        TimePoint since{}; ///< When it was first seen missing.
        bool fencing = false; ///< Whether the fence is being written.
        bool fenced = false; ///< Whether the fence is in the table.
        TimePoint leaseOverAt{}; ///< When its start lease is over for certain.
    };

    void scan();
    void onScanned(const PlatformReply &reply);
    void handleSuspect(const TableRow &tableRow);
    /** Adopt a job that no record is held of: of a fenced home, or of this one after the answer to a write was lost. */
    void adoptIfNotHeld(const DurableJobRow &row, RowVersion version);
    bool isHomeConnected(Incarnation incarnation) const;
    void fence(Incarnation incarnation);
    void fetchAndAdopt(const DurableJobRow &row, RowVersion version);

    Blackboard &board; ///< The state.
    Outbox &outbox; ///< Where actions go.
    PlatformCalls &platform; ///< The platform.
    GroupCommit &commits; ///< Writes in groups.
    DurableController &durables; ///< Takes jobs over.
    std::unordered_map<Incarnation, Suspect> suspects; ///< Incarnations that are missing.
    std::unordered_set<ObjectName> adopting; ///< Jobs that are being adopted, by their object.
    bool isScanning = false; ///< Whether a listing is under way.
    TimePoint nextScan{}; ///< When to list again.
};

} // namespace Tanagertally
