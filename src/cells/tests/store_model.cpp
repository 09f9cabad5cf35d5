#include "cells/tests/store_model.h"

#include <algorithm>

namespace Tanagertally::Cells::Test {

namespace {

constexpr std::size_t MaxHistoryLength = 20000; // Number of changes: 20 s of the users' store at 1,000 changes/s.
constexpr std::size_t MaxTransactionBytes = 1'000'000; // The platform's limit.

} // namespace

TransactionResult StoreModel::apply(const StoreTransaction &transaction)
{
    TransactionResult result;
    std::size_t bytes = 0;
    bool hasLargeRow = false;
    for (const RowWrite &write : transaction.writes) {
        bytes += (write.value.size() + 2) / 3 * 4; // Base64.
        hasLargeRow = hasLargeRow || write.value.size() > this->maxRowBytes;
    }
    if (hasLargeRow || bytes > MaxTransactionBytes) {
        result.outcome = TransactionOutcome::NotApplied;
        return result;
    }
    const auto nameOf = [](const RowKey &key) { return RowName(key.table, key.partition, key.key); };
    bool holds = true;
    for (const RowCondition &condition : transaction.conditions) {
        const auto row = this->rows.find(nameOf(condition.key));
        const RowVersion found = row == this->rows.end() ? RowVersion(0) : row->second.second;
        holds = holds && found == condition.version;
        if (row != this->rows.end()) {
            result.rows.push_back({condition.key, row->second.first, found, false});
        }
    }
    if (!holds) {
        result.outcome = TransactionOutcome::Conflict;
        return result;
    }
    result.rows.clear();
    result.outcome = TransactionOutcome::Applied;
    result.version = RowVersion(++this->version);
    for (const RowWrite &write : transaction.writes) {
        this->rows[nameOf(write.key)] = {write.value, result.version};
        this->recordChange({write.key, write.value, result.version, false});
    }
    for (const RowKey &key : transaction.removals) {
        if (this->rows.erase(nameOf(key)) > 0) {
            this->recordChange({key, {}, result.version, true});
        }
    }
    return result;
}

ReadResult StoreModel::read(const RangeRead &range) const
{
    ReadResult result;
    result.isAnswered = true;
    result.version = RowVersion(this->version);
    for (auto entry = this->rows.lower_bound(RowName(range.table, range.partition, range.from)); entry != this->rows.end(); ++entry) {
        const auto &[table, partition, key] = entry->first;
        if (table != range.table || partition != range.partition) {
            break;
        }
        if (range.limit > 0 && result.rows.size() == range.limit) {
            result.hasMore = true;
            break;
        }
        result.rows.push_back({{table, partition, key}, entry->second.first, entry->second.second, false});
    }
    return result;
}

ReadResult StoreModel::changesAfter(std::string_view table, RowVersion after) const
{
    ReadResult result;
    if (after.value < this->forgotten) {
        result.isHistoryLost = true;
        return result;
    }
    result.isAnswered = true;
    result.version = RowVersion(this->version);
    for (const Row &row : this->history) {
        if (row.key.table == table && after < row.version) {
            result.rows.push_back(row);
        }
    }
    return result;
}

void StoreModel::discardHistory()
{
    this->history.clear();
    this->forgotten = this->version;
}

std::size_t StoreModel::rowCount() const
{
    return this->rows.size();
}

void StoreModel::recordChange(Row row)
{
    this->history.push_back(std::move(row));
    if (this->history.size() > MaxHistoryLength) {
        this->forgotten = this->history.front().version.value;
        this->history.pop_front();
    }
}

} // namespace Tanagertally::Cells::Test
