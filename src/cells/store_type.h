/** Plain types of the store interface: versioned rows, conditional transactions and range reads. */
#pragma once

#include "cells/cell_type.h"

#include <string>
#include <vector>

namespace Tanagertally::Cells {

using RowVersion = StrongInt<struct StoreVersionTag>; ///< Version of a row; 0 means that it doesn't exist.

/** Identifies a row. */
struct RowKey {
    std::string table;
    std::string partition; ///< The partition; a transaction within one partition is the cheapest.
    std::string key; ///< Key within the partition.

    friend bool operator==(const RowKey &, const RowKey &) = default;
};

/** A row as read, or the removal of a row. */
struct Row {
    RowKey key;
    std::string value;
    RowVersion version; ///< Version of the last change.
    bool isRemoved = false; ///< Whether this entry reports the removal of the row.
};

/** Condition of a transaction: a row has a certain version. */
struct RowCondition {
    RowKey key;
    RowVersion version; ///< Required version; 0 requires that the row doesn't exist.
};

/** A row to write. */
struct RowWrite {
    RowKey key;
    std::string value;
};

/** Changes that take effect atomically if all conditions hold. */
struct StoreTransaction {
    std::vector<RowCondition> conditions;
    std::vector<RowWrite> writes;
    std::vector<RowKey> removals;

    /** @return Total size of the values to write, in bytes. */
    std::size_t valueBytes() const
    {
        std::size_t bytes = 0;
        for (const RowWrite &write : this->writes) {
            bytes += write.value.size();
        }
        return bytes;
    }
};

/** Outcome of a transaction. */
enum class TransactionOutcome : std::uint8_t {
    Applied, ///< The transaction took effect.
    Conflict, ///< A condition didn't hold; nothing was written.
    NotApplied, ///< The store refused the transaction or was not reached; nothing was written.
    Unknown, ///< The transaction may have taken effect, or may still do so if its conditions hold.
};

/** Result of a transaction. */
struct TransactionResult {
    TransactionOutcome outcome = TransactionOutcome::Unknown;
    RowVersion version; ///< Version of the written rows if the transaction was applied.
    std::vector<Row> rows; ///< Current rows of the conditions after a conflict.
    std::string error; ///< Error text if the transaction was not applied.
};

/** Request to read a range of rows. */
struct RangeRead {
    std::string table;
    std::string partition; ///< The partition.
    std::string from; ///< First key; empty for the start of the partition.
    std::uint32_t limit = 0; ///< Maximum number of rows; 0 for as many as the store returns.
};

/** Result of a read. */
struct ReadResult {
    bool isAnswered = false; ///< Whether the store answered with rows or changes that could be decoded.
    bool isHistoryLost = false; ///< Whether the store no longer has the requested changes.
    std::vector<Row> rows; ///< Rows in key order, or changes in version order.
    bool hasMore = false; ///< Whether further rows exist.
    RowVersion version; ///< Newest version of the store.
    Duration decodeTime{}; ///< Time spent on decoding the answer.
    std::string error; ///< Error text if `isAnswered` is false; otherwise unspecified, not necessarily empty.
};

} // namespace Tanagertally::Cells
