#include "running_standins.h"

#include <boost/test/unit_test.hpp>

using namespace Tanagertally::Standins;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds Short{300};
constexpr milliseconds LongRun{60000};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EndpointOnTheWire, RunningStandins)

BOOST_AUTO_TEST_CASE(EveryStartIsCountedAndAnsweredWithItsOwnTask)
{
    TestClient client(this->endpoint(0));
    for (int task = 0; task < 20; ++task) {
        const std::string id = "job#" + std::to_string(task);
        const Exchange exchange = client.exchange(runCall(id, R"({"n":)" + std::to_string(task) + "}"));
        BOOST_TEST_REQUIRE(exchange.status == 200U);
        BOOST_TEST(exchange.json()["task"] == id);
        BOOST_TEST(exchange.json()["kind"] == "confirm");
        BOOST_TEST(exchange.json()["echo"]["n"] == task);
    }
    BOOST_TEST(this->runOn(1, "job#7").status == 200U);
    const nlohmann::json starts = this->command(R"({"command":"report"})")["starts"];
    BOOST_TEST(starts["total"] == 21);
    BOOST_TEST(starts["tasks"] == 20);
    BOOST_TEST(starts["byKind"]["confirm"] == 21);
    BOOST_TEST(starts["startedAgain"].size() == 1U);
    BOOST_TEST(starts["startedAgain"][0]["task"] == "job#7");
    BOOST_TEST(starts["startedAgain"][0]["starts"] == 2);
    this->command(R"({"command":"reset-counters"})");
    BOOST_TEST(this->command(R"({"command":"report"})")["starts"]["total"] == 0);
}

BOOST_AUTO_TEST_CASE(RefusalsStartNothing)
{
    this->command(R"({"command":"endpoint-faults","workers":["w1"],"refuseBusy":true})");
    this->command(R"({"command":"leave-endpoints","workers":["w2"]})");
    const Exchange busy = this->runOn(0, "a#0");
    BOOST_TEST(busy.status == 503U);
    BOOST_TEST(busy.notStarted == "busy");
    const Exchange leaving = this->runOn(1, "a#1");
    BOOST_TEST(leaving.status == 503U);
    BOOST_TEST(leaving.notStarted == "leaving");
    BOOST_TEST(TestClient(this->endpoint(1)).exchange({"GET", "/health", ""}).json()["state"] == "leaving");
    BOOST_TEST(this->runOn(2, "a#2", "{").status == 400U);
    const nlohmann::json report = this->command(R"({"command":"report"})");
    BOOST_TEST(report["starts"]["total"] == 0);
    BOOST_TEST(report["totals"]["refusedBusy"] == 1);
    BOOST_TEST(report["totals"]["refusedLeaving"] == 1);
    BOOST_TEST(report["totals"]["afterLeaving"]["refused"] == 1);
}

BOOST_AUTO_TEST_CASE(SlotsBoundWhatRuns)
{
    TestClient first(this->endpoint(0));
    TestClient second(this->endpoint(0));
    std::jthread one([&first] { first.exchange(runCall("s#0", R"({"runTimeMs":60000})"), LongRun); });
    std::jthread two([&second] { second.exchange(runCall("s#1", R"({"runTimeMs":60000})"), LongRun); });
    this->awaitTotal("started", 2);
    BOOST_TEST(this->runOn(0, "s#2").notStarted == "busy");
    this->command(R"({"command":"kill-endpoints","workers":["w1"]})");
    BOOST_TEST(this->command(R"({"command":"report"})")["totals"]["killed"] == 2);
}

BOOST_AUTO_TEST_CASE(ARequestCutByItsClientIsCountedAndKeepsItsSlot)
{
    TestClient client(this->endpoint(0));
    BOOST_TEST((client.exchange(runCall("g#0", R"({"runTimeMs":60000})"), Short).ending == Ending::Silent));
    this->awaitTotal("cut", 1);
    BOOST_TEST(this->command(R"({"command":"report"})")["endpoints"][0]["running"] == 1);
}

BOOST_AUTO_TEST_CASE(AnEndpointThatLeavesQuietlyCountsStartsAfterLeaving)
{
    this->command(R"({"command":"leave-endpoints","racks":["r1"],"refuses":false})");
    BOOST_TEST(this->runOn(0, "l#0").status == 200U);
    const nlohmann::json after = this->command(R"({"command":"report"})")["totals"]["afterLeaving"];
    BOOST_TEST(after["started"] == 1);
    BOOST_TEST(after["lastMs"].get<double>() > 0.0);
    this->command(R"({"command":"revive-endpoints","racks":["r1"]})");
    BOOST_TEST(this->runOn(0, "l#1").status == 200U);
    BOOST_TEST(this->command(R"({"command":"report"})")["totals"]["afterLeaving"]["started"] == 1);
}

BOOST_AUTO_TEST_CASE(KilledEndpointsRefuseConnectionsUntilRevived)
{
    TestClient open(this->endpoint(0));
    BOOST_TEST(open.exchange(runCall("k#0", "{}")).status == 200U);
    this->command(R"({"command":"kill-endpoints","domains":["dc1"]})");
    BOOST_TEST((open.exchange(runCall("k#1", "{}")).ending == Ending::Closed));
    BOOST_TEST((this->runOn(0, "k#2").ending == Ending::Refused));
    BOOST_TEST((this->runOn(1, "k#3").ending == Ending::Refused));
    BOOST_TEST(this->runOn(2, "k#4").status == 200U);
    this->command(R"({"command":"revive-endpoints","domains":["dc1"]})");
    BOOST_TEST(this->runOn(0, "k#5").status == 200U);
}

BOOST_AUTO_TEST_CASE(SilencedConnectionsStaySilentWhileNewOnesWork)
{
    TestClient open(this->endpoint(0));
    BOOST_TEST(open.exchange(runCall("q#0", "{}")).status == 200U);
    BOOST_TEST(this->command(R"({"command":"silence-connections","workers":["w1"]})")["connections"] == 1);
    BOOST_TEST((open.exchange(runCall("q#1", "{}"), Short).ending == Ending::Silent));
    BOOST_TEST(this->runOn(0, "q#2").status == 200U);
    BOOST_TEST(this->command(R"({"command":"starts","tasks":["q#1"]})")["starts"]["q#1"] == 0);
}

BOOST_AUTO_TEST_CASE(SilentEndpointsAnswerNothingOnAnyConnection)
{
    this->command(R"({"command":"endpoint-faults","workers":["w1"],"silent":true})");
    TestClient client(this->endpoint(0));
    BOOST_TEST((client.exchange(runCall("n#0", "{}"), Short).ending == Ending::Silent));
    BOOST_TEST((TestClient(this->endpoint(0)).exchange({"GET", "/health", ""}, Short).ending == Ending::Silent));
    this->command(R"({"command":"clear-endpoint-faults","all":true})");
    BOOST_TEST(this->runOn(0, "n#1").status == 200U);
    BOOST_TEST(this->command(R"({"command":"starts","tasks":["n#0"]})")["starts"]["n#0"] == 0);
}

BOOST_AUTO_TEST_CASE(FaultsOfRunsShowOnTheWire)
{
    this->command(R"({"command":"endpoint-faults","workers":["w1"],"failProbability":1})");
    this->command(R"({"command":"endpoint-faults","workers":["w2"],"dropProbability":1})");
    this->command(R"({"command":"endpoint-faults","workers":["w3"],"lateProbability":1,"lateDelay":"400ms"})");
    BOOST_TEST(this->runOn(0, "f#0").status == 500U);
    BOOST_TEST((this->runOn(1, "f#1").ending == Ending::Closed));
    BOOST_TEST((TestClient(this->endpoint(2)).exchange(runCall("f#2", "{}"), milliseconds(200)).ending == Ending::Silent));
    BOOST_TEST(TestClient(this->endpoint(2)).exchange(runCall("f#3", "{}")).status == 200U);
    BOOST_TEST(this->runOn(3, "f#4", R"({"poison":true})").status == 422U);
    const nlohmann::json report = this->command(R"({"command":"report"})");
    BOOST_TEST(report["starts"]["total"] == 5);
    BOOST_TEST(report["totals"]["dropped"] == 1);
    BOOST_TEST(report["totals"]["late"] == 2);
}

BOOST_AUTO_TEST_CASE(ConnectionsOverTheLimitAreClosed)
{
    std::vector<std::unique_ptr<TestClient>> clients;
    for (int number = 0; number < 4; ++number) {
        clients.push_back(std::make_unique<TestClient>(this->endpoint(0)));
        BOOST_TEST(clients.back()->exchange(runCall("c#" + std::to_string(number), "{}")).status == 200U);
    }
    BOOST_TEST((this->runOn(0, "c#9").ending == Ending::Closed));
    BOOST_TEST(this->command(R"({"command":"report"})")["endpoints"][0]["connectionsOverLimit"] == 1);
}

BOOST_AUTO_TEST_SUITE_END()
