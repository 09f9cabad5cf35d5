/** Group commit: many conditional writes in one transaction, one transaction at a time. */
#pragma once

#include "blackboard/blackboard.h"
#include "controllers/platform_calls.h"

#include <deque>
#include <functional>
#include <unordered_set>
#include <variant>

namespace Tanagertally {

/** How one write of a group ended: committed, refused for a condition, or unknown. */
using CommitResult = std::variant<Committed, ConditionFailed, PlatformUnavailable>;

/** A conditional write that can share a transaction with others. */
struct CommitOp {
    std::vector<RowCondition> conditions; ///< Its conditions.
    std::vector<RowWrite> writes; ///< Its writes.
    std::function<void(const CommitResult &)> onDone; ///< Called once with how it ended.
};

/**
 * Commits writes of this incarnation in groups. Every transaction carries the condition that this incarnation is not
 * fenced. Writes whose condition fails are taken out, and the rest of their group is tried again.
 * Thread safety: none.
 */
class GroupCommit
{
public:
    /** All arguments must outlive this object. */
    GroupCommit(Blackboard &board, PlatformCalls &platform);

    /**
     * Add a write to the next group.
     * @param op The write; its rows must not be those of another write that is pending from the same caller.
     */
    void submit(CommitOp op);

    /** Set what is called once if this incarnation turns out to be fenced. */
    void setFencedHandler(std::function<void()> handler);

    /** @return Writes that wait for a transaction. */
    std::size_t backlog() const
    {
        return this->waiting.size();
    }

    /** @return Whether this incarnation is fenced. */
    bool isFenced() const
    {
        return this->fenced;
    }

private:
    void flush();
    void onReply(PlatformReply reply);
    void splitByFailedRows(const ConditionFailed &failed);
    bool tryAddToGroup(CommitOp &op, std::unordered_set<RowKey> &usedKeys);
    bool isFenceRow(const TableRow &row) const;

    Blackboard &board; ///< The state.
    PlatformCalls &platform; ///< The platform.
    std::deque<CommitOp> waiting; ///< Writes not yet sent.
    std::vector<CommitOp> group; ///< Writes in the transaction under way.
    bool isCommitting = false; ///< Whether a transaction is under way.
    bool fenced = false; ///< Whether this incarnation is fenced.
    std::function<void()> fencedHandler; ///< Called when it turns out to be fenced.
};

/** @return Key of the row whose existence fences an incarnation. */
RowKey fenceRowKey(Incarnation incarnation);

} // namespace Tanagertally
