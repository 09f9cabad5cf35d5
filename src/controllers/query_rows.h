/** Rows of the operators' language from the state of this instance, and their JSON. */
#pragma once

#include "blackboard/blackboard.h"
#include "controllers/config_controller.h"
#include "controllers/decision_trail.h"
#include "language/language_type.h"

#include <string>
#include <vector>

namespace Tanagertally {

/**
 * Makes the rows of a subject from the state of this instance.
 * @param subject Any subject but the audit trail, whose rows are in the table; see makeAuditRows().
 * @param config Source of the configuration versions in force by failure domain.
 * @param trail Source of the recent refusals.
 */
std::vector<Row> makeRows(Subject subject, const Blackboard &board, const ConfigController &config, const DecisionTrail &trail);

/**
 * Makes the rows of the audit trail. Rows of the table that cannot be decoded are left out.
 * @param nowMs Wall-clock time in milliseconds since the Unix epoch.
 */
std::vector<Row> makeAuditRows(const std::vector<TableRow> &rows, std::int64_t nowMs);

/** @return Rows as a JSON array of objects; durations are numbers of seconds. */
std::string rowsToJson(const std::vector<Row> &rows);

/**
 * Parses rows that rowsToJson() wrote. Fields that the subject does not have are left out.
 * @return The rows, or an error if the text is malformed.
 */
Result<std::vector<Row>> rowsFromJson(Subject subject, std::string_view json);

} // namespace Tanagertally
