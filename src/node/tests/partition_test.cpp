// Instances that don't reach each other, while all of them reach the store and the endpoints.
#include "node/tests/node_world.h"

#include <boost/test/unit_test.hpp>

using namespace Tanagertally;
using namespace Tanagertally::Cells;
using namespace Tanagertally::Cells::Test;
using namespace std::chrono_literals;

namespace {

constexpr Duration Cut = 4s;
/** Two instances and two endpoints in one domain, one of each in another. */
struct Partition {
    NodeWorld fleet{3, 3, true, true};
    std::size_t leader = 0; ///< Leads the first domain's cell.

    Partition()
    {
        this->fleet.world.advanceTime(3s);
        this->leader = *this->fleet.leader();
    }

    /** Cuts an instance off from all others. */
    void cutOff(std::size_t node)
    {
        for (std::size_t other = 0; other < this->fleet.nodes.size(); ++other) {
            if (other != node) {
                this->fleet.cutPaths.insert({node, other});
                this->fleet.cutPaths.insert({other, node});
            }
        }
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(Partitions)

// Guards against two instances of one domain that take the lead from each other several times a second, as each takes the silent link to
// the other for its loss, although the store names the other as the leader.
BOOST_FIXTURE_TEST_CASE(InstancesThatDontReachEachOtherDontTakeTheLeadInTurn, Partition)
{
    constexpr std::uint64_t MaxClaims = 2; // One by an instance that counts the leader as lost, one after the cut.
    const std::uint64_t before = this->fleet.tokenOf(this->fleet.cell).value;
    this->cutOff(this->leader);
    this->fleet.world.advanceTime(Cut);
    this->fleet.cutPaths.clear();
    this->fleet.world.advanceTime(2s);
    BOOST_TEST(this->fleet.tokenOf(this->fleet.cell).value <= before + MaxClaims);
}

// Guards against an instance that is cut off from all others and takes the lead from one that they reach, so that nobody reaches the cell.
BOOST_AUTO_TEST_CASE(InstanceThatIsCutOffFromAllOthersTakesNoLead)
{
    NodeWorld fleet(4, 4);
    fleet.world.advanceTime(3s);
    const std::size_t leader = *fleet.leader();
    const std::size_t cutOff = (leader + 1) % 4;
    for (std::size_t other = 0; other < fleet.nodes.size(); ++other) {
        fleet.cutPaths.insert({cutOff, other});
        fleet.cutPaths.insert({other, cutOff});
    }
    fleet.world.advanceTime(Cut);
    BOOST_TEST(fleet.nodes[leader].node->leadsCells());
    const JobId job("00000000000000a1");
    const CallId call = fleet.submit((leader + 2) % 4, job, 1);
    fleet.world.advanceTime(1s);
    const auto &answers = fleet.nodes[(leader + 2) % 4].submitAnswers;
    BOOST_TEST_REQUIRE(answers.contains(call));
    BOOST_TEST((answers.at(call).verdict == SubmitVerdict::Ended));
}

// Guards against leads that are taken in turn although the links between the instances are still open, as with many peers.
BOOST_FIXTURE_TEST_CASE(InstancesDontTakeTheLeadInTurnWhileTheirSilentLinksAreOpen, Partition)
{
    constexpr std::uint64_t MaxClaims = 2; // As above.
    this->fleet.deadLinkSilence = 4s; // Of an instance with 100 peers.
    const std::uint64_t before = this->fleet.tokenOf(this->fleet.cell).value;
    this->cutOff(this->leader);
    this->fleet.world.advanceTime(Cut);
    BOOST_TEST(this->fleet.tokenOf(this->fleet.cell).value <= before + MaxClaims);
}

// Guards against a cell without a leader: the instance that the store names as such, and that this one doesn't reach, crashes.
BOOST_FIXTURE_TEST_CASE(LeaderThatIsCutOffAndCrashesIsReplaced, Partition)
{
    constexpr Duration ReplacementBound = 4s; // LeadershipLimits::rowSilence, a read of the rows and a claim.
    this->cutOff(this->leader);
    this->fleet.world.advanceTime(2s);
    BOOST_TEST_REQUIRE(!this->fleet.nodes[this->leader].node->leadsCells());
    this->fleet.cutPower(*this->fleet.leader());
    const auto leadsAgain = [this] { return this->fleet.nodes[this->leader].node->leadsCells(); };
    BOOST_TEST(this->fleet.world.advanceUntil(leadsAgain, ReplacementBound));
}

BOOST_AUTO_TEST_SUITE_END()
