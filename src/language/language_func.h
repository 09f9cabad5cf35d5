/** Reading, printing and evaluating the operators' language. No I/O. */
#pragma once

#include "core/result_type.h"
#include "language/language_type.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Tanagertally {

/**
 * Read one query or command.
 * @param text The text; up to 1 MiB.
 * @return The statement, or an error with code BadInput whose field is "column N", counted in bytes from 1 up to one past
 *         the end, and whose message says what was expected there.
 * Thread safety: any thread.
 */
Result<Statement> parseStatement(std::string_view text);

/**
 * Write a statement so that parseStatement() gives the same statement again.
 * @param statement The statement.
 * @return Its text.
 * Thread safety: any thread.
 */
std::string printStatement(const Statement &statement);

/**
 * Evaluate a condition on a row. A field that the row lacks is unequal to every value, and neither less nor greater.
 * @param condition The condition.
 * @param row The row.
 * @return Whether the condition holds.
 * Thread safety: any thread.
 */
bool evaluate(const Condition &condition, const Row &row);

/**
 * Answer a query: rows for which its condition holds, in its order, up to its limit.
 * @param query The query.
 * @param rows Rows of its subject. Equal ones stay in the order in which they are; rows without the field come last.
 * @return The rows.
 * Thread safety: any thread.
 */
std::vector<Row> selectRows(const ShowRows &query, std::vector<Row> rows);

/**
 * Count rows.
 * @param query The query.
 * @param rows Rows of its subject.
 * @return How many its condition holds for.
 * Thread safety: any thread.
 */
std::size_t countRows(const ShowCount &query, std::span<const Row> rows);

/**
 * Find the value of a field.
 * @param row The row.
 * @param field The field.
 * @return The value; unset if the row has none.
 * Thread safety: any thread.
 */
const Value &valueOf(const Row &row, Field field);

} // namespace Tanagertally
