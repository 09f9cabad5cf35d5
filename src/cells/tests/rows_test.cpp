// Rows of the store that another writer has left: malformed CBOR, values out of range, and jobs that no caller could have submitted.
// Guards against a row that ends the process which reads it, or that is decoded to a value that differs between processors.
#include "cells/job_cbor.h"
#include "cells/store_rows.h"

#include <boost/test/unit_test.hpp>

#include <limits>

using namespace Tanagertally;
using namespace Tanagertally::Cells;
using namespace std::chrono_literals;
using Json = nlohmann::json;

namespace {

constexpr std::size_t RowBytes = 65536; // The largest value of a row.

/** @return Rows of the largest size whose first byte, which opens a value within a value, is repeated up to the end. */
std::vector<std::string> nestedRows()
{
    // An array and a map of one entry, arrays and maps without an end, parts of a byte string and of a text without an end, and a tag.
    std::vector<std::string> rows;
    for (const char first : {'\x81', '\xa1', '\x9f', '\xbf', '\x5f', '\x7f', '\xc6'}) {
        rows.emplace_back(RowBytes, first);
    }
    std::string mapOfMaps;
    while (mapOfMaps.size() < RowBytes) {
        mapOfMaps += "\xa1\x60"; // A map of one entry, whose name is empty.
    }
    rows.push_back(mapOfMaps);
    return rows;
}

const Json Step = Json::array({2, 1000, 64, 0, 300, Json::array(), "", "", 0});
const Json Terms = Json::array({"queue", "service", 0, 2, 1.5, 60});

/** @return The row of a job. */
std::string jobRow(const Json &steps, const Json &terms, std::string_view payload = "text")
{
    return toCborText(
        Json::array({Json::array({steps, Json::binary(std::vector<std::uint8_t>(payload.begin(), payload.end())), false}), terms}));
}

/** @return Whether the row of a job with a changed field of its second step is decoded. */
bool isJobReadWithStep(std::size_t field, const Json &value)
{
    Json steps = Json::array({Step, Step});
    steps[1][field] = value;
    return decodeJob(JobId("00000000000000a1"), jobRow(steps, Terms)).has_value();
}

/** @return Whether the row of a job with a changed field of its terms is decoded. */
bool isJobReadWithTerm(std::size_t field, const Json &value)
{
    Json terms = Terms;
    terms[field] = value;
    return decodeJob(JobId("00000000000000a1"), jobRow(Json::array({Step}), terms)).has_value();
}

/** Values that no count of the rows may have. */
const std::vector<Json> BadCounts
    = {-1, 4294967296, std::numeric_limits<std::uint64_t>::max(), std::numeric_limits<std::int64_t>::min(), 1e300, 1.5, true, "1", Json()};

const double Infinity = std::numeric_limits<double>::infinity();
const double NotANumber = std::numeric_limits<double>::quiet_NaN();

} // namespace

BOOST_AUTO_TEST_SUITE(OddRows)

// Guards against callers that can't tell from a refusal which part of their job is too large, and by how much.
BOOST_AUTO_TEST_CASE(RefusalOfALargeJobNamesTheFieldAndTheBound)
{
    JobSpec job{std::make_shared<const std::string>(RowBytes, 'x'), {StepSpec()}, false};
    const auto check = [&job] { return validateRowSize(job, encodeJob(job, {}), RowBytes); };
    BOOST_TEST(check().starts_with("spec: "));
    BOOST_TEST(check().ends_with("must be at most 65536"));
    job.payload = std::make_shared<const std::string>();
    BOOST_TEST(check().empty());
    job.steps.resize(RowBytes / 8);
    BOOST_TEST(check().starts_with("steps: "));
}

// Guards against an overflow of the stack: a row of 64 KiB may open a value within a value with each byte.
BOOST_AUTO_TEST_CASE(DeeplyNestedRowIsUnreadable)
{
    for (const std::string &row : nestedRows()) {
        BOOST_TEST(decodeLead(row).has_error());
        BOOST_TEST(decodeJob(JobId("00000000000000a1"), row).has_error());
        BOOST_TEST(decodeProgress(row).has_error());
        BOOST_TEST(decodeRoster(row).has_error());
        BOOST_TEST(decodeLosses(row).has_error());
        BOOST_TEST(decodeCellCount(row).has_error());
        BOOST_TEST(decodeInstance(row).has_error());
    }
    // The nesting is within a row that is readable otherwise.
    const std::string lead = toCborText(Json::array({"node", 1, 2, 3}));
    BOOST_TEST(decodeLead(lead).has_value());
    BOOST_TEST(decodeLead("\x85" + lead.substr(1) + std::string(RowBytes, '\x81') + '\0').has_error());
}

// Guards against a size that is believed before the bytes are there.
BOOST_AUTO_TEST_CASE(TruncatedRowIsUnreadable)
{
    const std::string roster = encodeRoster(std::vector<EndpointRecord>(3));
    for (std::size_t size = 0; size < roster.size(); ++size) {
        BOOST_TEST(decodeRoster(std::string_view(roster).substr(0, size)).has_error());
    }
    BOOST_TEST(decodeRoster(roster + '\0').has_error());
    for (const char type : {'\x5b', '\x7b', '\x9b', '\xbb'}) {
        BOOST_TEST(decodeRoster(type + std::string(8, '\xff')).has_error());
        BOOST_TEST(decodeRoster(type + std::string(8, '\x7f') + "rest").has_error());
    }
}

// Guards against an exception while the value is written as JSON into an order or a transaction, which ended the process.
BOOST_AUTO_TEST_CASE(TextThatIsNotUtf8IsUnreadable)
{
    for (const std::string_view text : {"\xff", "a\x80", "\xc0\xaf", "\xed\xa0\x80", "\xf4\x90\x80\x80", "\xe2\x82"}) {
        BOOST_TEST(decodeInstance(toCborText(Json::array({std::string(text), 1, "127.0.0.1:7720", "a", 0.5, false}))).has_error());
        BOOST_TEST(decodeJob(JobId("00000000000000a1"), jobRow(Json::array({Step}), Terms, text)).has_error());
    }
    BOOST_TEST(
        decodeJob(JobId("00000000000000a1"), jobRow(Json::array({Step}), Terms, "z\xc3\xa9\xe2\x82\xac\xf0\x9f\x90\xa6")).has_value());
}

// Guards against a count that is cut off to 32 bits, and against a conversion from a real number that is undefined.
BOOST_AUTO_TEST_CASE(JobWithACountOutOfRangeIsUnreadable)
{
    BOOST_TEST(isJobReadWithStep(0, 2));
    for (const Json &bad : BadCounts) {
        for (const std::size_t field : {0, 1, 2, 3, 4, 8}) { // Tasks, cpu, memory, gpu, estimate, tasks per endpoint.
            BOOST_TEST(!isJobReadWithStep(field, bad), "field " << field << ": " << bad);
        }
        BOOST_TEST(!isJobReadWithStep(5, Json::array({bad})), "after: " << bad);
        for (const std::size_t field : {2, 3, 5}) { // Priority, attempts, target duration.
            BOOST_TEST(!isJobReadWithTerm(field, bad), "term " << field << ": " << bad);
        }
    }
    for (const double stretch : {Infinity, -Infinity, NotANumber, -1.0, 1e300}) {
        BOOST_TEST(!isJobReadWithTerm(4, stretch), "stretch: " << stretch);
    }
}

// Guards against a job that was not checked as a caller's is: steps that wait for unknown ones, or more tasks than memory holds.
BOOST_AUTO_TEST_CASE(JobThatNoCallerCouldSubmitIsUnreadable)
{
    BOOST_TEST(isJobReadWithStep(5, Json::array({0})));
    BOOST_TEST(!isJobReadWithStep(5, Json::array({1})));
    BOOST_TEST(!isJobReadWithStep(5, Json::array({4000000000})));
    BOOST_TEST(!isJobReadWithStep(0, 0));
    BOOST_TEST(!isJobReadWithStep(0, 4000000000));
    BOOST_TEST(decodeJob(JobId("00000000000000a1"), jobRow(Json::array(), Terms)).has_error());
}

// Guards against a duration in milliseconds that doesn't fit in nanoseconds, and jobs whose order it makes undefined.
BOOST_AUTO_TEST_CASE(DurationsOfAReadableJobCanBeAdded)
{
    Json step = Step;
    step[0] = 1;
    step[4] = std::chrono::duration_cast<std::chrono::milliseconds>(MaxEstimate).count();
    Json steps = Json::array();
    for (std::uint32_t number = 0; number < 1000; ++number) {
        step[5] = number == 0 ? Json::array() : Json::array({number - 1});
        steps.push_back(step);
    }
    Json terms = Terms;
    terms[4] = MaxStretch;
    terms[5] = step[4];
    const Result<StoredJob> job = decodeJob(JobId("00000000000000a1"), jobRow(steps, terms));
    BOOST_REQUIRE(job.has_value());
    const CellJob longest(job.value().id, job.value().spec, job.value().terms, TimePoint(100s));
    BOOST_TEST((longest.urgency.remaining == 1000 * MaxEstimate));
    BOOST_TEST(longest.urgency.objective.count() > 0);
    BOOST_TEST((timelinessOf(longest.urgency, TimePoint(100s)) == JobTimeliness::OnTime));
    BOOST_TEST(!isJobReadWithStep(4, step[4].get<std::int64_t>() + 1));
    BOOST_TEST(!isJobReadWithStep(4, std::numeric_limits<std::int64_t>::max()));
}

// Guards against a job in a state that doesn't exist.
BOOST_AUTO_TEST_CASE(ProgressOutOfRangeIsUnreadable)
{
    const auto isRead = [](const Json &state, const Json &number) {
        return decodeProgress(
                   toCborText(Json::array({state, Json::array({Json::array({0, number})}), Json::array({Json::array({0, 0, number})})})))
            .has_value();
    };
    BOOST_TEST(isRead(static_cast<int>(JobState::Cancelled), 1));
    for (const Json &state : std::vector<Json>{5, 256, -1, 1e300, true, std::numeric_limits<std::uint64_t>::max()}) {
        BOOST_TEST(!isRead(state, 1), "state: " << state);
    }
    for (const Json &bad : BadCounts) {
        BOOST_TEST(!isRead(0, bad), "number: " << bad);
    }
}

// Guards against capacities whose sum over the endpoints of a cell overflows.
BOOST_AUTO_TEST_CASE(RosterAndLossesOutOfRangeAreUnreadable)
{
    const auto isRosterRead = [](const Json &cpu) {
        return decodeRoster(toCborText(Json::array({Json::array({"e1", "s", "127.0.0.1:1", "a", cpu, 1, 0, Json::array()})}))).has_value();
    };
    const auto isLossRead = [](const Json &born, const Json &step) {
        return decodeLosses(toCborText(Json::array({Json::array({"e1", "127.0.0.1:1", born, true, false,
                                                                 Json::array({Json::array({"00000000000000a1", step, 0, true})})})})))
            .has_value();
    };
    BOOST_TEST(isRosterRead(4000));
    BOOST_TEST(isLossRead(1000, 0));
    BOOST_TEST(isLossRead(Json(), 0));
    for (const Json &bad : BadCounts) {
        BOOST_TEST(!isRosterRead(bad), "cpu: " << bad);
        BOOST_TEST(!isLossRead(1000, bad), "step: " << bad);
    }
    for (const Json &born : std::vector<Json>{0, -1, 1e300, std::numeric_limits<std::uint64_t>::max(), "1000"}) {
        BOOST_TEST(!isLossRead(born, 0), "born: " << born);
    }
}

// Guards against names of four thousand million cells, which exhaust the memory, and an order of candidates that is undefined.
BOOST_AUTO_TEST_CASE(LayoutsAndInstancesOutOfRangeAreUnreadable)
{
    BOOST_TEST(decodeCellCount(encodeCellCount(MaxCellsPerDomain)).has_value());
    BOOST_TEST(decodeCellCount(encodeCellCount(MaxCellsPerDomain + 1)).has_error());
    for (const Json &bad : BadCounts) {
        BOOST_TEST(decodeCellCount(toCborText(Json::array({bad}))).has_error(), "cells: " << bad);
    }
    const auto isInstanceRead = [](const Json &incarnation, const Json &share) {
        return decodeInstance(toCborText(Json::array({"node", incarnation, "127.0.0.1:7720", "a", share, false}))).has_value();
    };
    BOOST_TEST(isInstanceRead(std::numeric_limits<std::uint64_t>::max(), 0.25));
    BOOST_TEST(isInstanceRead(1, 0));
    for (const double share : {Infinity, -Infinity, NotANumber, -0.5}) {
        BOOST_TEST(!isInstanceRead(1, share), "core share: " << share);
    }
    for (const Json &bad : std::vector<Json>{-1, 1e300, 18446744073709551616.0, "1"}) {
        BOOST_TEST(!isInstanceRead(bad, 0.25), "incarnation: " << bad);
    }
}

BOOST_AUTO_TEST_SUITE_END()
