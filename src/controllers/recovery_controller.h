/** Finds durable jobs whose home has failed, fences the home, and adopts the jobs. */
#pragma once

#include "controllers/durable_controller.h"

namespace Tanagertally {

/**
 * Recovers durable jobs in the failure domain of this instance.
 *
 * The durable jobs of the domain are listed periodically, and at once after a peer link is lost. An incarnation that holds jobs
 * but has not been connected for some time is fenced by a conditional write. Once its start lease has certainly expired, its
 * jobs are adopted one by one, each by a conditional write that succeeds on one instance only.
 * Thread safety: none.
 */
class RecoveryController
{
public:
    /** The references must outlive this object. */
    RecoveryController(Blackboard &board, Outbox &outbox, PlatformCalls &platform, GroupCommit &commits, DurableController &durables);

    /** Schedules a scan at once, since the lost peer may have held jobs. */
    void onPeerDown();

    /** Scans the durable jobs if due; only a serving instance does. */
    void advance();

    /** @return Time at which advance() has to be called next. */
    TimePoint nextDeadline() const;

private:
    /** State of an incarnation that holds jobs and is not connected. */
    struct Suspect {
        TimePoint since{}; ///< Time of the first scan that found it not connected.
        bool fencing = false; ///< Whether the write of the fence row is in flight.
        bool fenced = false; ///< Whether the fence row is in the table.
        TimePoint leaseOverAt{}; ///< Time from which its start lease has certainly expired; valid if fenced.
    };

    void scan();
    void onScanned(const PlatformReply &reply);
    /** Fences the holder of a job row when it has been missing long enough; adopts the job once the lease has expired. */
    void handleSuspect(const TableRow &tableRow);
    /**
     * Adopts a job that this instance has no record of. It belongs to a fenced home, or to this incarnation if the reply to the
     * write of its row was lost.
     */
    void adoptIfNotHeld(const DurableJobRow &row, RowVersion version);
    bool isHomeConnected(Incarnation incarnation) const;
    void fence(Incarnation incarnation);
    void fetchAndAdopt(const DurableJobRow &row, RowVersion version);

    Blackboard &board;
    Outbox &outbox;
    PlatformCalls &platform; ///< Used for reads.
    GroupCommit &commits; ///< Used to write fences.
    DurableController &durables; ///< Adopts the jobs.
    std::unordered_map<Incarnation, Suspect> suspects; ///< Incarnations that hold jobs and are not connected.
    std::unordered_set<ObjectName> adopting; ///< Jobs whose adoption is in progress, by the name of their object.
    bool isScanning = false; ///< Whether a scan is in flight.
    TimePoint nextScan{}; ///< Time of the next scan.
};

} // namespace Tanagertally
