/** JSON of the platform's protocol. */
#pragma once

#include "core/result_type.h"
#include "lagging_list.h"
#include "platform_table.h"

#include <nlohmann/json.hpp>

namespace Tanagertally::Standins {

/** Whether rows are written with their values. */
enum class RowValues : std::uint8_t {
    LeftOut, ///< Key and version only.
    Included, ///< Key, value (null where there is none) and version.
};

/** @return The transaction in a request body, or an error that names the field. Thread safety: any thread. */
Result<Transaction> readTransaction(std::string_view body);

/** @return The read in a request body, or an error that names the field. Thread safety: any thread. */
Result<TableQuery> readQuery(std::string_view body);

/** @return Rows as {"rows": [...]}. Thread safety: any thread. */
nlohmann::json rowsToJson(const std::vector<Row> &rows, RowValues values);

/** @return The instance list as the platform answers it. Thread safety: any thread. */
nlohmann::json membersToJson(const MemberList &members);

/** @return A name with its percent escapes resolved, or an error if one is malformed. Thread safety: any thread. */
Result<std::string> decodePercent(std::string_view text);

} // namespace Tanagertally::Standins
