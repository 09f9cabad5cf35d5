#include "process_fixture.h"

#include <boost/test/unit_test.hpp>

#include <signal.h>

#include <fstream>
#include <set>
#include <thread>

using namespace Tanagertally::ProcessTests;
using nlohmann::json;

namespace {

constexpr std::size_t TasksPerJob = 1000;

/** @return A job of many tasks, each with a payload of its own. */
json manyTasks(const std::string &key, const std::string &kind)
{
    json job{{"key", key}, {"mode", "wait"}, {"timeoutMs", 60000}, {"tasks", json::array()}};
    for (std::size_t index = 0; index < TasksPerJob; ++index) {
        job["tasks"].push_back({{"kind", kind}, {"payload", {{"booking", key + "/" + std::to_string(index)}}}});
    }
    return job;
}

/** Check that an answer is complete and that each entry is the echo of its own task. */
void checkComplete(const HttpAnswer &answer, const json &job)
{
    BOOST_REQUIRE_MESSAGE(answer.status == 200, answer.status << " " << answer.body.substr(0, 500));
    const json document = answer.json();
    BOOST_REQUIRE_MESSAGE(document["outcome"] == "complete", answer.body.substr(0, 500));
    BOOST_TEST(document["key"] == job["key"]);
    BOOST_REQUIRE(document["tasks"].size() == job["tasks"].size());
    for (std::size_t index = 0; index < job["tasks"].size(); ++index) {
        const json &task = document["tasks"][index];
        BOOST_TEST_REQUIRE(task["verdict"] == "ran");
        BOOST_TEST_REQUIRE((task["output"]["echo"] == job["tasks"][index]["payload"]));
    }
}

/** Calls of one load thread. */
struct LoadCounts {
    std::uint64_t complete = 0; ///< Jobs answered complete.
    std::uint64_t refused = 0; ///< Jobs refused as not run.
    std::uint64_t notConnected = 0; ///< Calls without a connection.
    std::vector<std::string> wrong; ///< Calls that were cut or answered otherwise.
};

/** Submit one-task jobs until the listener is gone. */
LoadCounts submitUntilClosed(const Daemon &daemon)
{
    LoadCounts counts;
    while (counts.notConnected == 0) {
        const HttpAnswer answer = ProcessFleet::submit(daemon, R"({"mode":"wait","tasks":[{"kind":"confirm","payload":1}]})");
        const json document = answer.json();
        if (answer.end == CallEnd::NotConnected) {
            ++counts.notConnected;
        } else if (answer.status == 200 && document.value("outcome", "") == "complete") {
            ++counts.complete;
        } else if (answer.status == 503 && document.value("verdict", "") == "not-run") {
            ++counts.refused;
        } else {
            counts.wrong.push_back(std::to_string(answer.status) + " " + answer.body);
        }
    }
    return counts;
}

/** A submission that is wrong, and the statuses that it may get. */
struct BadSubmission {
    std::string body; ///< The body.
    std::set<unsigned> statuses; ///< Statuses that are right.
};

const BadSubmission BadSubmissions[] = {
    {"", {400}},
    {"{", {400}},
    {"[]", {400}},
    {"{}", {400}},
    {R"({"tasks":[]})", {400}},
    {R"({"tasks":{}})", {400}},
    {R"({"tasks":[{}]})", {400}},
    {R"({"tasks":[{"kind":"confirm"}]})", {400}},
    {R"({"tasks":[{"kind":7,"payload":1}]})", {400}},
    {R"({"tasks":[{"kind":"confirm","payload":1,"urgent":true}]})", {400}},
    {R"({"tasks":[{"kind":"confirm","payload":1}],"mode":"soon"})", {400}},
    {R"({"tasks":[{"kind":"confirm","payload":1}],"timeoutMs":0})", {400}},
    {R"({"tasks":[{"kind":"confirm","payload":1}],"timeoutMs":"1s"})", {400}},
    {R"({"tasks":[{"kind":"confirm","payload":1}],"key":""})", {400}},
    {R"({"tasks":[{"kind":"confirm","payload":1}],"key":"has space"})", {400}},
    {R"({"tasks":[{"kind":"no-such-kind","payload":1}]})", {400}},
};

} // namespace

BOOST_AUTO_TEST_CASE(AJobOfAThousandTasksIsAnsweredOnceAndTheSameEverywhere)
{
    ProcessFleet fleet;
    Daemon &first = fleet.daemons().front();
    const json job = manyTasks(ProcessFleet::issueKey(first), "confirm");
    const HttpAnswer answer = ProcessFleet::submit(first, job.dump());
    checkComplete(answer, job);
    BOOST_TEST(fleet.starts()["total"] == TasksPerJob);
    for (const Daemon &other : fleet.daemons()) {
        const HttpAnswer again = ProcessFleet::submit(other, job.dump());
        checkComplete(again, job);
        BOOST_TEST((again.json() == answer.json()), "another answer through " << other.name);
    }
    const json starts = fleet.starts();
    BOOST_TEST(starts["total"] == TasksPerJob);
    BOOST_TEST(starts["tasksStartedAgain"] == 0);
}

BOOST_AUTO_TEST_CASE(AJobUnderTheCallersOwnKeyIsAnsweredOnceAndTheSameEverywhere)
{
    ProcessFleet fleet;
    const json job = manyTasks("caller-own-key-1", "release");
    const HttpAnswer answer = ProcessFleet::submit(fleet.daemons().front(), job.dump());
    checkComplete(answer, job);
    for (const Daemon &other : fleet.daemons()) {
        const HttpAnswer again = ProcessFleet::submit(other, job.dump());
        checkComplete(again, job);
        BOOST_TEST((again.json() == answer.json()), "another answer through " << other.name);
    }
    BOOST_TEST(fleet.starts()["total"] == TasksPerJob);
    BOOST_TEST(fleet.starts()["tasksStartedAgain"] == 0);
}

BOOST_AUTO_TEST_CASE(BadInputIsRefusedAndNothingStarts)
{
    ProcessFleet fleet(FleetSize{2, 2, 12, {}});
    const Daemon &daemon = fleet.daemons().front();
    for (const BadSubmission &bad : BadSubmissions) {
        const HttpAnswer answer = ProcessFleet::submit(daemon, bad.body);
        BOOST_TEST(bad.statuses.contains(answer.status), bad.body << " got " << answer.status << " " << answer.body);
        BOOST_TEST(answer.json().is_object(), bad.body << " got " << answer.body);
    }
    const std::string good = R"({"tasks":[{"kind":"confirm","payload":1}]})";
    BOOST_TEST(call(HttpCall{daemon.callerAddress, "POST", "/v1/jobs", "", good}).status == 401u);
    BOOST_TEST(call(HttpCall{daemon.callerAddress, "POST", "/v1/jobs", "wrong-secret-0123456789", good}).status == 401u);
    BOOST_TEST(call(HttpCall{daemon.callerAddress, "POST", "/v1/jobs", OperatorKeyText, good}).status == 401u);
    BOOST_TEST(ProcessFleet::callerCall(daemon, "PUT", "/v1/jobs", good).status == 405u);
    BOOST_TEST(ProcessFleet::callerCall(daemon, "POST", "/v1/job", good).status == 404u);
    std::string forged = ProcessFleet::issueKey(daemon);
    forged.back() = forged.back() == '0' ? '1' : '0';
    const json forgedJob{{"key", forged}, {"tasks", {{{"kind", "confirm"}, {"payload", 1}}}}};
    BOOST_TEST(ProcessFleet::submit(daemon, forgedJob.dump()).status == 400u);
    BOOST_TEST(fleet.starts()["total"] == 0);
    BOOST_TEST(ProcessFleet::submit(daemon, good).status == 200u);
    BOOST_TEST(fleet.starts()["total"] == 1);
}

BOOST_AUTO_TEST_CASE(APlannedStopUnderLoadCutsNoRequest)
{
    constexpr std::size_t LoadThreads = 8;
    ProcessFleet fleet(FleetSize{2, 1, 12, {}});
    Daemon &daemon = fleet.daemons().front();
    std::vector<LoadCounts> counts(LoadThreads);
    std::vector<std::thread> threads;
    for (LoadCounts &count : counts) {
        threads.emplace_back([&daemon, &count] { count = submitUntilClosed(daemon); });
    }
    BOOST_TEST(waitUntil([&fleet] { return fleet.starts()["total"] > 100; }));
    daemon.process->signal(SIGTERM);
    daemon.process->signal(SIGTERM);
    const std::optional<int> code = daemon.process->waitForExit(std::chrono::seconds(30));
    for (std::thread &thread : threads) {
        thread.join();
    }
    BOOST_REQUIRE(code);
    BOOST_TEST(*code == 0);
    std::uint64_t complete = 0;
    for (const LoadCounts &count : counts) {
        complete += count.complete;
        for (const std::string &wrong : count.wrong) {
            BOOST_ERROR("cut or wrong: " << wrong);
        }
    }
    BOOST_TEST(complete >= 100u);
    BOOST_TEST(fleet.starts()["total"] == complete);
    BOOST_TEST(ProcessFleet::isReady(fleet.daemons().back()));
}

BOOST_AUTO_TEST_CASE(WrongSettingsEndTheStartWithTheirLines)
{
    const TemporaryFolder folder;
    const auto settings = folder.file("bad.yaml");
    std::ofstream(settings) << "instance:\n  name: e1\n  zone: a\n";
    for (const std::vector<std::string> &options : {std::vector<std::string>{"--check"}, std::vector<std::string>{}}) {
        std::vector<std::string> arguments{TANAGERTALLY_DAEMON_PROGRAM, "--settings", settings.string()};
        arguments.insert(arguments.end(), options.begin(), options.end());
        ChildProcess process(ChildCommand{arguments, folder.file("out" + std::to_string(options.size()))});
        BOOST_TEST((process.waitForExit(std::chrono::seconds(10)) == 2));
        BOOST_TEST(process.output().find(settings.string() + ":3: instance.zone: ") != std::string::npos, process.output());
    }
    const std::string example = TANAGERTALLY_SOURCE_DIR "/examples/riyad.yaml";
    BOOST_TEST(runToExit(ChildCommand{{TANAGERTALLY_DAEMON_PROGRAM, "--check", "--settings", example}, folder.file("check")}) == 0);
    BOOST_TEST(runToExit(ChildCommand{{TANAGERTALLY_DAEMON_PROGRAM, "--no-such-option"}, folder.file("usage")}) == 2);
}
