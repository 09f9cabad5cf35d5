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
 * Make the rows of a subject that this instance knows itself.
 * @param subject Jobs, tasks, endpoints, instances, domains, teams, config or refusals; the audit trail is in the table.
 * @param board The state.
 * @param config Knows what is in force where.
 * @param trail Knows recent refusals.
 */
std::vector<Row> makeRows(Subject subject, const Blackboard &board, const ConfigController &config, const DecisionTrail &trail);

/** Make the rows of the audit trail. @param rows Rows of the table. @param nowMs Wall-clock time in ms since the epoch. */
std::vector<Row> makeAuditRows(const std::vector<TableRow> &rows, std::int64_t nowMs);

/** @return Rows as a JSON array of objects; spans of time are numbers of seconds. */
std::string rowsToJson(const std::vector<Row> &rows);

/**
 * Read rows back.
 * @param subject Subject of the rows.
 * @param json Text that rowsToJson() made.
 * @return The rows, or an error.
 */
Result<std::vector<Row>> rowsFromJson(Subject subject, std::string_view json);

} // namespace Tanagertally
