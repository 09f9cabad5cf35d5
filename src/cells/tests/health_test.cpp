#include "cells/endpoint_health.h"

#include <boost/test/unit_test.hpp>

using namespace Tanagertally;
using namespace Tanagertally::Cells;
using namespace std::chrono_literals;

namespace {

const TimePoint Start(100s);

JobId job(int number)
{
    return JobId(std::to_string(number));
}

} // namespace

BOOST_AUTO_TEST_SUITE(Health)

BOOST_AUTO_TEST_CASE(EndpointThatFailsSeveralJobsInARowIsSuspectWithGrowingTrialIntervals)
{
    EndpointHealth health;
    health.recordFailure(Start, job(1));
    BOOST_TEST(!health.isSuspect());
    health.recordFailure(Start, job(2));
    BOOST_TEST(health.isSuspect());
    BOOST_TEST(!health.isTrialDue(Start + 100ms));
    BOOST_TEST(health.isTrialDue(Start + 500ms));
    health.recordFailure(Start + 500ms, job(3));
    BOOST_TEST(!health.isTrialDue(Start + 1s));
    health.recordSuccess(Start + 2s, 60ms, 60ms);
    BOOST_TEST(!health.isSuspect());
}

BOOST_AUTO_TEST_CASE(RepeatedFailuresOfOneJobDoNotMakeAnEndpointSuspect)
{
    EndpointHealth health;
    for (int count = 0; count < 5; ++count) {
        health.recordFailure(Start, job(1));
    }
    BOOST_TEST(!health.isSuspect());
}

BOOST_AUTO_TEST_CASE(SlownessIsDetectedWithinThreeRunsAndDecaysWithinSeconds)
{
    EndpointHealth health;
    for (int count = 0; count < 3; ++count) {
        health.recordSuccess(Start, 390ms, 60ms);
    }
    BOOST_TEST(health.slowness(Start) > 4);
    BOOST_TEST(health.slowness(Start + 10s) < 1.5);
}

BOOST_AUTO_TEST_CASE(RunFarBeyondItsEstimateIsStalledButAnUnderestimatedRunIsNot)
{
    EndpointHealth health;
    BOOST_TEST(!health.isStalled(Start, 250ms, 60ms));
    BOOST_TEST(health.isStalled(Start, 600ms, 60ms));
    BOOST_TEST(!health.isStalled(Start, 3s, 900ms));
}

BOOST_AUTO_TEST_SUITE_END()
