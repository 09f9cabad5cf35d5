#include "running_standins.h"

#include <boost/test/unit_test.hpp>

using namespace Tanagertally::Standins;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds Short{300};
constexpr const char *WriteA = R"({"conditions":[{"key":"a","version":0}],"writes":[{"key":"a","value":"1"}]})";
constexpr const char *ReadA = R"({"keys":["a"]})";

} // namespace

BOOST_FIXTURE_TEST_SUITE(PlatformOnTheWire, RunningStandins)

BOOST_AUTO_TEST_CASE(ConflictsAnswerTheRowsAsTheyAre)
{
    const Exchange first = this->askPlatform("/v1/transact", WriteA);
    BOOST_TEST(first.status == 200U);
    BOOST_TEST(first.json() == nlohmann::json::parse(R"({"rows":[{"key":"a","version":1}]})"));
    const Exchange second = this->askPlatform("/v1/transact", WriteA);
    BOOST_TEST(second.status == 409U);
    BOOST_TEST(second.json() == nlohmann::json::parse(R"({"rows":[{"key":"a","value":"1","version":1}]})"));
    BOOST_TEST(this->askPlatform("/v1/transact", "{").status == 400U);
    BOOST_TEST(this->askPlatform("/v1/read", ReadA).json() == second.json());
}

BOOST_AUTO_TEST_CASE(AnAnswerIsLostAfterItsEffect)
{
    this->command(R"({"command":"platform-faults","all":true,"lostAnswerProbability":1})");
    BOOST_TEST((this->askPlatform("/v1/transact", WriteA).ending == Ending::Closed));
    BOOST_TEST(this->askPlatform("/v1/read", ReadA).json()["rows"][0]["value"] == "1");
    this->command(R"({"command":"clear-platform-faults","all":true})");
    BOOST_TEST(this->askPlatform("/v1/transact", WriteA).status == 409U);
    const nlohmann::json counts = this->command(R"({"command":"report"})")["platform"];
    BOOST_TEST(counts["lostAnswers"] == 1);
    BOOST_TEST(counts["transactions"] == 1);
    BOOST_TEST(counts["conflicts"] == 1);
    BOOST_TEST(this->command(R"({"command":"dump-table"})")["rows"].size() == 1U);
}

BOOST_AUTO_TEST_CASE(OutagesHaveNoEffectAndEnd)
{
    this->command(R"({"command":"platform-faults","all":true,"outage":"refused"})");
    BOOST_TEST((this->askPlatform("/v1/transact", WriteA).ending == Ending::Refused));
    this->command(R"({"command":"platform-faults","all":true,"outage":"silent"})");
    BOOST_TEST((this->askPlatform("/v1/transact", WriteA, "", Short).ending == Ending::Silent));
    this->command(R"({"command":"platform-faults","all":true,"outage":"unavailable"})");
    BOOST_TEST(this->askPlatform("/v1/transact", WriteA).status == 503U);
    this->command(R"({"command":"clear-platform-faults","all":true})");
    BOOST_TEST(this->askPlatform("/v1/transact", WriteA).status == 200U);
}

BOOST_AUTO_TEST_CASE(FaultsHoldForTheDomainOrInstanceNamed)
{
    this->command(R"({"command":"add-instance","name":"e1","domain":"dc1","peerAddress":"127.0.0.1:1"})");
    this->command(R"({"command":"add-instance","name":"e2","domain":"dc2","peerAddress":"127.0.0.1:2"})");
    this->command(R"({"command":"platform-faults","domains":["dc1"],"outage":"unavailable"})");
    BOOST_TEST(this->askPlatform("/v1/read", ReadA, "e1").status == 503U);
    BOOST_TEST(this->askPlatform("/v1/read", ReadA, "e2").status == 200U);
    BOOST_TEST(this->askPlatform("/v1/read", ReadA).status == 200U);
    this->command(R"({"command":"clear-platform-faults","domains":["dc1"]})");
    BOOST_TEST(this->askPlatform("/v1/read", ReadA, "e1").status == 200U);
}

BOOST_AUTO_TEST_CASE(ACutSilencesTheConnectionsOfAnInstance)
{
    const Call call{"POST", "/v1/read", ReadA, {{"Client-Instance", "e1"}}};
    TestClient open(this->platform->address());
    BOOST_TEST(open.exchange(call).status == 200U);
    this->command(R"({"command":"cut-clients","instances":["e1"]})");
    BOOST_TEST((this->askPlatform("/v1/read", ReadA, "e1", Short).ending == Ending::Silent));
    BOOST_TEST(this->askPlatform("/v1/read", ReadA, "e2").status == 200U);
    this->command(R"({"command":"heal-clients","instances":["e1"]})");
    BOOST_TEST(this->askPlatform("/v1/read", ReadA, "e1").status == 200U);
    BOOST_TEST((open.exchange(call, Short).ending == Ending::Silent));
}

BOOST_AUTO_TEST_CASE(SlowModeDelaysAndTheRateRefuses)
{
    this->command(R"({"command":"platform-speed","writeLatency":"10ms","writeRate":0.001})");
    this->command(R"({"command":"platform-faults","all":true,"extraLatency":"10ms","slowFactor":5})");
    const auto begin = std::chrono::steady_clock::now();
    BOOST_TEST(this->askPlatform("/v1/transact", WriteA).status == 200U);
    BOOST_TEST((std::chrono::steady_clock::now() - begin >= milliseconds(100)));
    BOOST_TEST(this->askPlatform("/v1/transact", WriteA).status == 503U);
}

BOOST_AUTO_TEST_CASE(TheListLagsBehindTheEndpoints)
{
    this->command(R"({"command":"list-lag","lag":"1000s"})");
    this->command(R"({"command":"kill-endpoints","workers":["w1"]})");
    this->command(R"({"command":"leave-endpoints","workers":["w2"]})");
    const Call list{"GET", "/v1/instances", ""};
    TestClient client(this->platform->address());
    const nlohmann::json before = client.exchange(list).json()["endpoints"];
    BOOST_TEST(before.size() == 4U);
    BOOST_TEST(before[1]["state"] == "live");
    this->command(R"({"command":"list-lag","lag":"0"})");
    const nlohmann::json after = client.exchange(list).json()["endpoints"];
    BOOST_TEST(after.size() == 3U);
    BOOST_TEST(after[0]["worker"] == "w2");
    BOOST_TEST(after[0]["state"] == "leaving");
}

BOOST_AUTO_TEST_CASE(ObjectsAreKept)
{
    TestClient client(this->platform->address());
    BOOST_TEST(client.exchange({"PUT", "/v1/objects/a%2Fb", "body"}).status == 200U);
    BOOST_TEST(client.exchange({"GET", "/v1/objects/a%2Fb", ""}).body == "body");
    BOOST_TEST(client.exchange({"GET", "/v1/objects/none", ""}).status == 404U);
}

BOOST_AUTO_TEST_SUITE_END()
