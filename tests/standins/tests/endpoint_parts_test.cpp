#include "command_codec.h"
#include "fleet.h"

#include <boost/test/unit_test.hpp>

#include <thread>

using namespace Tanagertally;
using namespace Tanagertally::Standins;
using std::chrono::milliseconds;

BOOST_AUTO_TEST_SUITE(EndpointParts)

BOOST_AUTO_TEST_CASE(LedgerCountsStartsByTaskAndKind)
{
    StartLedger ledger;
    BOOST_TEST(ledger.record("a#0", "lookup", "w1") == 1U);
    BOOST_TEST(ledger.record("a#1", "confirm", "w1") == 1U);
    BOOST_TEST(ledger.record("a#1", "confirm", "w2") == 2U);
    BOOST_TEST(ledger.record("a#1", "confirm", "w3") == 3U);
    const StartSummary summary = ledger.summary();
    BOOST_TEST(summary.starts == 4U);
    BOOST_TEST(summary.tasks == 2U);
    BOOST_TEST(summary.startsByKind.at("confirm") == 3U);
    BOOST_TEST(summary.repeatsByKind.at("confirm") == 2U);
    BOOST_TEST_REQUIRE(summary.repeated.size() == 1U);
    BOOST_TEST(summary.repeated[0].task == "a#1");
    BOOST_TEST(summary.repeated[0].starts == 3U);
    BOOST_TEST((summary.repeated[0].workers == std::vector<std::string>{"w2", "w3"}));
    BOOST_TEST(ledger.startsOf("a#1") == 3U);
    ledger.reset();
    BOOST_TEST(ledger.startsOf("a#1") == 0U);
    BOOST_TEST(ledger.summary().starts == 0U);
}

BOOST_AUTO_TEST_CASE(LedgerCountsFromManyThreads)
{
    constexpr int Threads = 4;
    constexpr int Tasks = 2000;
    StartLedger ledger;
    {
        std::vector<std::jthread> threads;
        for (int thread = 0; thread < Threads; ++thread) {
            threads.emplace_back([&ledger] {
                for (int task = 0; task < Tasks; ++task) {
                    ledger.record("t#" + std::to_string(task), "lookup", "w");
                }
            });
        }
    }
    const StartSummary summary = ledger.summary();
    BOOST_TEST(summary.starts == static_cast<std::uint64_t>(Threads * Tasks));
    BOOST_TEST(summary.tasks == static_cast<std::uint64_t>(Tasks));
    BOOST_TEST(summary.repeated.size() == static_cast<std::size_t>(Tasks));
}

BOOST_AUTO_TEST_CASE(KindsAreReadAndRefusedByText)
{
    const KindSpec kind = parseKind("lookup:lognormal:50ms:0.8").value();
    BOOST_TEST(kind.name == "lookup");
    BOOST_TEST((kind.runTime.shape == RunTimeShape::Lognormal));
    BOOST_TEST((kind.runTime.scale == milliseconds(50)));
    BOOST_TEST(kind.runTime.sigma == 0.8);
    for (const char *text : {"lookup", "lookup:fixed", "lookup:fixed:50", "lookup:uniform:50ms", "lookup:lognormal:50ms", ":fixed:1ms",
                             "lookup:fixed:50ms:1", "lookup:fixed:-1ms"}) {
        BOOST_TEST(parseKind(text).has_error(), text);
    }
}

BOOST_AUTO_TEST_CASE(RunTimesAreTheSameForTheSameSeedAndTaskOnAnyWorker)
{
    RunTimeTable table;
    table.kinds["lookup"] = parseRunTime("exponential:50ms").value();
    const TaskRequest first = readTask("a#0", "lookup", "{}").value();
    const TaskRequest second = readTask("a#1", "lookup", "{}").value();
    const Duration drawn = planRun(first, table, {}, "w1", 1).runTime;
    BOOST_TEST((planRun(first, table, {}, "w2", 9).runTime == drawn));
    BOOST_TEST((planRun(second, table, {}, "w1", 1).runTime != drawn));
    table.seed = 2;
    BOOST_TEST((planRun(first, table, {}, "w1", 1).runTime != drawn));
}

BOOST_AUTO_TEST_CASE(DrawnRunTimesHaveTheirMeanAndMedian)
{
    constexpr std::size_t Draws = 20000;
    RandomEngine engine(3);
    const RunTimeSpec exponential = parseRunTime("exponential:50ms").value();
    const RunTimeSpec lognormal = parseRunTime("lognormal:50ms:1").value();
    Duration sum{};
    std::size_t belowMedian = 0;
    for (std::size_t draw = 0; draw < Draws; ++draw) {
        sum += drawRunTime(exponential, engine);
        belowMedian += drawRunTime(lognormal, engine) < milliseconds(50) ? 1 : 0;
    }
    BOOST_TEST(toMilliseconds(sum) / Draws == 50.0, boost::test_tools::tolerance(0.05));
    BOOST_TEST(static_cast<double>(belowMedian) / Draws == 0.5, boost::test_tools::tolerance(0.05));
}

BOOST_AUTO_TEST_CASE(PayloadDecidesRunTimeAndFailureOfTheTask)
{
    const RunTimeTable table;
    const TaskRequest request = readTask("a#0", "lookup", R"({"poison":true,"runTimeMs":2.5})").value();
    EndpointFaults faults;
    faults.slowFactor = 2.0;
    const RunPlan plan = planRun(request, table, faults, "w1", 1);
    BOOST_TEST((plan.outcome == RunOutcome::FailTask));
    BOOST_TEST((plan.runTime == milliseconds(5)));
    faults.failProbability = 1.0;
    BOOST_TEST((planRun(request, table, faults, "w1", 1).outcome == RunOutcome::FailEndpoint));
    BOOST_TEST((planRun(request, table, faults, "w1", 1).runTime == Duration::zero()));
    BOOST_TEST(readTask("", "lookup", "{}").error().field == "Task-Id");
    BOOST_TEST(readTask("a", "", "{}").error().field == "Task-Kind");
    BOOST_TEST(readTask("a", "b", "{").error().field == "body");
    BOOST_TEST(answerBody(readTask("a\"#0", "b", "[1]").value()) == R"({"task":"a\"#0","kind":"b","echo":[1]})");
}

BOOST_AUTO_TEST_CASE(WorkersAreDealtToRacksAndDomains)
{
    FleetOptions options;
    options.workersPerRack = 6;
    options.domains = 4;
    BOOST_TEST(placeOf(0, options).worker == "w1");
    BOOST_TEST(placeOf(5, options).rack == "r1");
    BOOST_TEST(placeOf(6, options).rack == "r2");
    BOOST_TEST(placeOf(6, options).domain == "dc2");
    BOOST_TEST(placeOf(24, options).domain == "dc1");
}

BOOST_AUTO_TEST_CASE(CommandsAreRefusedByField)
{
    BOOST_TEST(readCommand(R"({"command":"report"})").has_value());
    BOOST_TEST(readCommand(R"({"command":"nonsense"})").error().field == "command");
    BOOST_TEST(readCommand(R"({"command":"report","more":1})").error().field == "more");
    BOOST_TEST(readCommand(R"({"command":"endpoint-faults","all":true,"failProbability":1.5})").error().field == "failProbability");
    BOOST_TEST(readCommand(R"({"command":"endpoint-faults","all":true,"lateDelay":5})").error().field == "lateDelay");
    BOOST_TEST(readCommand(R"({"command":"platform-faults","all":true,"outage":"odd"})").error().field == "outage");
    BOOST_TEST(readCommand(R"({"command":"cut-clients"})").error().field == "instances");
    BOOST_TEST(readCommand(R"({"command":"list-lag"})").error().field == "lag");
}

BOOST_AUTO_TEST_SUITE_END()
