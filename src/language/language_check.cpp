// Semantic analysis: resolves names and converts values by the type of their field, which turns a syntax tree into a typed statement.
#include "language/language_func.h"
#include "language/language_syntax.h"
#include "language/language_table.h"
#include "language/language_value.h"

#include <boost/outcome/try.hpp>
#include <nlohmann/json.hpp>

#include <limits>
#include <utility>

namespace Tanagertally {

namespace {

constexpr std::uint64_t MaxUint32 = std::numeric_limits<std::uint32_t>::max();
constexpr std::uint64_t MaxUint64 = std::numeric_limits<std::uint64_t>::max();

bool isQuoted(const Token &token)
{
    return token.text.starts_with('"');
}

/** @return The names of the entries, in the form `a, b, c`. */
template<typename Entries, typename NameOf>
std::string joinNames(const Entries &entries, NameOf nameOf)
{
    std::string list;
    for (const auto &entry : entries) {
        list += (list.empty() ? "" : ", ") + std::string(nameOf(entry));
    }
    return list;
}

Result<std::string> parseText(const Token &token)
{
    if (!isQuoted(token)) {
        return std::string(token.text);
    }
    auto text = parseQuoted(token.text);
    if (!text) {
        return makeColumnError(token.column, R"(a text with no escapes but \", \\, \n, \r and \t)");
    }
    return std::move(*text);
}

template<typename Name>
Result<Name> parseName(const Token &token)
{
    BOOST_OUTCOME_TRY(auto text, parseText(token));
    if (text.empty()) {
        return makeColumnError(token.column, "a name that is not empty");
    }
    return Name(std::move(text));
}

Result<std::uint64_t> parseUnsignedInRange(const Token &token, std::uint64_t min, std::uint64_t max)
{
    const auto number = parseUnsigned(token.text, max);
    if (!number || *number < min) {
        return makeColumnError(token.column, "a whole number from " + std::to_string(min) + " to " + std::to_string(max));
    }
    return *number;
}

Result<std::optional<ConfigVersion>> parseVersion(const std::optional<Token> &token)
{
    if (!token) {
        return std::optional<ConfigVersion>();
    }
    BOOST_OUTCOME_TRY(const auto version, parseUnsignedInRange(*token, 0, MaxUint64));
    return std::optional(ConfigVersion(version));
}

Result<const SubjectInfo *> resolveSubject(const Token &token)
{
    const SubjectInfo *const subject = findSubject(token.text);
    if (subject == nullptr) {
        return makeColumnError(token.column, "one of " + joinNames(allSubjects(), [](const SubjectInfo &info) { return info.name; }));
    }
    return subject;
}

Result<const FieldInfo *> resolveField(const SubjectInfo &subject, const Token &token)
{
    const FieldInfo *const field = findField(subject, token.text);
    if (field == nullptr) {
        const std::string known = joinNames(subject.fields, [](const FieldInfo &info) { return info.name; });
        return makeColumnError(token.column, "a field of " + std::string(subject.name) + ": " + known);
    }
    return field;
}

Result<Comparator> parseComparator(const FieldInfo &field, const Token &token)
{
    constexpr std::pair<std::string_view, Comparator> Symbols[] = {
        {"=", Comparator::Equal},        {"!=", Comparator::NotEqual}, {"<", Comparator::Less},
        {"<=", Comparator::LessOrEqual}, {">", Comparator::Greater},   {">=", Comparator::GreaterOrEqual},
    };
    for (const auto &[symbol, comparator] : Symbols) {
        const bool isOrdering = comparator != Comparator::Equal && comparator != Comparator::NotEqual;
        if (symbol == token.text && !(isOrdering && field.type == FieldType::Name)) {
            return comparator;
        }
    }
    return makeColumnError(token.column, R"("=" or "!=", since )" + std::string(field.name) + " has no order");
}

Result<Value> parseEnumValue(const FieldInfo &field, const Token &token)
{
    BOOST_OUTCOME_TRY(auto text, parseText(token));
    for (const std::string_view word : field.allowedValues) {
        if (word == text) {
            return Value(std::move(text));
        }
    }
    const std::string known = joinNames(field.allowedValues, [](std::string_view word) { return word; });
    return makeColumnError(token.column, "one of " + known + " for " + std::string(field.name));
}

Result<Value> parseValue(const FieldInfo &field, const Token &token)
{
    switch (field.type) {
    case FieldType::Text: {
        BOOST_OUTCOME_TRY(auto text, parseText(token));
        return Value(std::move(text));
    }
    case FieldType::Name:
        return parseEnumValue(field, token);
    case FieldType::Number:
        if (const auto number = parseNumber(token.text)) {
            return Value(*number);
        }
        return makeColumnError(token.column, "a number for " + std::string(field.name));
    case FieldType::TimeSpan:
        if (const auto duration = parseDecimalDuration(token.text)) {
            return Value(*duration);
        }
        return makeColumnError(token.column, "a duration such as 250ms or 2s for " + std::string(field.name));
    }
    return makeColumnError(token.column, "a value");
}

Result<Condition> analyzeCondition(const SubjectInfo &subject, const ConditionSyntax &syntax);

Result<std::vector<Condition>> analyzeParts(const SubjectInfo &subject, const ConditionSyntax &syntax)
{
    std::vector<Condition> parts;
    parts.reserve(syntax.parts.size());
    for (const ConditionSyntax &part : syntax.parts) {
        BOOST_OUTCOME_TRY(auto condition, analyzeCondition(subject, part));
        parts.push_back(std::move(condition));
    }
    return parts;
}

Result<Condition> analyzeComparison(const SubjectInfo &subject, const ConditionSyntax &syntax)
{
    BOOST_OUTCOME_TRY(const FieldInfo *const field, resolveField(subject, syntax.field));
    BOOST_OUTCOME_TRY(const Comparator comparator, parseComparator(*field, syntax.comparator));
    BOOST_OUTCOME_TRY(auto value, parseValue(*field, syntax.value));
    return Condition{Comparison{field->field, comparator, std::move(value)}};
}

Result<Condition> analyzeCondition(const SubjectInfo &subject, const ConditionSyntax &syntax)
{
    if (syntax.kind == ConditionSyntax::Kind::Comparison) {
        return analyzeComparison(subject, syntax);
    }
    BOOST_OUTCOME_TRY(auto parts, analyzeParts(subject, syntax));
    switch (syntax.kind) {
    case ConditionSyntax::Kind::All:
        return Condition{AllOf{std::move(parts)}};
    case ConditionSyntax::Kind::Any:
        return Condition{AnyOf{std::move(parts)}};
    default:
        return Condition{Negation{std::move(parts)}};
    }
}

Result<std::optional<Condition>> analyzeWhere(const SubjectInfo &subject, const StatementSyntax &syntax)
{
    if (!syntax.where) {
        return std::optional<Condition>();
    }
    BOOST_OUTCOME_TRY(auto condition, analyzeCondition(subject, *syntax.where));
    return std::optional(std::move(condition));
}

Result<Statement> analyzeShowRows(const StatementSyntax &syntax)
{
    BOOST_OUTCOME_TRY(const SubjectInfo *const subject, resolveSubject(syntax.subject));
    ShowRows show;
    show.subject = subject->subject;
    BOOST_OUTCOME_TRY(show.where, analyzeWhere(*subject, syntax));
    if (syntax.orderBy) {
        BOOST_OUTCOME_TRY(const FieldInfo *const field, resolveField(*subject, *syntax.orderBy));
        show.order = Ordering{field->field, syntax.isDescending};
    }
    if (syntax.limit) {
        BOOST_OUTCOME_TRY(const auto limit, parseUnsignedInRange(*syntax.limit, 1, MaxUint32));
        show.limit = static_cast<std::uint32_t>(limit);
    }
    return Statement(std::move(show));
}

Result<Statement> analyzeShowCount(const StatementSyntax &syntax)
{
    BOOST_OUTCOME_TRY(const SubjectInfo *const subject, resolveSubject(syntax.subject));
    BOOST_OUTCOME_TRY(auto where, analyzeWhere(*subject, syntax));
    return Statement(ShowCount{subject->subject, std::move(where)});
}

Result<Statement> analyzeCancelJobs(const StatementSyntax &syntax)
{
    BOOST_OUTCOME_TRY(auto where, analyzeWhere(subjectInfo(Subject::Jobs), syntax));
    return Statement(CancelJobs{std::move(*where)});
}

template<typename Type, typename Name>
Result<Statement> analyzeNamedStatement(const StatementSyntax &syntax)
{
    BOOST_OUTCOME_TRY(auto name, parseName<Name>(syntax.argument));
    return Statement(Type{std::move(name)});
}

template<typename Name>
Result<Statement> analyzeDrain(const StatementSyntax &syntax)
{
    BOOST_OUTCOME_TRY(auto name, parseName<Name>(syntax.argument));
    BOOST_OUTCOME_TRY(const auto version, parseVersion(syntax.ifVersion));
    return Statement(Drain{std::move(name), syntax.isUndrain, version});
}

template<typename Setting, typename Name>
Result<Statement> analyzeSetting(const StatementSyntax &syntax)
{
    BOOST_OUTCOME_TRY(auto name, parseName<Name>(syntax.argument));
    BOOST_OUTCOME_TRY(const auto number, parseUnsignedInRange(syntax.number, 0, MaxUint32));
    BOOST_OUTCOME_TRY(const auto version, parseVersion(syntax.ifVersion));
    return Statement(Setting{std::move(name), static_cast<std::uint32_t>(number), version});
}

Result<Statement> analyzeExplainRefusal(const StatementSyntax &syntax)
{
    BOOST_OUTCOME_TRY(const auto id, parseUnsignedInRange(syntax.argument, 0, MaxUint64));
    return Statement(ExplainRefusal{RefusalId(id)});
}

Result<Statement> analyzeReconfigure(const StatementSyntax &syntax)
{
    try {
        [[maybe_unused]] const auto document = nlohmann::json::parse(syntax.argument.text);
    } catch (const nlohmann::json::parse_error &error) {
        const std::size_t offset = std::min(error.byte == 0 ? 0 : error.byte - 1, syntax.argument.text.size());
        return makeColumnError(syntax.argument.column + offset, "well-formed JSON");
    } catch (const nlohmann::json::exception &) {
        return makeColumnError(syntax.argument.column, "JSON whose numbers are in range");
    }
    BOOST_OUTCOME_TRY(const auto version, parseVersion(syntax.ifVersion));
    return Statement(Reconfigure{std::string(syntax.argument.text), version});
}

Result<Statement> analyzeStatement(const StatementSyntax &syntax)
{
    switch (syntax.kind) {
    case StatementKind::ShowRows:
        return analyzeShowRows(syntax);
    case StatementKind::ShowCount:
        return analyzeShowCount(syntax);
    case StatementKind::ExplainJob:
        return analyzeNamedStatement<ExplainJob, JobKey>(syntax);
    case StatementKind::ExplainEndpoint:
        return analyzeNamedStatement<ExplainEndpoint, WorkerName>(syntax);
    case StatementKind::ExplainRefusal:
        return analyzeExplainRefusal(syntax);
    case StatementKind::CancelJob:
        return analyzeNamedStatement<CancelJob, JobKey>(syntax);
    case StatementKind::CancelJobs:
        return analyzeCancelJobs(syntax);
    case StatementKind::DrainWorker:
        return analyzeDrain<WorkerName>(syntax);
    case StatementKind::DrainRack:
        return analyzeDrain<RackName>(syntax);
    case StatementKind::DrainInstance:
        return analyzeDrain<InstanceName>(syntax);
    case StatementKind::DrainDomain:
        return analyzeDrain<FailureDomain>(syntax);
    case StatementKind::SetLimit:
        return analyzeSetting<SetLimit, KindName>(syntax);
    case StatementKind::SetQuota:
        return analyzeSetting<SetQuota, TeamName>(syntax);
    case StatementKind::Reconfigure:
        return analyzeReconfigure(syntax);
    }
    return makeColumnError(1, "a statement");
}

} // namespace

Result<Statement> parseStatement(std::string_view text)
{
    BOOST_OUTCOME_TRY(const auto syntax, parseSyntax(text));
    return analyzeStatement(syntax);
}

} // namespace Tanagertally
