#include "node/process_budget.h"

#include <boost/test/unit_test.hpp>

using namespace Tanagertally::Cells;

BOOST_AUTO_TEST_SUITE(ProcessBudgets)

// Guards against parts that exceed what the settings give a process, or that leave nothing for one of its addresses.
BOOST_AUTO_TEST_CASE(PartsFitIntoTheResources)
{
    constexpr std::size_t FileDescriptors = 200;
    constexpr std::size_t LeastOutbound = 20; // A store connection for each feed, and a few endpoints.
    for (std::size_t descriptors : {264U, 300U, 600U, 1024U, 3075U, 4100U, 10250U, 1000000U}) {
        const ProcessBudget budget = divideResources({64'000'000, descriptors});
        BOOST_TEST(budget.callerConnections > 0U);
        BOOST_TEST(budget.balancerConnections > 0U);
        BOOST_TEST(budget.peerConnections > 0U);
        const std::size_t inbound
            = budget.callerConnections + budget.balancerConnections + 2 * budget.refusedConnections + budget.peerConnections;
        BOOST_TEST(inbound + LeastOutbound <= descriptors - FileDescriptors);
    }
    for (std::size_t megabytes : {16U, 64U, 120U, 260U, 512U, 100'000U}) {
        const std::size_t bytes = megabytes * 1'000'000;
        const ProcessBudget budget = divideResources({bytes, 4100});
        BOOST_TEST(budget.callerBytes > 0U);
        BOOST_TEST(budget.balancerBytes > 0U);
        BOOST_TEST(budget.callerBytes + budget.balancerBytes <= bytes / 2);
    }
}

BOOST_AUTO_TEST_CASE(TooFewDescriptorsCountAsTheLeastNumber)
{
    BOOST_TEST(divideResources({64'000'000, 0}).callerConnections == divideResources({64'000'000, 264}).callerConnections);
}

BOOST_AUTO_TEST_SUITE_END()
