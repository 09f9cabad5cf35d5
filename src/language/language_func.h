/** Parser, printer and evaluator of the operators' language. No I/O. */
#pragma once

#include "core/result_type.h"
#include "language/language_type.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Tanagertally {

/**
 * Parse one query or command.
 * @param text Text of the statement; at most 1 MiB.
 * @return The statement, or an error with code BadInput whose field is "column N", counted in bytes from 1 up to one past
 *         the end, and whose message states what was expected at that column.
 * Thread safety: any thread.
 */
Result<Statement> parseStatement(std::string_view text);

/**
 * Format a statement as text that parseStatement() parses to an equal statement.
 * @param statement The statement to format.
 * @return The text of the statement.
 * Thread safety: any thread.
 */
std::string printStatement(const Statement &statement);

/**
 * Evaluate a condition on a row. A field that the row lacks is unequal to every value, and neither less nor greater.
 * @param condition The condition to evaluate.
 * @param row Field values to evaluate it on.
 * @return Whether the row satisfies the condition.
 * Thread safety: any thread.
 */
bool matchesCondition(const Condition &condition, const Row &row);

/**
 * Apply the condition, the order and the limit of a query to rows. The sort is stable; rows that lack the field to order by come last.
 * @param query The query to execute.
 * @param rows All rows of the query's subject.
 * @return The rows of the result.
 * Thread safety: any thread.
 */
std::vector<Row> selectRows(const ShowRows &query, std::vector<Row> rows);

/**
 * Count the rows that satisfy the condition of a query.
 * @param query The query to execute.
 * @param rows All rows of the query's subject.
 * @return The number of rows; all of them if the query has no condition.
 * Thread safety: any thread.
 */
std::size_t countRows(const ShowCount &query, std::span<const Row> rows);

/**
 * Find the value of a field in a row.
 * @param row The row to search.
 * @param field The field to find.
 * @return The value, owned by the row; a static unset value if the row lacks the field.
 * Thread safety: any thread.
 */
const Value &fieldValue(const Row &row, Field field);

} // namespace Tanagertally
