/** Model of the store for tests: rows, conditional transactions, and the changes since a version. */
#pragma once

#include "cells/store_type.h"

#include <deque>
#include <limits>
#include <map>
#include <tuple>

namespace Tanagertally::Cells::Test {

/** Model of the store. Thread safety: none. */
class StoreModel
{
public:
    std::size_t maxRowBytes = std::numeric_limits<std::size_t>::max(); ///< Largest value of a row.

    /** Executes a transaction atomically; not applied if a value, or all of them together, are too large. */
    TransactionResult apply(const StoreTransaction &transaction);

    /** @return Rows of a partition in key order. */
    ReadResult read(const RangeRead &range) const;

    /** @return Changes of a table after a version; `isHistoryLost` is set if the history doesn't reach back to it. */
    ReadResult changesAfter(std::string_view table, RowVersion after) const;

    /** Discards the history of changes; the rows remain. */
    void discardHistory();

    /** @return Number of rows. */
    std::size_t rowCount() const;

private:
    using RowName = std::tuple<std::string, std::string, std::string>; ///< Table, partition and key.

    void recordChange(Row row);

    std::map<RowName, std::pair<std::string, RowVersion>> rows; ///< Values and versions.
    std::deque<Row> history; ///< Changes, oldest first.
    std::uint64_t version = 0; ///< Version of the newest transaction.
    std::uint64_t forgotten = 0; ///< Newest version that is no longer in the history.
};

} // namespace Tanagertally::Cells::Test
