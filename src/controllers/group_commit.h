/** Group commit: batches conditional writes into one transaction, with one transaction in flight at a time. */
#pragma once

#include "blackboard/blackboard.h"
#include "controllers/platform_calls.h"

#include <deque>
#include <functional>
#include <unordered_set>
#include <variant>

namespace Tanagertally {

/** Result of one write of a group: committed, rejected by a condition, or unknown. */
using CommitResult = std::variant<Committed, ConditionFailed, PlatformUnavailable>;

/** A conditional write that can share a transaction with others. */
struct CommitOp {
    std::vector<RowCondition> conditions;
    std::vector<RowWrite> writes;
    std::function<void(const CommitResult &)> onDone; ///< Called once with the result.
};

/**
 * Commits writes of this incarnation in groups. Every transaction has the condition that this incarnation is not fenced.
 * If a transaction fails, the writes whose own conditions failed are completed, and the rest of the group is retried.
 * Thread safety: none.
 */
class GroupCommit
{
public:
    /** All arguments must outlive this object. */
    GroupCommit(Blackboard &board, PlatformCalls &platform);

    /**
     * Adds a write to the next group.
     * @param op The write; its rows must differ from those of any pending write of the same caller.
     */
    void submit(CommitOp op);

    /** Sets the handler that is called once when a transaction shows that this incarnation is fenced. */
    void setFencedHandler(std::function<void()> handler);

    /** @return Number of writes that wait for a transaction. */
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
    /** Moves a write into the group unless it shares a row with another write of the group. @return Whether it was moved. */
    bool tryAddToGroup(CommitOp &op, std::unordered_set<RowKey> &usedKeys);
    bool isFenceRow(const TableRow &row) const;

    Blackboard &board;
    PlatformCalls &platform;
    std::deque<CommitOp> waiting; ///< Writes that have not been sent.
    std::vector<CommitOp> group; ///< Writes of the transaction in flight.
    bool isCommitting = false; ///< Whether a transaction is in flight.
    bool fenced = false; ///< Whether this incarnation is fenced.
    std::function<void()> fencedHandler; ///< Called when a transaction shows that this incarnation is fenced.
};

/** @return Key of the row that fences an incarnation if it exists. */
RowKey fenceRowKey(Incarnation incarnation);

} // namespace Tanagertally
