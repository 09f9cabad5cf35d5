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

using Iterator = TextPlace;

constexpr std::size_t MaxTextBytes = 1UL << 20;
constexpr std::size_t MaxConditionDepth = 64;

/** What the parsers expected at the furthest place that any of them reached. */
struct Expectations {
    Iterator place = nullptr; ///< The place.
    std::vector<std::string_view> names; ///< What was expected there, without repetitions.

    void add(Iterator where, std::string_view name)
    {
        if (where > this->place || this->place == nullptr) {
            this->place = where;
            this->names.clear();
        }
        if (where == this->place && std::find(this->names.begin(), this->names.end(), name) == this->names.end()) {
            this->names.push_back(name);
        }
    }

    /** @return Such as `"and", "or" or the end`. */
    std::string list() const
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

/** What the semantic actions build. */
struct Builder {
    StatementSyntax statement; ///< The statement.
    Expectations expectations; ///< For the error, if there is one.
    Iterator begin = nullptr; ///< Start of the text.
    std::vector<ConditionSyntax> conditions; ///< Conditions that are not yet part of another.
    std::vector<std::size_t> chains; ///< Size of `conditions` at the start of each chain that is being read.
    std::vector<std::size_t> negations = {0}; ///< "not"s before the present operand; one number for each open bracket.
    ConditionSyntax comparison; ///< The comparison that is being read.
    bool isTooDeep = false; ///< Whether there were too many open brackets.

    std::size_t column(Iterator place) const
    {
        return static_cast<std::size_t>(place - this->begin) + 1;
    }
    Token token(std::string_view text) const
    {
        return {text, this->column(text.data())};
    }
};

struct BuilderTag;

Builder &builderOf(const auto &context)
{
    return x3::get<BuilderTag>(context).get();
}

/** A parser of one token, with a name for errors; its attribute is the text that it took. */
struct Scanner : x3::parser<Scanner> {
    using attribute_type = std::string_view; // NOLINT(readability-identifier-naming)
    static constexpr bool has_attribute = true; // NOLINT(readability-identifier-naming)
    using Scan = bool (*)(Iterator &, Iterator); ///< Takes characters, or leaves the place as it is.

    Scan scan; ///< What takes the token.
    std::string_view name; ///< What it is called in errors.
    std::string_view only; ///< The only text that it takes, if not empty.

    constexpr Scanner(Scan function, std::string_view called, std::string_view word = {})
        : scan(function)
        , name(called)
        , only(word)
    {
    }

    template<typename Context, typename RuleContext, typename Attribute>
    bool parse(Iterator &first, const Iterator &last, const Context &context, const RuleContext & /*rules*/, Attribute &attribute) const
    {
        Iterator place = first;
        x3::skip_over(place, last, context);
        const Iterator start = place;
        if (this->scan(place, last)) {
            const std::string_view text(start, static_cast<std::size_t>(place - start));
            if (this->only.empty() || text == this->only) {
                x3::traits::move_to(text, attribute);
                first = place;
                return true;
            }
        }
        builderOf(context).expectations.add(start, this->name);
        return false;
    }
};

/** A keyword; the name is the keyword in quotes. */
constexpr Scanner keyword(std::string_view quoted)
{
    return {scanWord, quoted, quoted.substr(1, quoted.size() - 2)};
}

/** An action that keeps the token in a member of the statement. */
template<typename Member>
auto keep(Member StatementSyntax::*member)
{
    return [member](auto &context) {
        Builder &builder = builderOf(context);
        builder.statement.*member = builder.token(x3::_attr(context));
    };
}

/** An action that keeps the token in a member of the present comparison. */
auto remember(Token ConditionSyntax::*member)
{
    return [member](auto &context) {
        Builder &builder = builderOf(context);
        builder.comparison.*member = builder.token(x3::_attr(context));
    };
}

auto set(Verb verb)
{
    return [verb](auto &context) { builderOf(context).statement.verb = verb; };
}

auto raise(bool StatementSyntax::*flag)
{
    return [flag](auto &context) { builderOf(context).statement.*flag = true; };
}

auto startChain()
{
    return [](auto &context) {
        Builder &builder = builderOf(context);
        builder.chains.push_back(builder.conditions.size());
    };
}

/** An action that makes the conditions of a chain, if there are several, parts of one. */
auto endChain(ConditionSyntax::Kind kind)
{
    return [kind](auto &context) {
        Builder &builder = builderOf(context);
        const auto start = builder.conditions.begin() + static_cast<std::ptrdiff_t>(builder.chains.back());
        builder.chains.pop_back();
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

auto countNot()
{
    return [](auto &context) {
        Builder &builder = builderOf(context);
        ++builder.negations.back();
        builder.isTooDeep = builder.isTooDeep || builder.negations.back() > MaxConditionDepth;
        x3::_pass(context) = !builder.isTooDeep;
    };
}

/** An action that wraps the last condition in the "not"s that stood before it. */
auto applyNots()
{
    return [](auto &context) {
        Builder &builder = builderOf(context);
        for (; builder.negations.back() > 0; --builder.negations.back()) {
            ConditionSyntax negation;
            negation.kind = ConditionSyntax::Kind::Not;
            negation.parts.push_back(std::move(builder.conditions.back()));
            builder.conditions.back() = std::move(negation);
        }
    };
}

auto openBracket()
{
    return [](auto &context) {
        Builder &builder = builderOf(context);
        builder.negations.push_back(0);
        builder.isTooDeep = builder.isTooDeep || builder.negations.size() > MaxConditionDepth;
        x3::_pass(context) = !builder.isTooDeep;
    };
}

auto closeBracket()
{
    return [](auto &context) { builderOf(context).negations.pop_back(); };
}

auto pushComparison()
{
    return [](auto &context) {
        Builder &builder = builderOf(context);
        builder.conditions.push_back(builder.comparison);
    };
}

auto keepCondition()
{
    return [](auto &context) {
        Builder &builder = builderOf(context);
        builder.statement.where = std::move(builder.conditions.back());
        builder.conditions.pop_back();
    };
}

} // namespace

// What follows a keyword is required (">"), so that no action has to be undone.
namespace LanguageGrammar {

const Scanner Name(scanToken, "a name");
const Scanner Number(scanWord, "a number");
const Scanner Subject(scanWord, "a subject");
const Scanner Field(scanWord, "a field");
const Scanner Comparator(scanComparator, R"("=", "!=", "<", "<=", ">", ">=")");
const Scanner Value(scanToken, "a value");
const Scanner Document(scanDocument, "a JSON document in braces");
const Scanner Opening(scanOpening, "\"(\"");
const Scanner Closing(scanClosing, "\")\"");
const Scanner End(scanEnd, "the end");

struct ConditionTag;
const x3::rule<ConditionTag> Condition = "condition";

const auto Comparison = Field[remember(&ConditionSyntax::field)] > Comparator[remember(&ConditionSyntax::comparator)]
                        > Value[remember(&ConditionSyntax::value)] > x3::eps[pushComparison()];
const auto Bracket = Opening[openBracket()] > Condition > Closing[closeBracket()];
const auto Operand = *keyword("\"not\"")[countNot()] >> (Bracket | Comparison) >> x3::eps[applyNots()];
const auto ChainOfAnd
    = x3::eps[startChain()] >> Operand >> *(keyword("\"and\"") > Operand) >> x3::eps[endChain(ConditionSyntax::Kind::All)];
const auto Condition_def // NOLINT(readability-identifier-naming)
    = x3::eps[startChain()] >> ChainOfAnd >> *(keyword("\"or\"") > ChainOfAnd) >> x3::eps[endChain(ConditionSyntax::Kind::Any)];

BOOST_SPIRIT_DEFINE(Condition)

const auto Where = keyword("\"where\"") > Condition > x3::eps[keepCondition()];
const auto IfVersion = keyword("\"if\"") > keyword("\"version\"") > Number[keep(&StatementSyntax::ifVersion)];

const auto Direction = keyword("\"asc\"") | keyword("\"desc\"")[raise(&StatementSyntax::isDescending)];
const auto Order = keyword("\"order\"") > keyword("\"by\"") > Field[keep(&StatementSyntax::orderBy)] > -Direction;
const auto Limit = keyword("\"limit\"") > Number[keep(&StatementSyntax::limit)];
const auto ShowCount = keyword("\"count\"")[set(Verb::ShowCount)] > keyword("\"of\"") > Subject[keep(&StatementSyntax::subject)] > -Where;
const auto ShowRows = Subject[keep(&StatementSyntax::subject)] > x3::eps[set(Verb::ShowRows)] > -Where > -Order > -Limit;
const auto Show = keyword("\"show\"") > (ShowCount | ShowRows);

const auto Explained = keyword("\"job\"")[set(Verb::ExplainJob)] | keyword("\"endpoint\"")[set(Verb::ExplainEndpoint)]
                       | keyword("\"refusal\"")[set(Verb::ExplainRefusal)];
const auto Explain = keyword("\"explain\"") > Explained > Name[keep(&StatementSyntax::name)];

const auto CancelJob = keyword("\"job\"")[set(Verb::CancelJob)] > Name[keep(&StatementSyntax::name)];
const auto CancelJobs = keyword("\"jobs\"")[set(Verb::CancelJobs)] > Where;
const auto Cancel = keyword("\"cancel\"") > (CancelJob | CancelJobs);

const auto Drained = keyword("\"endpoint\"")[set(Verb::DrainWorker)] | keyword("\"worker\"")[set(Verb::DrainWorker)]
                     | keyword("\"rack\"")[set(Verb::DrainRack)] | keyword("\"instance\"")[set(Verb::DrainInstance)]
                     | keyword("\"domain\"")[set(Verb::DrainDomain)];
const auto DrainVerb = keyword("\"drain\"") | keyword("\"undrain\"")[raise(&StatementSyntax::isUndone)];
const auto Drain = DrainVerb > Drained > Name[keep(&StatementSyntax::name)] > -IfVersion;

const auto SetLimit = keyword("\"limit\"")[set(Verb::SetLimit)] > keyword("\"kind\"") > Name[keep(&StatementSyntax::name)]
                      > keyword("\"concurrency\"") > Number[keep(&StatementSyntax::number)];
const auto SetQuota = keyword("\"quota\"")[set(Verb::SetQuota)] > keyword("\"team\"") > Name[keep(&StatementSyntax::name)]
                      > Number[keep(&StatementSyntax::number)];
const auto Setting = keyword("\"set\"") > (SetLimit | SetQuota) > -IfVersion;

const auto Reconfigure = keyword("\"reconfigure\"")[set(Verb::Reconfigure)] > Document[keep(&StatementSyntax::name)] > -IfVersion;

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
    const std::string place = "column " + std::to_string(column);
    return makeError(ErrorCode::BadInput, place + ": expected " + std::string(expected), place);
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
        return makeColumnError(builder.column(builder.expectations.place), "fewer \"not\"s or brackets inside each other");
    }
    return makeColumnError(builder.column(builder.expectations.place), builder.expectations.list());
}

} // namespace Tanagertally
