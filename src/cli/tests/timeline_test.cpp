// Tests the timeline of a job from the logs of two instances whose clocks differ.
#include "cli/cli.h"

#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <fstream>
#include <sstream>

#include <unistd.h>

using namespace Tanagertally;

namespace {

constexpr const char *FirstLog
    = R"(ts=2026-12-04T01:00:10.500000Z level=info event=task-start job=00000000000000a1 task=0.0 run=1 endpoint=w1 cell=dc1
ts=2026-12-04T01:00:10.900000Z level=warning event=lead-ended reason="another instance leads" cell=dc1
ts=2026-12-04T01:00:10.950000Z level=info event=task-start job=00000000000000b2 task=0.0 run=1 endpoint=w1 cell=dc1
ts=2026-12-04T01:05:00.000000Z level=info event=lead-taken token=9 cell=dc1
)";

constexpr const char *SecondLog = R"(ts=2026-12-04T01:00:10.450000Z level=info event=lead-known cell=dc1 leader=e1 token=9
ts=2026-12-04T00:00:10.450000Z level=info event=lead-known cell=dc1 leader=e1 token=9 by=store
not a log line
ts=2026-12-04T01:00:11.200000Z level=warning event=endpoint-lost endpoint=w1 runs=1 reason=lease-lapsed cell=dc1
ts=2026-12-04T01:00:11.300000Z level=info event=submission-answered job=00000000000000a1 verdict=unknown reason="no answer in time" cell=dc1
ts=2026-12-04T01:00:11.400000Z level=warning event=endpoint-lost endpoint=w2 runs=1 reason=lease-lapsed cell=dc1
)";

struct Logs {
    std::filesystem::path folder = std::filesystem::temp_directory_path() / ("timeline-" + std::to_string(getpid()));
    std::string out;
    std::string err;

    Logs()
    {
        std::filesystem::create_directory(this->folder);
        std::ofstream(this->folder / "e1.log") << FirstLog;
        std::ofstream(this->folder / "e2.log") << SecondLog;
    }

    ~Logs()
    {
        std::filesystem::remove_all(this->folder);
    }

    ExitCode run(const std::string &job, const std::string &secondFile = "e2.log")
    {
        const std::string first = (this->folder / "e1.log").string();
        const std::string second = (this->folder / secondFile).string();
        const std::vector<const char *> arguments{"tanagertally", "timeline", job.c_str(), first.c_str(), second.c_str()};
        std::istringstream in;
        std::ostringstream outStream;
        std::ostringstream errStream;
        const ExitCode code = runCli(arguments, in, Terminal{outStream, errStream, false});
        this->out = outStream.str();
        this->err = errStream.str();
        return code;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(Timeline)

BOOST_FIXTURE_TEST_CASE(MergesJobLinesWithRelatedCellAndEndpointLines, Logs)
{
    BOOST_TEST((this->run("00000000000000a1") == ExitCode::Done));
    BOOST_TEST(this->out == R"(note: the clock of e2 is at least 289550 ms behind that of e1
    0.000000  e1  event=task-start job=00000000000000a1 task=0.0 run=1 endpoint=w1 cell=dc1
    0.400000  e1  event=lead-ended reason="another instance leads" cell=dc1
    0.700000  e2  event=endpoint-lost endpoint=w1 runs=1 reason=lease-lapsed cell=dc1
    0.800000  e2  event=submission-answered job=00000000000000a1 verdict=unknown reason="no answer in time" cell=dc1
)");
}

BOOST_FIXTURE_TEST_CASE(ReportsUnreadableFileAndUnknownJob, Logs)
{
    BOOST_TEST((this->run("00000000000000a1", "none.log") == ExitCode::BadInput));
    BOOST_TEST(this->err.find("none.log") != std::string::npos);
    BOOST_TEST((this->run("00000000000000ff") == ExitCode::BadInput));
    BOOST_TEST(this->err.find("00000000000000ff") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
