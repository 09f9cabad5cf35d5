/** The store as a model for tests: rows, transactions under conditions, and the changes since a version. */
#pragma once

#include "cells/store_type.h"

#include <deque>
#include <map>
#include <tuple>

namespace Tanagertally::Cells::Test {

/** The rows of the store. Thread safety: none. */
class StoreModel
{
public:
    /** Carry out a transaction, wholly or not at all. */
    TransactionResult apply(const StoreTransaction &transaction);

    /** @return Rows of a partition in the order of their keys. */
    ReadResult read(const RangeRead &range) const;

    /** @return Changes of a table after a version, or that the history doesn't reach back so far. */
    ReadResult changesAfter(std::string_view table, RowVersion after) const;

    /** Forget all changes so far; the rows stay. */
    void forgetHistory();

    /** @return Number of rows. */
    std::size_t rowCount() const;

private:
    using RowName = std::tuple<std::string, std::string, std::string>; ///< Table, partition and key.

    void note(Row row);

    std::map<RowName, std::pair<std::string, RowVersion>> rows; ///< The rows.
    std::deque<Row> history; ///< Changes, oldest first.
    std::uint64_t version = 0; ///< Of the newest transaction.
    std::uint64_t forgotten = 0; ///< Changes up to this version are not in the history.
};

} // namespace Tanagertally::Cells::Test
