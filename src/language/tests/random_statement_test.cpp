// Property tests of the parser and the printer with random statements and malformed texts.
#include "language/language_func.h"
#include "language/language_table.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <cmath>
#include <random>

using namespace Tanagertally;

namespace {

Value randomValue(const FieldInfo &field)
{
    switch (field.type) {
    case FieldType::Text:
        return *rc::gen::arbitrary<std::string>();
    case FieldType::Name:
        return std::string(*rc::gen::elementOf(std::vector<std::string_view>(field.allowedValues.begin(), field.allowedValues.end())));
    case FieldType::Number:
        return *rc::gen::suchThat<double>([](double number) { return std::isfinite(number); });
    case FieldType::TimeSpan:
        return Duration(*rc::gen::suchThat<std::int64_t>([](std::int64_t count) { return count >= 0; }));
    }
    return {};
}

Condition randomCondition(const SubjectInfo &subject, int depth)
{
    const int kind = depth == 0 ? 0 : *rc::gen::inRange(0, 5);
    if (kind < 2) {
        const FieldInfo &field = subject.fields[*rc::gen::inRange<std::size_t>(0, subject.fields.size())];
        const int comparators = field.type == FieldType::Name ? 2 : 6;
        return {Comparison{field.field, static_cast<Comparator>(*rc::gen::inRange(0, comparators)), randomValue(field)}};
    }
    std::vector<Condition> parts;
    const int count = kind == 2 ? 1 : *rc::gen::inRange(2, 4);
    for (int part = 0; part < count; ++part) {
        parts.push_back(randomCondition(subject, depth - 1));
    }
    if (kind == 2) {
        return {Negation{std::move(parts)}};
    }
    return kind == 3 ? Condition{AllOf{std::move(parts)}} : Condition{AnyOf{std::move(parts)}};
}

std::optional<Condition> randomWhere(const SubjectInfo &subject)
{
    return *rc::gen::arbitrary<bool>() ? std::optional(randomCondition(subject, 3)) : std::nullopt;
}

std::optional<ConfigVersion> randomVersion()
{
    return *rc::gen::arbitrary<bool>() ? std::optional(ConfigVersion(*rc::gen::arbitrary<std::uint64_t>())) : std::nullopt;
}

template<typename Name>
Name randomName()
{
    return Name(*rc::gen::nonEmpty<std::string>());
}

DrainTarget randomDrainTarget()
{
    switch (*rc::gen::inRange(0, 4)) {
    case 0:
        return randomName<WorkerName>();
    case 1:
        return randomName<RackName>();
    case 2:
        return randomName<InstanceName>();
    default:
        return randomName<FailureDomain>();
    }
}

Statement randomStatement(std::size_t kind)
{
    const SubjectInfo &subject = allSubjects()[*rc::gen::inRange<std::size_t>(0, allSubjects().size())];
    const auto number = *rc::gen::arbitrary<std::uint32_t>();
    switch (kind) {
    case 0: {
        ShowRows show{subject.subject, randomWhere(subject), {}, {}};
        if (*rc::gen::arbitrary<bool>()) {
            show.order = Ordering{subject.fields[number % subject.fields.size()].field, *rc::gen::arbitrary<bool>()};
        }
        if (number > 0 && *rc::gen::arbitrary<bool>()) {
            show.limit = number;
        }
        return show;
    }
    case 1:
        return ShowCount{subject.subject, randomWhere(subject)};
    case 2:
        return ExplainJob{randomName<JobKey>()};
    case 3:
        return ExplainEndpoint{randomName<WorkerName>()};
    case 4:
        return ExplainRefusal{RefusalId(*rc::gen::arbitrary<std::uint64_t>())};
    case 5:
        return CancelJob{randomName<JobKey>()};
    case 6:
        return CancelJobs{randomCondition(subjectInfo(Subject::Jobs), 3)};
    case 7:
        return Drain{randomDrainTarget(), *rc::gen::arbitrary<bool>(), randomVersion()};
    case 8:
        return SetLimit{randomName<KindName>(), number, randomVersion()};
    case 9:
        return SetQuota{randomName<TeamName>(), number, randomVersion()};
    default:
        return Reconfigure{R"({"version": )" + std::to_string(number) + R"(, "text": "}{\"\\"})", randomVersion()};
    }
}

/**
 * Parse a text and check the result: a statement must be equal to itself after printing and parsing, and the column of an error must lie
 * within the text or one past its end.
 */
void checkParse(const std::string &text)
{
    constexpr std::string_view Prefix = "column ";
    const auto result = parseStatement(text);
    if (result.has_value()) {
        const auto reparsed = parseStatement(printStatement(result.value()));
        BOOST_TEST_REQUIRE((reparsed.has_value() && reparsed.value() == result.value()), text);
        return;
    }
    BOOST_TEST_REQUIRE(result.error().field.starts_with(Prefix), text);
    const std::size_t column = std::stoul(result.error().field.substr(Prefix.size()));
    BOOST_TEST_REQUIRE((column >= 1 && column <= text.size() + 1), text);
}

const std::vector<std::string> ValidStatements = {
    R"(show jobs where state = running and team = "riyad" and age > 2s order by age desc limit 20)",
    R"(show count of tasks where not (verdict != ran or (runtime >= 1.5ms and index < -3)))",
    "explain job casablanca-1/42",
    "explain refusal 18446744073709551615",
    "cancel jobs where age > 1d and not not key = \"\\\"\\\\\"",
    "undrain endpoint w17 if version 3",
    "set limit kind lookup concurrency 100",
    "set quota team riyad 200 if version 18446744073709551615",
    R"(reconfigure {"kinds": [{"name": "}", "hedged": true}], "policy": {"retryBudget": 1e-3}} if version 4)",
};

const std::vector<std::string> Fragments
    = {"show ",  "jobs", " where ", "(",     ")",     " and ", " or ", "not ",    "state", "age", " = ", "<=",  "\"",
       "\\",     "2s",   "1e9",     "-",     ".",     "limit", "by ",  "order ",  "{",     "}",   "[",   "]",   ":",
       "count ", "of ",  "cancel ", "drain", "rack ", "if ",   "set ", "running", " ",     "\t",  "\n",  "\xff"};

} // namespace

BOOST_AUTO_TEST_CASE(PrintedStatementParsesToEqualStatement)
{
    for (std::size_t kind = 0; kind < std::variant_size_v<Statement>; ++kind) {
        BOOST_TEST(rc::check("round trip of statement kind " + std::to_string(kind), [kind] {
            const Statement statement = randomStatement(kind);
            const auto parsed = parseStatement(printStatement(statement));
            RC_ASSERT(parsed.has_value());
            RC_ASSERT(parsed.value() == statement);
        }));
    }
}

BOOST_AUTO_TEST_CASE(RandomTextDoesNotCrashParser)
{
    constexpr int Inputs = 10'000;
    std::mt19937_64 engine(20261203);
    for (int input = 0; input < Inputs; ++input) {
        std::string text;
        for (std::uint64_t count = engine() % 30; count > 0; --count) {
            text += input % 2 == 0 ? std::string(1, static_cast<char>(engine())) : Fragments[engine() % Fragments.size()];
        }
        checkParse(text);
    }
}

BOOST_AUTO_TEST_CASE(MutatedStatementDoesNotCrashParser)
{
    constexpr int Inputs = 10'000;
    std::mt19937_64 engine(42);
    for (int input = 0; input < Inputs; ++input) {
        std::string text = ValidStatements[engine() % ValidStatements.size()];
        for (std::uint64_t mutation = engine() % 4 + 1; mutation > 0 && !text.empty(); --mutation) {
            const std::size_t place = engine() % text.size();
            switch (engine() % 4) {
            case 0:
                text[place] = static_cast<char>(engine());
                break;
            case 1:
                text.erase(place, engine() % 8 + 1);
                break;
            case 2:
                text.insert(place, Fragments[engine() % Fragments.size()]);
                break;
            default:
                text += text.substr(place);
            }
        }
        checkParse(text);
    }
}

// Guards against stack overflow: without a depth limit, the parser and the code that visits conditions recurse once for each
// parenthesis or "not".
BOOST_AUTO_TEST_CASE(OversizedAndDeeplyNestedTextsDoNotCrashParser)
{
    const std::string start = "show jobs where ";
    std::string nots = start;
    for (int count = 0; count < 100'000; ++count) {
        nots += "not ";
    }
    checkParse(start + std::string(1 << 20, '('));
    checkParse(start + std::string(900'000, '('));
    checkParse(nots + "state = running");
    checkParse(start + std::string(64, '(') + "state = running" + std::string(64, ')'));
    checkParse("reconfigure {\"a\": " + std::string(500'000, '[') + std::string(500'000, ']') + "}");
    std::string chain = start + "tasks = 1";
    for (int count = 0; count < 20'000; ++count) {
        chain += " or tasks = 1";
    }
    checkParse(chain);
}
