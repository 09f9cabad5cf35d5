/** The store as this product uses it: rows with versions, conditional transactions, range reads. */
#pragma once

#include "cells/cell_type.h"

#include <string>
#include <vector>

namespace Tanagertally::Cells {

using RowVersion = StrongInt<struct StoreVersionTag>; ///< Version of a row; 0 means that it doesn't exist.

/** Names a row. */
struct RowKey {
    std::string table; ///< The table.
    std::string part; ///< The partition; rows of one partition change together most cheaply.
    std::string key; ///< The key in the partition.

    friend bool operator==(const RowKey &, const RowKey &) = default;
};

/** A row as it was read. */
struct Row {
    RowKey key; ///< Its name.
    std::string value; ///< Its content.
    RowVersion version; ///< When it changed last.
    bool removed = false; ///< Whether this tells of its removal.
};

/** A condition of a transaction. */
struct RowCondition {
    RowKey key; ///< The row.
    RowVersion version; ///< The version that it must have.
};

/** A row to write. */
struct RowWrite {
    RowKey key; ///< The row.
    std::string value; ///< Its content.
};

/** Changes that take effect together, or not at all. */
struct StoreTransaction {
    std::vector<RowCondition> conditions; ///< What must hold.
    std::vector<RowWrite> writes; ///< Rows to write.
    std::vector<RowKey> removals; ///< Rows to remove.
};

/** How a transaction ended. */
enum class TransactionEnd : std::uint8_t {
    Applied, ///< It took effect.
    Conflict, ///< A condition didn't hold; nothing was done.
    NotDone, ///< The store refused or wasn't reached; nothing was done.
    Unknown, ///< It may have taken effect, or may still do so if its conditions hold.
};

/** Result of a transaction. */
struct TransactionResult {
    TransactionEnd end = TransactionEnd::Unknown; ///< How it ended.
    RowVersion version; ///< Version of the rows written, if applied.
    std::vector<Row> rows; ///< The rows of the conditions as they are, on a conflict.
    std::string error; ///< Why there is no result.
};

/** A range to read. */
struct RangeRead {
    std::string table; ///< The table.
    std::string part; ///< The partition.
    std::string from; ///< First key; empty for the beginning.
    std::uint32_t limit = 0; ///< Most rows; 0 for as many as the store gives.
};

/** Result of a read. */
struct ReadResult {
    bool isAnswered = false; ///< Whether the store answered.
    bool historyLost = false; ///< Whether the changes asked for are no longer known.
    std::vector<Row> rows; ///< The rows in order.
    bool hasMore = false; ///< Whether there are more.
    RowVersion version; ///< Newest version of the store.
    std::string error; ///< Why there is no answer.
};

} // namespace Tanagertally::Cells
