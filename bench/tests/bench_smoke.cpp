#define BOOST_TEST_MODULE bench_smoke
#include "batch.h"
#include "histogram.h"
#include "plot.h"
#include "report.h"
#include "scenario_table.h"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace Tanagertally;
using namespace std::chrono_literals;

namespace {

RunResult runShort(std::string_view user, std::string_view scenario, std::uint64_t seed)
{
    const RunLength length{3s, 5s, 15s};
    return runScenario(*findByName(allUsers(), user), *findByName(allScenarios(), scenario), allPolicies().front(), length, seed);
}

void checkInvariants(const RunFigures &figures)
{
    BOOST_TEST(figures.jobs > 100U);
    BOOST_TEST(figures.openJobs == 0U);
    BOOST_TEST(figures.untrueRefusals == 0U);
    BOOST_TEST(figures.doubleStarts == 0U);
    BOOST_TEST(figures.starts >= figures.completeTasks);
    BOOST_TEST(figures.messages >= 2 * figures.completeTasks);
    BOOST_TEST(figures.ratio.quantile(0.0) >= 0.99 * RatioUnit);
    BOOST_TEST(figures.messages - figures.allWasted() == 2 * figures.completeTasks);
}

} // namespace

BOOST_AUTO_TEST_CASE(CalmLoadKeepsTheInvariants)
{
    const RunResult result = runShort("riyad", "calm-60", 7);
    checkInvariants(result.figures);
    BOOST_TEST(result.figures.completeTasks == result.figures.tasks);
}

BOOST_AUTO_TEST_CASE(FailingWorkerKeepsTheInvariants)
{
    checkInvariants(runShort("inyange", "failing-worker", 7).figures);
}

BOOST_AUTO_TEST_CASE(SameSeedGivesTheSameReportWhateverTheThreads)
{
    Batch batch;
    batch.users = {*findByName(allUsers(), "riyad")};
    batch.scenarios = {*findByName(allScenarios(), "calm-30"), *findByName(allScenarios(), "silent-connections")};
    batch.policies = {allPolicies().front()};
    batch.length = RunLength{3s, 2s, 15s};
    const std::vector<RunResult> once = runBatch(batch, 1);
    const std::vector<RunResult> again = runBatch(batch, 2);
    BOOST_TEST(makeCsvReport(once) == makeCsvReport(again));
    BOOST_TEST(makePlot(once, "plot") == makePlot(again, "plot"));
}

BOOST_AUTO_TEST_CASE(NamesOfScenariosAreUniqueAndTargetsNameThem)
{
    std::set<std::string> names;
    for (const Scenario &scenario : allScenarios()) {
        BOOST_TEST(names.insert(scenario.name).second);
    }
    for (const Target &target : allTargets()) {
        BOOST_TEST(names.contains(std::string(target.scenario)));
        BOOST_TEST((target.baseline.empty() || names.contains(std::string(target.baseline))));
    }
}

BOOST_AUTO_TEST_CASE(HistogramKeepsQuantilesWithinItsPrecisionAndMerges)
{
    Histogram<7> low;
    Histogram<7> high;
    for (std::uint64_t value = 1; value <= 10000; ++value) {
        (value <= 5000 ? low : high).add(value);
    }
    low.merge(high);
    BOOST_TEST(low.count() == 10000U);
    BOOST_TEST(low.max() == 10000U);
    for (const double fraction : {0.1, 0.5, 0.9, 0.99, 0.999}) {
        BOOST_TEST(static_cast<double>(low.quantile(fraction)) == fraction * 10000, boost::test_tools::tolerance(0.01));
    }
}
