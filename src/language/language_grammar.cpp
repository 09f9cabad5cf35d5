#include "language/language_scanner.h"
#include "language/language_syntax.h"

#include <boost/spirit/home/x3.hpp>

#include <algorithm>
#include <functional>
#include <iterator>
#include <string>
#include <utility>

namespace Tanagertally {

namespace {

namespace x3 = boost::spirit::x3;

using Iterator = TextIterator;

constexpr std::size_t MaxTextBytes = 1UL << 20;
constexpr std::size_t MaxConditionDepth = 64;

/** Tokens that were expected at the furthest position any parser reached; they make up the error message. */
struct Expectations {
    Iterator position = nullptr; ///< Furthest position at which a token was expected; null if there is none.
    std::vector<std::string_view> names; ///< Descriptions of the tokens expected there, without duplicates.

    void add(Iterator where, std::string_view name)
    {
        if (where > this->position || this->position == nullptr) {
            this->position = where;
            this->names.clear();
        }
        if (where == this->position && std::find(this->names.begin(), this->names.end(), name) == this->names.end()) {
            this->names.push_back(name);
        }
    }

    /** @return The descriptions as a list, such as `"and", "or" or the end`. */
    std::string format() const
    {
        std::string text;
        for (std::size_t index = 0; index < this->names.size(); ++index) {
            if (index > 0) {
                text += index + 1 == this->names.size() ? " or " : ", ";
            }
            text += this->names[index];
        }
        return text;
    }
};

/** State of the semantic actions while a statement is parsed. */
struct Builder {
    StatementSyntax statement; ///< Syntax tree built so far.
    Expectations expectations; ///< Source of the error message if parsing fails.
    Iterator begin = nullptr; ///< Start of the text.
    std::vector<ConditionSyntax> conditions; ///< Stack of parsed conditions that are not yet operands of another.
    std::vector<std::size_t> chainStarts; ///< For each open chain of operands: the size of `conditions` at its start.
    std::vector<std::size_t> negationCounts = {0}; ///< Number of "not"s before the current operand, for each nesting level of parentheses.
    ConditionSyntax comparison; ///< Comparison that is being parsed.
    bool isTooDeep = false; ///< Whether "not"s or parentheses exceed `MaxConditionDepth`; the limit bounds recursion over conditions.

    std::size_t columnOf(Iterator position) const
    {
        return static_cast<std::size_t>(position - this->begin) + 1;
    }
    Token makeToken(std::string_view text) const
    {
        return {text, this->columnOf(text.data())};
    }
};

struct BuilderTag;

Builder &builderOf(const auto &context)
{
    return x3::get<BuilderTag>(context).get();
}

/** X3 parser of one token; its attribute is the text of the token. */
struct TokenParser : x3::parser<TokenParser> {
    using attribute_type = std::string_view; // NOLINT(readability-identifier-naming)
    static constexpr bool has_attribute = true; // NOLINT(readability-identifier-naming)
    using ScanFunction = bool (*)(Iterator &, Iterator); ///< Type of the functions in language_scanner.h.

    ScanFunction scan;
    std::string_view name; ///< Description of the token in error messages.
    std::string_view requiredText; ///< If not empty, the only text that the parser accepts.

    constexpr TokenParser(ScanFunction function, std::string_view tokenName, std::string_view required = {})
        : scan(function)
        , name(tokenName)
        , requiredText(required)
    {
    }

    template<typename Context, typename RuleContext, typename Attribute>
    bool parse(Iterator &first, const Iterator &last, const Context &context, const RuleContext & /*rules*/, Attribute &attribute) const
    {
        Iterator position = first;
        x3::skip_over(position, last, context);
        const Iterator start = position;
        if (this->scan(position, last)) {
            const std::string_view text(start, static_cast<std::size_t>(position - start));
            if (this->requiredText.empty() || text == this->requiredText) {
                x3::traits::move_to(text, attribute);
                first = position;
                return true;
            }
        }
        builderOf(context).expectations.add(start, this->name);
        return false;
    }
};

/**
 * Make a parser of a keyword.
 * @param quoted The keyword in double quotes, as error messages list it.
 * @return The parser.
 */
constexpr TokenParser keyword(std::string_view quoted)
{
    return {scanWord, quoted, quoted.substr(1, quoted.size() - 2)};
}

/** @return A semantic action that stores the token in a member of the statement. */
template<typename Member>
auto storeToken(Member StatementSyntax::*member)
{
    return [member](auto &context) {
        Builder &builder = builderOf(context);
        builder.statement.*member = builder.makeToken(x3::_attr(context));
    };
}

/** @return A semantic action that stores the token in a member of the current comparison. */
auto storeComparisonToken(Token ConditionSyntax::*member)
{
    return [member](auto &context) {
        Builder &builder = builderOf(context);
        builder.comparison.*member = builder.makeToken(x3::_attr(context));
    };
}

auto setKind(StatementKind kind)
{
    return [kind](auto &context) { builderOf(context).statement.kind = kind; };
}

auto setFlag(bool StatementSyntax::*flag)
{
    return [flag](auto &context) { builderOf(context).statement.*flag = true; };
}

auto startChain()
{
    return [](auto &context) {
        Builder &builder = builderOf(context);
        builder.chainStarts.push_back(builder.conditions.size());
    };
}

/** @return A semantic action that joins the conditions of the innermost chain, if it has several, into one condition of this kind. */
auto endChain(ConditionSyntax::Kind kind)
{
    return [kind](auto &context) {
        Builder &builder = builderOf(context);
        const auto start = builder.conditions.begin() + static_cast<std::ptrdiff_t>(builder.chainStarts.back());
        builder.chainStarts.pop_back();
        if (builder.conditions.end() - start < 2) {
            return;
        }
        ConditionSyntax joined;
        joined.kind = kind;
        joined.parts.assign(std::make_move_iterator(start), std::make_move_iterator(builder.conditions.end()));
        builder.conditions.erase(start, builder.conditions.end());
        builder.conditions.push_back(std::move(joined));
    };
}

auto countNegation()
{
    return [](auto &context) {
        Builder &builder = builderOf(context);
        ++builder.negationCounts.back();
        builder.isTooDeep = builder.isTooDeep || builder.negationCounts.back() > MaxConditionDepth;
        x3::_pass(context) = !builder.isTooDeep;
    };
}

/** @return A semantic action that wraps the last condition in one negation for each "not" before it. */
auto applyNegations()
{
    return [](auto &context) {
        Builder &builder = builderOf(context);
        for (; builder.negationCounts.back() > 0; --builder.negationCounts.back()) {
            ConditionSyntax negation;
            negation.kind = ConditionSyntax::Kind::Not;
            negation.parts.push_back(std::move(builder.conditions.back()));
            builder.conditions.back() = std::move(negation);
        }
    };
}

auto openParenthesis()
{
    return [](auto &context) {
        Builder &builder = builderOf(context);
        builder.negationCounts.push_back(0);
        builder.isTooDeep = builder.isTooDeep || builder.negationCounts.size() > MaxConditionDepth;
        x3::_pass(context) = !builder.isTooDeep;
    };
}

auto closeParenthesis()
{
    return [](auto &context) { builderOf(context).negationCounts.pop_back(); };
}

auto pushComparison()
{
    return [](auto &context) {
        Builder &builder = builderOf(context);
        builder.conditions.push_back(builder.comparison);
    };
}

auto storeCondition()
{
    return [](auto &context) {
        Builder &builder = builderOf(context);
        builder.statement.where = std::move(builder.conditions.back());
        builder.conditions.pop_back();
    };
}

} // namespace

// Semantic actions cannot be rolled back, so tokens after a keyword use the expectation operator (">"), which rules out backtracking.
namespace LanguageGrammar {

const TokenParser Name(scanWordOrQuoted, "a name");
const TokenParser Number(scanWord, "a number");
const TokenParser Subject(scanWord, "a subject");
const TokenParser Field(scanWord, "a field");
const TokenParser Comparator(scanComparator, R"("=", "!=", "<", "<=", ">", ">=")");
const TokenParser Value(scanWordOrQuoted, "a value");
const TokenParser Document(scanDocument, "a JSON document in braces");
const TokenParser OpeningParenthesis(scanOpeningParenthesis, "\"(\"");
const TokenParser ClosingParenthesis(scanClosingParenthesis, "\")\"");
const TokenParser End(scanEnd, "the end");

struct ConditionTag;
const x3::rule<ConditionTag> Condition = "condition";

const auto Comparison = Field[storeComparisonToken(&ConditionSyntax::field)]
                        > Comparator[storeComparisonToken(&ConditionSyntax::comparator)]
                        > Value[storeComparisonToken(&ConditionSyntax::value)] > x3::eps[pushComparison()];
const auto Parenthesized = OpeningParenthesis[openParenthesis()] > Condition > ClosingParenthesis[closeParenthesis()];
const auto Operand = *keyword("\"not\"")[countNegation()] >> (Parenthesized | Comparison) >> x3::eps[applyNegations()];
const auto Conjunction
    = x3::eps[startChain()] >> Operand >> *(keyword("\"and\"") > Operand) >> x3::eps[endChain(ConditionSyntax::Kind::All)];
const auto Condition_def // NOLINT(readability-identifier-naming)
    = x3::eps[startChain()] >> Conjunction >> *(keyword("\"or\"") > Conjunction) >> x3::eps[endChain(ConditionSyntax::Kind::Any)];

BOOST_SPIRIT_DEFINE(Condition)

const auto Where = keyword("\"where\"") > Condition > x3::eps[storeCondition()];
const auto IfVersion = keyword("\"if\"") > keyword("\"version\"") > Number[storeToken(&StatementSyntax::ifVersion)];

const auto Direction = keyword("\"asc\"") | keyword("\"desc\"")[setFlag(&StatementSyntax::isDescending)];
const auto Order = keyword("\"order\"") > keyword("\"by\"") > Field[storeToken(&StatementSyntax::orderBy)] > -Direction;
const auto Limit = keyword("\"limit\"") > Number[storeToken(&StatementSyntax::limit)];
const auto ShowCount
    = keyword("\"count\"")[setKind(StatementKind::ShowCount)] > keyword("\"of\"") > Subject[storeToken(&StatementSyntax::subject)] > -Where;
const auto ShowRows = Subject[storeToken(&StatementSyntax::subject)] > x3::eps[setKind(StatementKind::ShowRows)] > -Where > -Order > -Limit;
const auto Show = keyword("\"show\"") > (ShowCount | ShowRows);

const auto ExplainTargetKind = keyword("\"job\"")[setKind(StatementKind::ExplainJob)]
                               | keyword("\"endpoint\"")[setKind(StatementKind::ExplainEndpoint)]
                               | keyword("\"refusal\"")[setKind(StatementKind::ExplainRefusal)];
const auto Explain = keyword("\"explain\"") > ExplainTargetKind > Name[storeToken(&StatementSyntax::argument)];

const auto CancelJob = keyword("\"job\"")[setKind(StatementKind::CancelJob)] > Name[storeToken(&StatementSyntax::argument)];
const auto CancelJobs = keyword("\"jobs\"")[setKind(StatementKind::CancelJobs)] > Where;
const auto Cancel = keyword("\"cancel\"") > (CancelJob | CancelJobs);

const auto DrainTargetKind
    = keyword("\"endpoint\"")[setKind(StatementKind::DrainWorker)] | keyword("\"worker\"")[setKind(StatementKind::DrainWorker)]
      | keyword("\"rack\"")[setKind(StatementKind::DrainRack)] | keyword("\"instance\"")[setKind(StatementKind::DrainInstance)]
      | keyword("\"domain\"")[setKind(StatementKind::DrainDomain)];
const auto DrainVerb = keyword("\"drain\"") | keyword("\"undrain\"")[setFlag(&StatementSyntax::isUndrain)];
const auto Drain = DrainVerb > DrainTargetKind > Name[storeToken(&StatementSyntax::argument)] > -IfVersion;

const auto SetLimit = keyword("\"limit\"")[setKind(StatementKind::SetLimit)] > keyword("\"kind\"")
                      > Name[storeToken(&StatementSyntax::argument)] > keyword("\"concurrency\"")
                      > Number[storeToken(&StatementSyntax::number)];
const auto SetQuota = keyword("\"quota\"")[setKind(StatementKind::SetQuota)] > keyword("\"team\"")
                      > Name[storeToken(&StatementSyntax::argument)] > Number[storeToken(&StatementSyntax::number)];
const auto Setting = keyword("\"set\"") > (SetLimit | SetQuota) > -IfVersion;

const auto Reconfigure
    = keyword("\"reconfigure\"")[setKind(StatementKind::Reconfigure)] > Document[storeToken(&StatementSyntax::argument)] > -IfVersion;

const auto Statement = (Show | Explain | Cancel | Drain | Setting | Reconfigure) > End;
const auto Whitespace = x3::char_(" \t\r\n");

} // namespace LanguageGrammar

namespace {

bool parseAll(std::string_view text, Builder &builder)
{
    Iterator first = text.data();
    const Iterator last = first + text.size();
    const auto parser = x3::with<BuilderTag>(std::ref(builder))[LanguageGrammar::Statement];
    try {
        return x3::phrase_parse(first, last, parser, LanguageGrammar::Whitespace);
    } catch (const x3::expectation_failure<Iterator> &) {
        return false;
    }
}

} // namespace

Error makeColumnError(std::size_t column, std::string_view expected)
{
    const std::string field = "column " + std::to_string(column);
    return makeError(ErrorCode::BadInput, field + ": expected " + std::string(expected), field);
}

Result<StatementSyntax> parseSyntax(std::string_view text)
{
    if (text.size() > MaxTextBytes) {
        return makeColumnError(MaxTextBytes + 1, "no more than 1 MiB of text");
    }
    if (text.data() == nullptr) {
        text = "";
    }
    Builder builder;
    builder.begin = text.data();
    if (parseAll(text, builder)) {
        return std::move(builder.statement);
    }
    if (builder.isTooDeep) {
        return makeColumnError(builder.columnOf(builder.expectations.position), "fewer \"not\"s or brackets inside each other");
    }
    return makeColumnError(builder.columnOf(builder.expectations.position), builder.expectations.format());
}

} // namespace Tanagertally
