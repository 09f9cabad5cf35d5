// From tokens to typed statements: names are looked up and values are read by the type of their field.
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

constexpr std::uint64_t MaxWhole32 = std::numeric_limits<std::uint32_t>::max();
constexpr std::uint64_t MaxWhole64 = std::numeric_limits<std::uint64_t>::max();

bool isQuoted(const Token &token)
{
    return token.text.starts_with('"');
}

/** The entries' names as `a, b, c`. */
template<typename Entries, typename NameOf>
std::string listNames(const Entries &entries, NameOf nameOf)
{
    std::string list;
    for (const auto &entry : entries) {
        list += (list.empty() ? "" : ", ") + std::string(nameOf(entry));
    }
    return list;
}

Result<std::string> readText(const Token &token)
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
Result<Name> readName(const Token &token)
{
    BOOST_OUTCOME_TRY(auto text, readText(token));
    if (text.empty()) {
        return makeColumnError(token.column, "a name that is not empty");
    }
    return Name(std::move(text));
}

Result<std::uint64_t> readWhole(const Token &token, std::uint64_t least, std::uint64_t most)
{
    const auto number = parseWhole(token.text, most);
    if (!number || *number < least) {
        return makeColumnError(token.column, "a whole number from " + std::to_string(least) + " to " + std::to_string(most));
    }
    return *number;
}

Result<std::optional<ConfigVersion>> readVersion(const std::optional<Token> &token)
{
    if (!token) {
        return std::optional<ConfigVersion>();
    }
    BOOST_OUTCOME_TRY(const auto version, readWhole(*token, 0, MaxWhole64));
    return std::optional(ConfigVersion(version));
}

Result<const SubjectInfo *> readSubject(const Token &token)
{
    const SubjectInfo *const subject = findSubject(token.text);
    if (subject == nullptr) {
        return makeColumnError(token.column, "one of " + listNames(allSubjects(), [](const SubjectInfo &info) { return info.name; }));
    }
    return subject;
}

Result<const FieldInfo *> readField(const SubjectInfo &subject, const Token &token)
{
    const FieldInfo *const field = findField(subject, token.text);
    if (field == nullptr) {
        const std::string known = listNames(subject.fields, [](const FieldInfo &info) { return info.name; });
        return makeColumnError(token.column, "a field of " + std::string(subject.name) + ": " + known);
    }
    return field;
}

Result<Comparator> readComparator(const FieldInfo &field, const Token &token)
{
    constexpr std::pair<std::string_view, Comparator> Signs[] = {
        {"=", Comparator::Equal},        {"!=", Comparator::NotEqual}, {"<", Comparator::Less},
        {"<=", Comparator::LessOrEqual}, {">", Comparator::Greater},   {">=", Comparator::GreaterOrEqual},
    };
    for (const auto &[sign, comparator] : Signs) {
        const bool isOrdering = comparator != Comparator::Equal && comparator != Comparator::NotEqual;
        if (sign == token.text && !(isOrdering && field.type == FieldType::Name)) {
            return comparator;
        }
    }
    return makeColumnError(token.column, R"("=" or "!=", since )" + std::string(field.name) + " has no order");
}

Result<Value> readWord(const FieldInfo &field, const Token &token)
{
    BOOST_OUTCOME_TRY(auto text, readText(token));
    for (const std::string_view word : field.words) {
        if (word == text) {
            return Value(std::move(text));
        }
    }
    const std::string known = listNames(field.words, [](std::string_view word) { return word; });
    return makeColumnError(token.column, "one of " + known + " for " + std::string(field.name));
}

Result<Value> readValue(const FieldInfo &field, const Token &token)
{
    switch (field.type) {
    case FieldType::Text: {
        BOOST_OUTCOME_TRY(auto text, readText(token));
        return Value(std::move(text));
    }
    case FieldType::Name:
        return readWord(field, token);
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

Result<Condition> readCondition(const SubjectInfo &subject, const ConditionSyntax &syntax);

Result<std::vector<Condition>> readParts(const SubjectInfo &subject, const ConditionSyntax &syntax)
{
    std::vector<Condition> parts;
    parts.reserve(syntax.parts.size());
    for (const ConditionSyntax &part : syntax.parts) {
        BOOST_OUTCOME_TRY(auto condition, readCondition(subject, part));
        parts.push_back(std::move(condition));
    }
    return parts;
}

Result<Condition> readComparison(const SubjectInfo &subject, const ConditionSyntax &syntax)
{
    BOOST_OUTCOME_TRY(const FieldInfo *const field, readField(subject, syntax.field));
    BOOST_OUTCOME_TRY(const Comparator comparator, readComparator(*field, syntax.comparator));
    BOOST_OUTCOME_TRY(auto value, readValue(*field, syntax.value));
    return Condition{Comparison{field->field, comparator, std::move(value)}};
}

Result<Condition> readCondition(const SubjectInfo &subject, const ConditionSyntax &syntax)
{
    if (syntax.kind == ConditionSyntax::Kind::Comparison) {
        return readComparison(subject, syntax);
    }
    BOOST_OUTCOME_TRY(auto parts, readParts(subject, syntax));
    switch (syntax.kind) {
    case ConditionSyntax::Kind::All:
        return Condition{AllOf{std::move(parts)}};
    case ConditionSyntax::Kind::Any:
        return Condition{AnyOf{std::move(parts)}};
    default:
        return Condition{Negation{std::move(parts)}};
    }
}

Result<std::optional<Condition>> readWhere(const SubjectInfo &subject, const StatementSyntax &syntax)
{
    if (!syntax.where) {
        return std::optional<Condition>();
    }
    BOOST_OUTCOME_TRY(auto condition, readCondition(subject, *syntax.where));
    return std::optional(std::move(condition));
}

Result<Statement> readShowRows(const StatementSyntax &syntax)
{
    BOOST_OUTCOME_TRY(const SubjectInfo *const subject, readSubject(syntax.subject));
    ShowRows show;
    show.subject = subject->subject;
    BOOST_OUTCOME_TRY(show.where, readWhere(*subject, syntax));
    if (syntax.orderBy) {
        BOOST_OUTCOME_TRY(const FieldInfo *const field, readField(*subject, *syntax.orderBy));
        show.order = Ordering{field->field, syntax.isDescending};
    }
    if (syntax.limit) {
        BOOST_OUTCOME_TRY(const auto limit, readWhole(*syntax.limit, 1, MaxWhole32));
        show.limit = static_cast<std::uint32_t>(limit);
    }
    return Statement(std::move(show));
}

Result<Statement> readShowCount(const StatementSyntax &syntax)
{
    BOOST_OUTCOME_TRY(const SubjectInfo *const subject, readSubject(syntax.subject));
    BOOST_OUTCOME_TRY(auto where, readWhere(*subject, syntax));
    return Statement(ShowCount{subject->subject, std::move(where)});
}

Result<Statement> readCancelJobs(const StatementSyntax &syntax)
{
    BOOST_OUTCOME_TRY(auto where, readWhere(subjectInfo(Subject::Jobs), syntax));
    return Statement(CancelJobs{std::move(*where)});
}

template<typename Kind, typename Name>
Result<Statement> readNamed(const StatementSyntax &syntax)
{
    BOOST_OUTCOME_TRY(auto name, readName<Name>(syntax.name));
    return Statement(Kind{std::move(name)});
}

template<typename Name>
Result<Statement> readDrain(const StatementSyntax &syntax)
{
    BOOST_OUTCOME_TRY(auto name, readName<Name>(syntax.name));
    BOOST_OUTCOME_TRY(const auto version, readVersion(syntax.ifVersion));
    return Statement(Drain{std::move(name), syntax.isUndone, version});
}

template<typename Setting, typename Name>
Result<Statement> readSetting(const StatementSyntax &syntax)
{
    BOOST_OUTCOME_TRY(auto name, readName<Name>(syntax.name));
    BOOST_OUTCOME_TRY(const auto number, readWhole(syntax.number, 0, MaxWhole32));
    BOOST_OUTCOME_TRY(const auto version, readVersion(syntax.ifVersion));
    return Statement(Setting{std::move(name), static_cast<std::uint32_t>(number), version});
}

Result<Statement> readRefusal(const StatementSyntax &syntax)
{
    BOOST_OUTCOME_TRY(const auto id, readWhole(syntax.name, 0, MaxWhole64));
    return Statement(ExplainRefusal{RefusalId(id)});
}

Result<Statement> readReconfigure(const StatementSyntax &syntax)
{
    try {
        [[maybe_unused]] const auto document = nlohmann::json::parse(syntax.name.text);
    } catch (const nlohmann::json::parse_error &failure) {
        const std::size_t offset = std::min(failure.byte == 0 ? 0 : failure.byte - 1, syntax.name.text.size());
        return makeColumnError(syntax.name.column + offset, "well-formed JSON");
    } catch (const nlohmann::json::exception &) {
        return makeColumnError(syntax.name.column, "JSON whose numbers are in range");
    }
    BOOST_OUTCOME_TRY(const auto version, readVersion(syntax.ifVersion));
    return Statement(Reconfigure{std::string(syntax.name.text), version});
}

Result<Statement> readStatement(const StatementSyntax &syntax)
{
    switch (syntax.verb) {
    case Verb::ShowRows:
        return readShowRows(syntax);
    case Verb::ShowCount:
        return readShowCount(syntax);
    case Verb::ExplainJob:
        return readNamed<ExplainJob, JobKey>(syntax);
    case Verb::ExplainEndpoint:
        return readNamed<ExplainEndpoint, WorkerName>(syntax);
    case Verb::ExplainRefusal:
        return readRefusal(syntax);
    case Verb::CancelJob:
        return readNamed<CancelJob, JobKey>(syntax);
    case Verb::CancelJobs:
        return readCancelJobs(syntax);
    case Verb::DrainWorker:
        return readDrain<WorkerName>(syntax);
    case Verb::DrainRack:
        return readDrain<RackName>(syntax);
    case Verb::DrainInstance:
        return readDrain<InstanceName>(syntax);
    case Verb::DrainDomain:
        return readDrain<FailureDomain>(syntax);
    case Verb::SetLimit:
        return readSetting<SetLimit, KindName>(syntax);
    case Verb::SetQuota:
        return readSetting<SetQuota, TeamName>(syntax);
    case Verb::Reconfigure:
        return readReconfigure(syntax);
    }
    return makeColumnError(1, "a statement");
}

} // namespace

Result<Statement> parseStatement(std::string_view text)
{
    BOOST_OUTCOME_TRY(const auto syntax, parseSyntax(text));
    return readStatement(syntax);
}

} // namespace Tanagertally
