#define BOOST_TEST_MODULE language
#include "language/language_func.h"
#include "language/language_table.h"

#include <boost/test/unit_test.hpp>

#include <fstream>

using namespace Tanagertally;
using namespace std::chrono_literals;

namespace {

/** Parse a statement; fails the test if the text is malformed. */
Statement parseValid(std::string_view text)
{
    auto result = parseStatement(text);
    BOOST_TEST_REQUIRE(result.has_value(), text << ": " << (result.has_error() ? result.error().message : ""));
    return std::move(result.value());
}

/** Parse a condition on the fields of jobs; fails the test if the text is malformed. */
Condition parseCondition(std::string_view text)
{
    return std::get<CancelJobs>(parseValid("cancel jobs where " + std::string(text))).where;
}

/** @return The non-empty lines of a section of docs/LANGUAGE.md. */
std::vector<std::string> readSection(const std::string &heading)
{
    std::ifstream page(LANGUAGE_PAGE);
    std::vector<std::string> lines;
    bool isInside = false;
    for (std::string line; std::getline(page, line);) {
        if (line.starts_with("## ")) {
            isInside = line == "## " + heading;
        } else if (isInside && !line.empty()) {
            lines.push_back(line);
        }
    }
    return lines;
}

/** A malformed statement with the column and a part of the message of its error. */
struct InvalidStatement {
    std::string_view text;
    std::size_t column;
    std::string_view expected;
};

constexpr InvalidStatement InvalidStatements[] = {
    {"", 1, "\"show\", \"explain\""},
    {"   ", 4, "\"show\""},
    {"sho jobs", 1, "\"show\""},
    {"show", 5, "\"count\" or a subject"},
    {"show cows", 6, "one of jobs, tasks"},
    {"show jobs wher state = running", 11, "\"where\", \"order\", \"limit\" or the end"},
    {"show jobs where", 16, "a field"},
    {"show jobs where state", 22, "\"=\""},
    {"show jobs where state =", 24, "a value"},
    {"show jobs where state == running", 24, "a value"},
    {"show jobs where state = running and", 36, "a field"},
    {"show jobs where (state = running", 33, "\"and\", \"or\" or \")\""},
    {"show jobs where foo = 1", 17, "a field of jobs: key"},
    {"show teams where state = live", 18, "a field of teams"},
    {"show jobs where state < running", 23, "\"=\" or \"!=\""},
    {"show jobs where state = runing", 25, "one of pending, running"},
    {"show jobs where age > 5", 23, "a duration"},
    {"show jobs where age > \"5s\"", 23, "a duration"},
    {"show jobs where age > 99999999999d", 23, "a duration"},
    {"show jobs where tasks > 5s", 25, "a number"},
    {"show jobs where tasks = \"5\"", 25, "a number"},
    {"show jobs where team = \"open", 24, "a value"},
    {"show jobs where team = \"\\x\"", 24, "escapes"},
    {"show jobs order age", 17, "\"by\""},
    {"show jobs order by size", 20, "a field of jobs"},
    {"show jobs limit 0", 17, "from 1 to"},
    {"show jobs limit 4294967296", 17, "from 1 to"},
    {"show jobs limit 5 x", 19, "the end"},
    {"show count of jobs limit 5", 20, "\"where\" or the end"},
    {"explain refusal x", 17, "a whole number"},
    {"explain job \"\"", 13, "not empty"},
    {"cancel jobs", 12, "\"where\""},
    {"cancel tasks where job = x", 8, "\"job\" or \"jobs\""},
    {"drain shelf s1", 7, "\"endpoint\", \"worker\", \"rack\", \"instance\" or \"domain\""},
    {"drain rack r1 if version -1", 26, "a whole number"},
    {"set limit kind lookup 5", 23, "\"concurrency\""},
    {"set quota team riyad lots", 22, "a whole number"},
    {"reconfigure {\"kinds\": [,]}", 24, "JSON"},
    {"reconfigure {\"kinds\"", 13, "a JSON document"},
    {"reconfigure [1]", 13, "a JSON document"},
};

} // namespace

BOOST_AUTO_TEST_CASE(ErrorReportsColumnAndExpectation)
{
    for (const auto &[text, column, expected] : InvalidStatements) {
        const auto result = parseStatement(text);
        BOOST_TEST_REQUIRE(result.has_error(), text);
        BOOST_TEST_CONTEXT(text)
        {
            BOOST_TEST(result.error().field == "column " + std::to_string(column));
            BOOST_TEST((result.error().code == ErrorCode::BadInput));
            BOOST_TEST(result.error().message.find(expected) != std::string::npos, result.error().message);
        }
    }
}

BOOST_AUTO_TEST_CASE(ParserProducesTypedStatements)
{
    const auto show
        = std::get<ShowRows>(parseValid("show jobs where state = running or team != riyad and age > 1.5s order by age desc limit 20"));
    BOOST_TEST((show.subject == Subject::Jobs));
    const Condition state{Comparison{Field::State, Comparator::Equal, "running"}};
    const Condition team{Comparison{Field::Team, Comparator::NotEqual, "riyad"}};
    const Condition age{Comparison{Field::Age, Comparator::Greater, Duration(1500ms)}};
    BOOST_TEST((show.where == Condition{AnyOf{{state, Condition{AllOf{{team, age}}}}}}));
    BOOST_TEST((show.order == Ordering{Field::Age, true}));
    BOOST_TEST((show.limit == 20U));
    BOOST_TEST((parseCondition("not not state = running") == Condition{Negation{{Condition{Negation{{state}}}}}}));
    BOOST_TEST((parseCondition("not (state = running) and team != riyad") == Condition{AllOf{{Condition{Negation{{state}}}, team}}}));
    BOOST_TEST((std::get<ShowCount>(parseValid("show count of teams")) == ShowCount{Subject::Teams, {}}));
    BOOST_TEST((std::get<ExplainJob>(parseValid("explain job \"a \\\"b\\\"\\\\\"")) == ExplainJob{JobKey("a \"b\"\\")}));
    BOOST_TEST((std::get<ExplainRefusal>(parseValid("explain refusal 7")) == ExplainRefusal{RefusalId(7)}));
    BOOST_TEST((std::get<CancelJob>(parseValid("cancel job where")) == CancelJob{JobKey("where")}));
    BOOST_TEST((std::get<Drain>(parseValid("drain endpoint w1")) == Drain{WorkerName("w1"), false, {}}));
    BOOST_TEST((std::get<Drain>(parseValid("undrain domain d if version 3")) == Drain{FailureDomain("d"), true, ConfigVersion(3)}));
    BOOST_TEST((std::get<SetLimit>(parseValid("set limit kind lookup concurrency 100")) == SetLimit{KindName("lookup"), 100, {}}));
    BOOST_TEST((std::get<SetQuota>(parseValid("set quota team riyad 200")) == SetQuota{TeamName("riyad"), 200, {}}));
    const std::string json = R"({"a": "}", "b": {"c": "\"{"}})";
    BOOST_TEST((std::get<Reconfigure>(parseValid("reconfigure " + json + " if version 4")) == Reconfigure{json, ConfigVersion(4)}));
}

BOOST_AUTO_TEST_CASE(DurationsAreParsedWithoutRounding)
{
    const auto duration
        = [](const std::string &text) { return std::get<Duration>(std::get<Comparison>(parseCondition("age = " + text).node).value); };
    BOOST_TEST((duration("0.000000001s") == 1ns));
    BOOST_TEST((duration("2h") == 2h));
    BOOST_TEST((duration("1.5m") == 90s));
    BOOST_TEST((duration("1d") == 24h));
    BOOST_TEST((duration("106751d") == std::chrono::hours(24 * 106751)));
    BOOST_TEST(parseStatement("show jobs where age = 0.5ns").has_error());
    BOOST_TEST(parseStatement("show jobs where age = 1.0000000001s").has_error());
    BOOST_TEST(parseStatement("show jobs where age = 1.00000000001s").has_error());
    BOOST_TEST(parseStatement("show jobs where age = 106752d").has_error());
    BOOST_TEST(parseStatement("show jobs where age = 106751.9999d").has_error());
}

BOOST_AUTO_TEST_CASE(ConditionIsEvaluatedOnRow)
{
    const Row row = {{Field::State, "running"}, {Field::Team, "riyad"}, {Field::Age, Duration(2s)}, {Field::Tasks, 5.0}};
    for (const std::string_view text :
         {"state = running", "state != pending", "team < s", "team >= riyad", "age > 1999ms", "age <= 2s", "tasks = 5", "tasks != 4.5",
          "not tasks < 5", "state = pending or age = 2s", "state = running and (team = x or tasks > 4)", "outcome != failed",
          "not outcome = failed", "not timeout > 1s", "not timeout <= 1s"}) {
        BOOST_TEST(matchesCondition(parseCondition(text), row), text);
        BOOST_TEST(!matchesCondition(parseCondition("not (" + std::string(text) + ")"), row), text);
    }
    const Row mistyped = {{Field::Tasks, "five"}};
    BOOST_TEST(!matchesCondition(parseCondition("tasks = 5 or tasks < 5 or tasks > 5"), mistyped));
    BOOST_TEST(matchesCondition(parseCondition("tasks != 5"), mistyped));
}

BOOST_AUTO_TEST_CASE(SelectRowsFiltersOrdersAndLimits)
{
    const std::vector<Row> rows = {{{Field::Key, "a"}, {Field::Age, Duration(1s)}},
                                   {{Field::Key, "b"}},
                                   {{Field::Key, "c"}, {Field::Age, Duration(3s)}},
                                   {{Field::Key, "d"}, {Field::Age, Duration(1s)}}};
    const auto keys = [&](std::string_view query) {
        std::string list;
        for (const Row &row : selectRows(std::get<ShowRows>(parseValid(query)), rows)) {
            list += std::get<std::string>(fieldValue(row, Field::Key));
        }
        return list;
    };
    BOOST_TEST(keys("show jobs") == "abcd");
    BOOST_TEST(keys("show jobs order by age") == "adcb");
    BOOST_TEST(keys("show jobs order by age desc") == "cadb");
    BOOST_TEST(keys("show jobs order by age desc limit 2") == "ca");
    BOOST_TEST(keys("show jobs where key != a order by key desc") == "dcb");
    BOOST_TEST(countRows(std::get<ShowCount>(parseValid("show count of jobs where age = 1s")), rows) == 2U);
    BOOST_TEST(countRows(std::get<ShowCount>(parseValid("show count of jobs")), rows) == 4U);
}

BOOST_AUTO_TEST_CASE(OrderByIsStable)
{
    std::vector<Row> rows;
    for (int number = 0; number < 200; ++number) {
        rows.push_back({{Field::Tasks, double(number % 2)}, {Field::Started, double(number)}});
    }
    const auto ordered = selectRows(std::get<ShowRows>(parseValid("show jobs order by tasks")), rows);
    for (std::size_t place = 0; place < rows.size(); ++place) {
        const std::size_t number = place < 100 ? 2 * place : 2 * (place - 100) + 1;
        BOOST_TEST((ordered[place] == rows[number]));
    }
}

BOOST_AUTO_TEST_CASE(DocumentedExamplesParse)
{
    const auto examples = readSection("Examples");
    BOOST_TEST(examples.size() >= 20U);
    for (const std::string &example : examples) {
        BOOST_TEST((parseValid(printStatement(parseValid(example))) == parseValid(example)), example);
    }
}

BOOST_AUTO_TEST_CASE(DocumentationListsEverySubjectAndField)
{
    const auto lines = readSection("Subjects and fields");
    for (const SubjectInfo &subject : allSubjects()) {
        std::string row = "| " + std::string(subject.name) + " | ";
        for (const FieldInfo &field : subject.fields) {
            row += (&field == subject.fields.data() ? "" : ", ") + std::string(field.name);
        }
        BOOST_TEST((std::find(lines.begin(), lines.end(), row + " |") != lines.end()), row);
    }
}

BOOST_AUTO_TEST_CASE(FieldHasSameNameAndTypeInAllSubjects)
{
    for (const SubjectInfo &subject : allSubjects()) {
        for (const FieldInfo &field : subject.fields) {
            BOOST_TEST(fieldName(field.field) == field.name);
            BOOST_TEST((field.type == FieldType::Name) == !field.allowedValues.empty());
            for (const SubjectInfo &other : allSubjects()) {
                const FieldInfo *const same = findField(other, field.name);
                BOOST_TEST((same == nullptr || (same->field == field.field && same->type == field.type)));
            }
        }
    }
}
