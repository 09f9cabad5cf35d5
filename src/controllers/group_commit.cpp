#include "controllers/group_commit.h"

#include <fmt/format.h>

#include <algorithm>

namespace Tanagertally {

namespace {

constexpr std::size_t MaxGroupSize = 256; // writes in one transaction
constexpr Duration CommitTimeout = std::chrono::seconds(2);

std::vector<TableRow> rowsOf(const CommitOp &op, const std::vector<TableRow> &rows)
{
    std::vector<TableRow> own;
    for (const TableRow &row : rows) {
        const auto isOwn = [&](const auto &part) { return part.key == row.key; };
        if (std::any_of(op.conditions.begin(), op.conditions.end(), isOwn) || std::any_of(op.writes.begin(), op.writes.end(), isOwn)) {
            own.push_back(row);
        }
    }
    return own;
}

} // namespace

RowKey fenceRowKey(Incarnation incarnation)
{
    return RowKey(fmt::format("fence/{:016x}", incarnation.value));
}

GroupCommit::GroupCommit(Blackboard &board, PlatformCalls &platform)
    : board(board)
    , platform(platform)
{
}

void GroupCommit::submit(CommitOp op)
{
    this->waiting.push_back(std::move(op));
    this->flush();
}

void GroupCommit::setFencedHandler(std::function<void()> handler)
{
    this->fencedHandler = std::move(handler);
}

bool GroupCommit::tryAddToGroup(CommitOp &op, std::unordered_set<RowKey> &usedKeys)
{
    const auto isUsed = [&](const auto &part) { return usedKeys.contains(part.key); };
    if (std::any_of(op.conditions.begin(), op.conditions.end(), isUsed) || std::any_of(op.writes.begin(), op.writes.end(), isUsed)) {
        return false;
    }
    for (const RowCondition &condition : op.conditions) {
        usedKeys.insert(condition.key);
    }
    for (const RowWrite &write : op.writes) {
        usedKeys.insert(write.key);
    }
    this->group.push_back(std::move(op));
    return true;
}

void GroupCommit::flush()
{
    if (this->isCommitting || this->waiting.empty()) {
        return;
    }
    std::unordered_set<RowKey> usedKeys;
    std::deque<CommitOp> later;
    while (!this->waiting.empty() && this->group.size() < MaxGroupSize) {
        CommitOp op = std::move(this->waiting.front());
        this->waiting.pop_front();
        if (!this->tryAddToGroup(op, usedKeys)) {
            later.push_back(std::move(op));
        }
    }
    this->waiting.insert(this->waiting.begin(), std::make_move_iterator(later.begin()), std::make_move_iterator(later.end()));
    TableTransaction transaction;
    transaction.conditions.push_back(RowCondition{fenceRowKey(this->board.identity.incarnation), RowVersion()});
    for (const CommitOp &op : this->group) {
        transaction.conditions.insert(transaction.conditions.end(), op.conditions.begin(), op.conditions.end());
        transaction.writes.insert(transaction.writes.end(), op.writes.begin(), op.writes.end());
    }
    this->isCommitting = true;
    this->platform.send(std::move(transaction), CommitTimeout, [this](PlatformReply reply) { this->onReply(std::move(reply)); });
}

bool GroupCommit::isFenceRow(const TableRow &row) const
{
    return row.key == fenceRowKey(this->board.identity.incarnation);
}

void GroupCommit::onReply(PlatformReply reply)
{
    this->isCommitting = false;
    if (const auto *failed = std::get_if<ConditionFailed>(&reply)) {
        this->splitByFailedRows(*failed);
        this->flush();
        return;
    }
    CommitResult result = PlatformUnavailable{true, "unexpected reply"};
    if (const auto *unavailable = std::get_if<PlatformUnavailable>(&reply)) {
        result = *unavailable;
    }
    std::vector<CommitOp> finished;
    finished.swap(this->group);
    const auto *committed = std::get_if<Committed>(&reply);
    for (const CommitOp &op : finished) {
        op.onDone(committed == nullptr ? result : CommitResult(Committed{rowsOf(op, committed->rows)}));
    }
    this->flush();
}

void GroupCommit::splitByFailedRows(const ConditionFailed &failed)
{
    std::vector<CommitOp> failedGroup;
    failedGroup.swap(this->group);
    const bool fencedNow
        = std::any_of(failed.rows.begin(), failed.rows.end(), [this](const TableRow &row) { return this->isFenceRow(row); });
    if (fencedNow && !this->fenced) {
        this->fenced = true;
        this->fencedHandler();
    }
    for (CommitOp &op : failedGroup) {
        std::vector<TableRow> own = rowsOf(op, failed.rows);
        if (fencedNow) {
            own.insert(own.end(), failed.rows.begin(), failed.rows.end());
        }
        if (own.empty()) {
            this->waiting.push_front(std::move(op));
            continue;
        }
        op.onDone(ConditionFailed{std::move(own)});
    }
}

} // namespace Tanagertally
