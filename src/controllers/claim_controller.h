/** Claims on callers' own keys, held in the platform's table. */
#pragma once

#include "controllers/group_commit.h"
#include "controllers/job_controller.h"
#include "controllers/row_type.h"

namespace Tanagertally {

/** This incarnation holds the claim and has started nothing under the key. */
struct ClaimHeld {
    bool takenOver = false; ///< Whether an earlier holder may have started tasks.
};

/** Another incarnation holds the claim. */
struct ClaimElsewhere {
    ClaimRow row; ///< The claim.
    RowVersion version; ///< Version of its row.
};

/** Whether a claim stands is unknown, or it could not be made. */
struct ClaimUnknown {
    std::string message; ///< Why.
};

using ClaimOutcome = std::variant<ClaimHeld, ClaimElsewhere, ClaimUnknown>; ///< How a claim ended.

/**
 * Makes claims in groups. A write whose answer was lost is settled by reading the row back.
 * Thread safety: none.
 */
class ClaimController
{
public:
    using Handler = std::function<void(const ClaimOutcome &)>; ///< Called once with how a claim ended.

    /** The references must outlive this object. */
    ClaimController(Blackboard &board, PlatformCalls &platform, GroupCommit &commits);

    /**
     * Claim a key for a job that is not durable.
     * @param name Team and key.
     * @param idempotent Whether all tasks may run more than once.
     * @param replaces Version of the row to replace, of a holder that is known to be gone; 0 to insert.
     * @param handler Called once.
     */
    void claim(const TeamKey &name, bool idempotent, RowVersion replaces, Handler handler);

    /**
     * Look a claim up without making one.
     * @param name Team and key.
     * @param handler Called once; with ClaimUnknown and an empty message if there is no claim.
     */
    void lookUp(const TeamKey &name, Handler handler);

    /** @return Whether so many claims wait that no more should be asked for. */
    bool isBacklogged() const;

    /** @return This instance as the holder of a claim. */
    ClaimHolder ownHolder() const;

private:
    ClaimOutcome outcomeOf(const std::vector<TableRow> &rows, const RowKey &key) const;

    Blackboard &board; ///< The state.
    PlatformCalls &platform; ///< The platform.
    GroupCommit &commits; ///< Writes in groups.
};

} // namespace Tanagertally
