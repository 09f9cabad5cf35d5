/** Syntax tree of a statement: tokens as the grammar recognises them, before names are resolved and types are checked. */
#pragma once

#include "core/result_type.h"

#include <optional>
#include <string_view>
#include <vector>

namespace Tanagertally {

/** A lexical token: a word, a number, a quoted text including its quotes, or a JSON document. */
struct Token {
    std::string_view text; ///< Refers to the statement text; does not own it.
    std::size_t column = 1; ///< Column of the first byte, counted in bytes from 1.
};

/** Form of a statement, determined by its keywords. */
enum class StatementKind : std::uint8_t {
    ShowRows,
    ShowCount,
    ExplainJob,
    ExplainEndpoint,
    ExplainRefusal,
    CancelJob,
    CancelJobs,
    DrainWorker,
    DrainRack,
    DrainInstance,
    DrainDomain,
    SetLimit,
    SetQuota,
    Reconfigure,
};

/** Syntax tree of a condition. */
struct ConditionSyntax {
    /** Type of a node. */
    enum class Kind : std::uint8_t {
        Comparison, ///< Leaf that compares `field` with `value` by `comparator`.
        All, ///< Conjunction of `parts`.
        Any, ///< Disjunction of `parts`.
        Not, ///< Negation of the only part.
    };
    Kind kind = Kind::Comparison;
    std::vector<ConditionSyntax> parts; ///< Operands; empty for a comparison.
    Token field; ///< Field name; set for a comparison only.
    Token comparator; ///< For example "<="; set for a comparison only.
    Token value; ///< Value to compare with; set for a comparison only.
};

/** Syntax tree of a statement. Members that do not apply to the kind of the statement are empty or unset. */
struct StatementSyntax {
    StatementKind kind = StatementKind::ShowRows;
    bool isUndrain = false; ///< Whether the keyword is "undrain" instead of "drain".
    Token subject; ///< Name of the subject of a query.
    Token argument; ///< Key, name or refusal id that the statement applies to, or the JSON document of "reconfigure".
    Token number; ///< New value of a limit or quota, in tasks.
    std::optional<ConditionSyntax> where; ///< Condition of the "where" clause.
    std::optional<Token> orderBy; ///< Field of the "order by" clause.
    bool isDescending = false; ///< Whether the order is "desc".
    std::optional<Token> limit; ///< Maximum number of rows.
    std::optional<Token> ifVersion; ///< Configuration version that must be in force for the command to apply.
};

/**
 * Make a syntax error.
 * @param column Column of the error, counted in bytes from 1.
 * @param expected What the parser expected at this column.
 * @return An error with code BadInput whose field is "column N".
 */
Error makeColumnError(std::size_t column, std::string_view expected);

/**
 * Parse a statement by the grammar, without resolving names.
 * @param text Text of the statement; must outlive the result, whose tokens refer to it.
 * @return The syntax tree, or the error made by makeColumnError().
 * Thread safety: any thread.
 */
Result<StatementSyntax> parseSyntax(std::string_view text);

} // namespace Tanagertally
