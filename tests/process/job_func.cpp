#include "job_func.h"

#include <boost/test/unit_test.hpp>

namespace Tanagertally::ProcessTests {

using nlohmann::json;

namespace {

constexpr std::size_t ShownBytes = 500; ///< Length of a body in a message.

std::string describe(const HttpAnswer &answer)
{
    return std::to_string(answer.status) + " " + answer.body.substr(0, ShownBytes);
}

} // namespace

json makeJob(const JobShape &shape)
{
    json job{{"key", shape.key}, {"mode", shape.mode}, {"timeoutMs", 60000}, {"tasks", json::array()}};
    for (std::size_t index = 0; index < shape.tasks; ++index) {
        const json payload{{"booking", shape.key + "/" + std::to_string(index)}, {"runTimeMs", shape.runTimeMs}};
        job["tasks"].push_back({{"kind", shape.kind}, {"payload", payload}});
    }
    return job;
}

void checkCompleteAnswer(const HttpAnswer &answer, const json &job)
{
    BOOST_REQUIRE_MESSAGE(answer.status == 200, describe(answer));
    const json document = answer.json();
    BOOST_REQUIRE_MESSAGE(document["outcome"] == "complete", describe(answer));
    BOOST_TEST(document["key"] == job["key"]);
    BOOST_REQUIRE(document["tasks"].size() == job["tasks"].size());
    for (std::size_t index = 0; index < job["tasks"].size(); ++index) {
        const json &task = document["tasks"][index];
        BOOST_TEST_REQUIRE(task["verdict"] == "ran");
        BOOST_TEST_REQUIRE((task["output"]["echo"] == job["tasks"][index]["payload"]));
    }
}

void checkFailedAnswer(const ProcessFleet &fleet, const HttpAnswer &answer, const json &job)
{
    const json document = answer.json();
    BOOST_REQUIRE_MESSAGE(document.value("outcome", "") == "failed", describe(answer));
    BOOST_REQUIRE(document["tasks"].size() == job["tasks"].size());
    const std::vector<std::uint64_t> starts = startsOfTasks(fleet, job);
    std::size_t inDoubt = 0;
    for (std::size_t index = 0; index < starts.size(); ++index) {
        const std::string verdict = document["tasks"][index]["verdict"];
        inDoubt += verdict == "may-have-run" ? 1 : 0;
        BOOST_TEST(!document["tasks"][index].contains("output"));
        BOOST_TEST((verdict != "not-run" || starts[index] == 0), "task " << index << " is not-run with " << starts[index] << " starts");
        BOOST_TEST((verdict != "ran" || starts[index] == 1), "task " << index << " is ran with " << starts[index] << " starts");
        BOOST_TEST(starts[index] <= 1u, "task " << index << " has " << starts[index] << " starts");
    }
    BOOST_TEST(inDoubt > 0u);
}

std::vector<std::uint64_t> startsOfTasks(const ProcessFleet &fleet, const json &job)
{
    json names = json::array();
    for (std::size_t index = 0; index < job["tasks"].size(); ++index) {
        names.push_back(job["key"].get<std::string>() + "#" + std::to_string(index));
    }
    const json counts = fleet.control({{"command", "starts"}, {"tasks", names}})["starts"];
    std::vector<std::uint64_t> starts;
    for (const json &name : names) {
        starts.push_back(counts.value(name.get<std::string>(), std::uint64_t(0)));
    }
    return starts;
}

bool isJobAnswer(const HttpAnswer &answer)
{
    const json document = answer.json();
    return answer.status == 200 && document.is_object() && document.contains("outcome");
}

HttpAnswer fetchAnswer(const Daemon &daemon, const std::string &key)
{
    HttpAnswer answer;
    const bool answered = waitUntil([&] {
        answer = ProcessFleet::callerCall(daemon, "GET", "/v1/jobs/" + key);
        const json document = answer.json();
        BOOST_TEST(answer.status != 404u, describe(answer));
        BOOST_TEST((!document.is_object() || document.value("verdict", "") != "not-run"), describe(answer));
        return isJobAnswer(answer);
    });
    BOOST_REQUIRE_MESSAGE(answered, "no answer of " << key << " through " << daemon.name << ": " << describe(answer));
    return answer;
}

json askRows(const Daemon &daemon, const std::string &text)
{
    const HttpAnswer answer = ProcessFleet::operate(daemon, text);
    BOOST_REQUIRE_MESSAGE(answer.status == 200, describe(answer));
    return answer.json()["rows"];
}

} // namespace Tanagertally::ProcessTests
