/** Requests to the platform's transactional table and object store, and their replies. */
#pragma once

#include "blackboard/id_type.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Tanagertally {

using RowKey = StrongString<struct RowKeyTag>; ///< Key of a row; parts are separated by '/'.
using RowVersion = StrongInt<struct RowVersionTag>; ///< Version that the table gives a row at each write; 0 if there is no row.
using ObjectName = StrongString<struct ObjectNameTag>; ///< Name of an object in the object store.

/** A row as the table holds it. */
struct TableRow {
    RowKey key; ///< Its key.
    std::string value; ///< Its value.
    RowVersion version; ///< Its version.
};

/** Condition of a transaction: the row is at this version; version 0 means that there is no such row. */
struct RowCondition {
    RowKey key; ///< Row that it speaks of.
    RowVersion version; ///< Version that the row has to have.
};

/** A row to write. */
struct RowWrite {
    RowKey key; ///< Row to write.
    std::optional<std::string> value; ///< New value; unset to delete the row.
};

/** All writes take effect if all conditions hold, and none otherwise. */
struct TableTransaction {
    std::vector<RowCondition> conditions; ///< Conditions.
    std::vector<RowWrite> writes; ///< Writes.
};

/** Read of single rows and of all rows under prefixes; linearizable. */
struct TableRead {
    std::vector<RowKey> keys; ///< Rows to read; missing rows are left out of the reply.
    std::vector<RowKey> prefixes; ///< Prefixes to read all rows of, in key order.
    std::uint32_t limit = 1000; ///< Most rows per prefix.
};

/** Write of an object; writing the same name again replaces it. */
struct ObjectPut {
    ObjectName name; ///< Name of the object.
    std::string body; ///< Its content.
};

/** Read of an object. */
struct ObjectGet {
    ObjectName name; ///< Name of the object.
};

using PlatformRequest = std::variant<TableTransaction, TableRead, ObjectPut, ObjectGet>; ///< Any request to the platform.

/** The transaction took effect. */
struct Committed {
    std::vector<TableRow> rows; ///< The rows written, with their new versions and empty values.
};

/** A condition did not hold; nothing took effect. */
struct ConditionFailed {
    std::vector<TableRow> rows; ///< The present rows behind the conditions that failed; version 0 where there is none.
};

/** Rows that were read. */
struct RowsRead {
    std::vector<TableRow> rows; ///< The rows.
};

/** The object was written. */
struct ObjectStored {
};

/** The object that was read. */
struct ObjectRead {
    std::optional<std::string> body; ///< Its content; unset if there is no such object.
};

/** No answer: a write may or may not have taken effect. */
struct PlatformUnavailable {
    bool mayHaveTakenEffect = false; ///< Whether a byte of the request may have been delivered.
    std::string message; ///< What went wrong.
};

using PlatformReply
    = std::variant<Committed, ConditionFailed, RowsRead, ObjectStored, ObjectRead, PlatformUnavailable>; ///< Any reply of the platform.

} // namespace Tanagertally
