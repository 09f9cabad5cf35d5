/** The grammar's view of a statement: tokens in their places, before names and types are checked. */
#pragma once

#include "core/result_type.h"

#include <optional>
#include <string_view>
#include <vector>

namespace Tanagertally {

/** A piece of the text: a word, a number, a quoted text with its quotes, or a JSON document. */
struct Token {
    std::string_view text; ///< Its characters.
    std::size_t column = 1; ///< Where it begins, from 1.
};

/** What a statement begins with. */
enum class Verb : std::uint8_t {
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

/** A condition as it was written. */
struct ConditionSyntax {
    /** What joins the parts. */
    enum class Kind : std::uint8_t {
        Comparison, ///< `field`, `comparator` and `value`.
        All, ///< "and".
        Any, ///< "or".
        Not, ///< "not".
    };
    Kind kind = Kind::Comparison; ///< What joins the parts.
    std::vector<ConditionSyntax> parts; ///< The parts; none for a comparison.
    Token field; ///< The field's name.
    Token comparator; ///< Such as "<=".
    Token value; ///< The value.
};

/** A statement as it was written; what a verb doesn't have is unset. */
struct StatementSyntax {
    Verb verb = Verb::ShowRows; ///< What it begins with.
    bool isUndone = false; ///< "undrain" rather than "drain".
    Token subject; ///< Name of the subject.
    Token name; ///< Key or name that it is about, or the JSON document.
    Token number; ///< Number that is set.
    std::optional<ConditionSyntax> where; ///< Condition.
    std::optional<Token> orderBy; ///< Field to order by.
    bool isDescending = false; ///< "desc".
    std::optional<Token> limit; ///< Most rows.
    std::optional<Token> ifVersion; ///< Version that has to be in force.
};

/** Make the error for a place in the text. */
Error makeColumnError(std::size_t column, std::string_view expected);

/**
 * Split a statement by the grammar.
 * @param text The text; the tokens point into it.
 * @return The tokens, or an error with the column.
 * Thread safety: any thread.
 */
Result<StatementSyntax> parseSyntax(std::string_view text);

} // namespace Tanagertally
