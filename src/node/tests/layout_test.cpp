// Division of a failure domain into cells: several leaders share the orders to its endpoints, and jobs spread over them.
#include "node/cell_directory.h"
#include "node/cell_layout.h"
#include "node/tests/node_world.h"

#include <boost/test/unit_test.hpp>

#include <map>

using namespace Tanagertally;
using namespace Tanagertally::Cells;
using namespace Tanagertally::Cells::Test;
using namespace std::chrono_literals;

namespace {

const FailureDomain Domain("a");

std::vector<EndpointRecord> endpointsInRacks(std::size_t count, std::size_t perRack)
{
    std::vector<EndpointRecord> records(count);
    for (std::size_t index = 0; index < count; ++index) {
        records[index].name = EndpointName("e" + std::to_string(index));
        records[index].domain = Domain;
        records[index].labels = {"kind", "r4-" + std::to_string(index / perRack)};
    }
    return records;
}

std::map<CellName, CellView> cellsWithFreeCpu(std::span<const std::int64_t> freeCpu)
{
    std::map<CellName, CellView> cells;
    const std::vector<CellName> names = cellsOf({Domain, static_cast<std::uint32_t>(freeCpu.size())});
    for (std::size_t index = 0; index < freeCpu.size(); ++index) {
        CellView &view = cells[names[index]];
        view.domain = Domain;
        view.leader = InstanceName("leader");
        view.load.capacityCpu = 480000;
        view.load.freeCpu = freeCpu[index];
    }
    return cells;
}

/** @return By cell, the number of 3,000 jobs that are offered to it first. */
std::map<CellName, std::size_t> firstChoices(const std::map<CellName, CellView> &cells)
{
    std::map<CellName, std::size_t> counts;
    for (std::uint64_t job = 0; job < 3000; ++job) {
        ++counts[rankCells(cells, Domain, {1000, {}, job}).front()];
    }
    return counts;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Layout)

BOOST_AUTO_TEST_CASE(SmallDomainStaysWholeAndKeepsItsName)
{
    BOOST_TEST(chooseCellCount(0) == 1U);
    BOOST_TEST(chooseCellCount(24) == 1U);
    BOOST_TEST(chooseCellCount(60) == 1U);
    const DomainLayout layout{Domain, chooseCellCount(24)};
    BOOST_TEST((cellsOf(layout) == std::vector{CellName("a")}));
    BOOST_TEST((cellOf(layout, endpointsInRacks(1, 8).front()) == CellName("a")));
}

BOOST_AUTO_TEST_CASE(LargeDomainIsDividedByRackIntoCellsOfAboutTheSameSize)
{
    const std::vector<EndpointRecord> endpoints = endpointsInRacks(144, 8);
    const DomainLayout layout{Domain, chooseCellCount(endpoints.size())};
    BOOST_TEST(layout.cellCount == 3U);
    std::map<CellName, std::size_t> sizes;
    std::map<std::string, CellName> cellOfRack;
    for (const EndpointRecord &endpoint : endpoints) {
        const CellName cell = cellOf(layout, endpoint);
        ++sizes[cell];
        BOOST_TEST((cellOfRack.emplace(endpoint.labels.back(), cell).first->second == cell));
    }
    BOOST_TEST(sizes.size() == 3U);
    for (const auto &[cell, size] : sizes) {
        BOOST_TEST(size == 48U);
    }
}

BOOST_AUTO_TEST_CASE(EndpointsWithoutARackAreSpreadOverAllCells)
{
    std::vector<EndpointRecord> endpoints = endpointsInRacks(300, 8);
    std::map<CellName, std::size_t> sizes;
    for (EndpointRecord &endpoint : endpoints) {
        endpoint.labels.clear();
        ++sizes[cellOf({Domain, 3}, endpoint)];
    }
    BOOST_TEST(sizes.size() == 3U);
    for (const auto &[cell, size] : sizes) {
        BOOST_TEST(size > 60U);
    }
}

BOOST_AUTO_TEST_CASE(JobsSpreadOverCellsOfADomainByTheirFreeCapacity)
{
    // All instances of a domain see the same loads, 250 ms old; without a spread all of them send to the same cell.
    const std::int64_t alike[] = {400000, 398000, 396000};
    for (const auto &[cell, count] : firstChoices(cellsWithFreeCpu(alike))) {
        BOOST_TEST(count > 800U);
        BOOST_TEST(count < 1200U);
    }
    const std::int64_t oneIsBusy[] = {400000, 400000, 40000};
    auto counts = firstChoices(cellsWithFreeCpu(oneIsBusy));
    BOOST_TEST(counts[CellName("a/3")] < 200U);
    BOOST_TEST(counts[CellName("a/1")] > 1200U);
}

BOOST_AUTO_TEST_CASE(CellsOfADividedDomainAreLedByDifferentInstances)
{
    NodeWorld fleet(3, 135);
    fleet.world.advanceTime(3s);
    for (const WorldNode &entry : fleet.nodes) {
        BOOST_TEST(entry.node->leadsCells());
    }
}

BOOST_AUTO_TEST_CASE(CellsOfALostLeaderGoToTheOthers)
{
    NodeWorld fleet(3, 135);
    fleet.world.advanceTime(3s);
    fleet.kill(0);
    fleet.world.advanceTime(4s);
    const CallId call = fleet.submit(1, JobId("00000000000000a1"), 40);
    BOOST_TEST(fleet.world.advanceUntil([&] { return fleet.nodes[1].submitAnswers.contains(call); }, 2s));
    BOOST_TEST((fleet.nodes[1].submitAnswers[call].verdict == SubmitVerdict::Ended));
    BOOST_TEST(fleet.world.startCount == 40U);
    BOOST_TEST(fleet.world.violations.empty());
}

BOOST_AUTO_TEST_CASE(InstanceWithSeveralLeadsGivesOneToAnIdleInstanceOfTheSameStrength)
{
    const LeadershipLimits limits;
    const std::vector<LeadCandidate> candidates = {{InstanceName("several"), Domain, 0.5, 2}, {InstanceName("idle"), Domain, 0.5, 0}};
    BOOST_TEST(shouldReleaseLead(candidates.front(), Domain, candidates, 6s, limits));
    BOOST_TEST(!shouldReleaseLead({InstanceName("several"), Domain, 0.5, 1}, Domain, candidates, 6s, limits));
}

BOOST_AUTO_TEST_CASE(StrongInstanceLeadsSeveralCellsBeforeAWeakOneLeadsAny)
{
    const std::vector<LeadCandidate> candidates = {{InstanceName("strong"), Domain, 0.5, 1}, {InstanceName("weak"), Domain, 0.12, 0}};
    BOOST_TEST(rankCandidates(CellName("a/1"), Domain, candidates).front() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
