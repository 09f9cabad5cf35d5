#define BOOST_TEST_MODULE decisions
#include "session/session.h"

#include <boost/test/unit_test.hpp>

#include <iostream>
#include <map>

using namespace Tanagertally;
using namespace std::chrono_literals;

namespace {

const TeamName Riders("riders");

FleetConfig makeConfig()
{
    FleetConfig config;
    KindConfig lookup;
    lookup.name = KindName("lookup");
    lookup.idempotence = Idempotence::Idempotent;
    KindConfig confirm;
    confirm.name = KindName("confirm");
    confirm.urgency = Urgency::Urgent;
    config.kinds = {lookup, confirm};
    return config;
}

SessionOptions makeOptions()
{
    SessionOptions options;
    options.config = makeConfig();
    options.runTime = [](const KindName &, RandomEngine &) { return Duration(50ms); };
    return options;
}

JobSpec makeJob(std::size_t tasks, const std::string &kind, SubmitMode mode = SubmitMode::Wait)
{
    JobSpec job;
    job.mode = mode;
    job.timeout = 10s;
    for (std::size_t index = 0; index < tasks; ++index) {
        job.tasks.push_back(TaskSpec{KindName(kind), std::make_shared<const std::string>("{\"n\":" + std::to_string(index) + "}"), {}});
    }
    return job;
}

/** @return Starts by task of a key. */
std::map<std::uint32_t, int> startsOf(const Session &session, const JobKey &key)
{
    std::map<std::uint32_t, int> starts;
    for (const SessionStart &start : session.starts()) {
        if (start.key == key) {
            ++starts[start.task];
        }
    }
    return starts;
}

template<typename Reply>
const Reply &onlyReply(const Session &session, std::size_t call)
{
    BOOST_REQUIRE_EQUAL(session.call(call).replies.size(), 1U);
    const CallerReply &reply = session.call(call).replies.front().reply;
    if (const auto *refusal = std::get_if<Refusal>(&reply); refusal != nullptr && !std::is_same_v<Reply, Refusal>) {
        BOOST_TEST_MESSAGE("refused: " << refusal->error.message);
    }
    BOOST_REQUIRE(std::holds_alternative<Reply>(reply));
    return std::get<Reply>(reply);
}

JobKey issueKey(Session &session, std::uint32_t instance)
{
    const std::size_t call = session.requestKeys(instance, Riders, 1);
    session.runUntil(session.now() + 10ms);
    return onlyReply<KeysIssued>(session, call).keys.front();
}

} // namespace

BOOST_AUTO_TEST_CASE(WholeJobIsAnsweredCompleteWithEachTasksOwnOutput)
{
    Session session(makeOptions());
    session.runUntil(1s);
    const JobKey key = issueKey(session, 0);
    const std::size_t call = session.submit(0, Riders, key, makeJob(200, "confirm"));
    session.runUntil(5s);
    const auto &answer = onlyReply<JobAnswer>(session, call);
    BOOST_TEST((answer.outcome == JobOutcome::Complete));
    BOOST_REQUIRE_EQUAL(answer.tasks.size(), 200U);
    for (std::size_t task = 0; task < answer.tasks.size(); ++task) {
        BOOST_TEST(*answer.tasks[task].output == "\"" + key.value + "#" + std::to_string(task) + "\"");
    }
    for (const auto &[task, count] : startsOf(session, key)) {
        BOOST_TEST(count == 1);
    }
}

BOOST_AUTO_TEST_CASE(ResubmissionThroughAnotherInstanceGetsTheSameAnswerWithoutASecondStart)
{
    Session session(makeOptions());
    session.runUntil(1s);
    for (const JobKey &key : {issueKey(session, 0), JobKey("own-key-1")}) {
        const std::size_t first = session.submit(0, Riders, key, makeJob(20, "confirm"));
        session.runUntil(session.now() + 10ms);
        const std::size_t during = session.submit(3, Riders, key, makeJob(20, "confirm"));
        session.runUntil(session.now() + 2s);
        const std::size_t after = session.submit(2, Riders, key, makeJob(20, "confirm"));
        session.runUntil(session.now() + 1s);
        const auto &answer = onlyReply<JobAnswer>(session, first);
        for (const std::size_t again : {during, after}) {
            const auto &same = onlyReply<JobAnswer>(session, again);
            BOOST_TEST((same.outcome == JobOutcome::Complete));
            BOOST_TEST(same.tasks.size() == answer.tasks.size());
        }
        BOOST_TEST(startsOf(session, key).size() == 20U);
        for (const auto &[task, count] : startsOf(session, key)) {
            BOOST_TEST(count == 1);
        }
    }
}

BOOST_AUTO_TEST_CASE(AcceptedJobIsAdoptedAfterItsHomeIsKilled)
{
    Session session(makeOptions());
    session.runUntil(1s);
    const JobKey key("durable-1");
    const std::size_t call = session.submit(0, Riders, key, makeJob(300, "lookup", SubmitMode::Later));
    session.runUntil(1s + 60ms);
    onlyReply<JobAccepted>(session, call);
    session.kill(0);
    session.runUntil(6s + 60ms);
    const std::size_t fetched = session.fetch(2, Riders, key, false);
    session.runUntil(7s);
    const auto &answer = onlyReply<JobAnswer>(session, fetched);
    BOOST_TEST((answer.outcome == JobOutcome::Complete));
    BOOST_TEST(answer.tasks.size() == 300U);
}

BOOST_AUTO_TEST_CASE(AdoptedJobUnderAnIssuedKeyIsFoundAlthoughItsIssuerIsDead)
{
    Session session(makeOptions());
    session.runUntil(1s);
    const JobKey key = issueKey(session, 0);
    const std::size_t call = session.submit(0, Riders, key, makeJob(100, "lookup", SubmitMode::Later));
    session.runUntil(session.now() + 60ms);
    onlyReply<JobAccepted>(session, call);
    session.kill(0);
    session.runUntil(session.now() + 6s);
    const std::size_t fetched = session.fetch(3, Riders, key, true);
    const std::size_t again = session.submit(2, Riders, key, makeJob(100, "lookup", SubmitMode::Later));
    session.runUntil(session.now() + 3s);
    BOOST_TEST((onlyReply<JobAnswer>(session, fetched).outcome == JobOutcome::Complete));
    BOOST_TEST((onlyReply<JobAnswer>(session, again).outcome == JobOutcome::Complete));
}

BOOST_AUTO_TEST_CASE(ConfigurationIsAcceptedOnceInForceEverywhere)
{
    Session session(makeOptions());
    session.runUntil(5s);
    for (std::uint32_t instance = 0; instance < session.instanceCount(); ++instance) {
        BOOST_TEST(session.stats(instance).configVersion == 1U);
    }
    BOOST_TEST(session.platform().rows().at("config/current").value.find("accepted") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(PlannedStopAnswersWhatIsHeldBeforeItExits)
{
    Session session(makeOptions());
    session.runUntil(1s);
    const JobKey key = issueKey(session, 0);
    const std::size_t call = session.submit(0, Riders, key, makeJob(200, "confirm"));
    session.runUntil(session.now() + 20ms);
    session.stop(0);
    session.runUntil(5s);
    BOOST_TEST((onlyReply<JobAnswer>(session, call).outcome == JobOutcome::Complete));
    BOOST_TEST(!session.isRunning(0));
}

BOOST_AUTO_TEST_CASE(AQueryCoversAllInstancesAndNamesTheDomainThatIsCutOff)
{
    Session session(makeOptions());
    session.runUntil(4s);
    session.operate(0, OperatorName("amal"), "show count of instances");
    session.runUntil(5s);
    session.cutDomains(0, 1, true);
    session.runUntil(8s);
    session.operate(0, OperatorName("amal"), "show count of instances");
    session.runUntil(9s);
    BOOST_REQUIRE_EQUAL(session.operatorReplies().size(), 2U);
    BOOST_TEST(session.operatorReplies()[0].json == R"({"count":4,"missingDomains":[]})");
    BOOST_TEST(session.operatorReplies()[1].json.starts_with(R"({"count":2,"missingDomains":[{"domain":"d1")"));
}

BOOST_AUTO_TEST_CASE(IncarnationsSignTheirKeysWithDifferentSecrets)
{
    Session session(makeOptions());
    session.runUntil(1s);
    const JobKey first = issueKey(session, 0);
    const JobKey second = issueKey(session, 1);
    BOOST_TEST(first.value.substr(first.value.rfind('~')) != second.value.substr(second.value.rfind('~')));
}
