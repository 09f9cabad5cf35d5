/** Claims on keys that callers chose themselves, stored in the platform's table. */
#pragma once

#include "controllers/group_commit.h"
#include "controllers/job_controller.h"
#include "controllers/row_type.h"

namespace Tanagertally {

/** This incarnation holds the claim. It may have started tasks under the key; the job records show whether it did. */
struct ClaimHeld {
    bool takenOver = false; ///< Whether an earlier holder may have started tasks.
};

/** Another incarnation holds the claim. */
struct ClaimElsewhere {
    ClaimRow row;
    RowVersion version; ///< Version of the claim row.
};

/** It is unknown whether a claim exists, or the claim could not be written. */
struct ClaimUnknown {
    std::string message; ///< Reason: table not reached, row malformed or instance fenced; empty if the table holds no claim.
};

using ClaimOutcome = std::variant<ClaimHeld, ClaimElsewhere, ClaimUnknown>; ///< Result of a claim or of looking one up.

/**
 * Writes claims in group commits. If the reply to a write is lost, the row is read back to find the result.
 * Thread safety: none.
 */
class ClaimController
{
public:
    using Handler = std::function<void(const ClaimOutcome &)>; ///< Called exactly once with the result.

    /** The references must outlive this object. */
    ClaimController(Blackboard &board, PlatformCalls &platform, GroupCommit &commits);

    /**
     * Claims a key for a job that is not durable.
     * @param idempotent Whether all tasks of the job may run more than once.
     * @param replaces Version of the claim row to replace, whose holder no longer exists; 0 to insert a row.
     */
    void claim(const TeamKey &name, bool idempotent, RowVersion replaces, Handler handler);

    /**
     * Looks up a claim without making one.
     * @param handler Called once; with ClaimUnknown and an empty message if the table holds no claim.
     */
    void lookUp(const TeamKey &name, Handler handler);

    /** @return Whether the queue of writes is so long that new claims should be refused. */
    bool isBacklogged() const;

    /** @return Holder that names this instance and its incarnation. */
    ClaimHolder ownHolder() const;

private:
    ClaimOutcome outcomeOf(const std::vector<TableRow> &rows, const RowKey &key) const;

    Blackboard &board;
    PlatformCalls &platform; ///< Used for reads.
    GroupCommit &commits; ///< Used for writes.
};

} // namespace Tanagertally
