#include "daemon/log.h"
#include "daemon/metrics.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <string>
#include <vector>

using namespace Tanagertally;

BOOST_AUTO_TEST_SUITE(LogTest)

BOOST_AUTO_TEST_CASE(ValuesWithSpecialCharactersAreQuoted)
{
    const std::array<LogField, 5> fields{
        {{"plain", "a/b:1"}, {"spaced", "two words"}, {"empty", ""}, {"marks", "a=\"b\\\""}, {"control", "x\ny\t"}}};
    BOOST_TEST(formatLogPairs("job-answered", fields)
               == R"(event=job-answered plain=a/b:1 spaced="two words" empty="" marks="a=\"b\\\"" control="x\ny\x09")");
}

BOOST_AUTO_TEST_CASE(BufferWritesManyLinesAtOnceInTheirOrder)
{
    // Guards against a write and a wake-up for each line under load.
    std::vector<std::string> writes;
    LogBuffer buffer(20, [&writes](const std::string &lines) { writes.push_back(lines); });
    buffer.append("first\n");
    buffer.append("second\n");
    BOOST_TEST(writes.empty());
    buffer.flush();
    buffer.flush();
    BOOST_TEST((writes == std::vector<std::string>{"first\nsecond\n"}));
    buffer.append("a line that is over the limit\n");
    BOOST_TEST(writes.back() == "a line that is over the limit\n");
}

BOOST_AUTO_TEST_CASE(MetricsDeclareCountersAndGauges)
{
    MetricsInput input;
    input.control.coordinatorStats.jobsComplete = 3;
    input.control.coordinatorStats.running = 2;
    input.process = readProcessStats();
    BOOST_TEST(input.process.residentBytes > 0u);
    const std::string page = formatMetrics(input);
    for (const char *line : {"# TYPE tanagertally_jobs_complete_total counter\ntanagertally_jobs_complete_total 3\n",
                             "# TYPE tanagertally_attempts_running gauge\ntanagertally_attempts_running 2\n"}) {
        BOOST_TEST(page.find(line) != std::string::npos, page);
    }
}

BOOST_AUTO_TEST_SUITE_END()
