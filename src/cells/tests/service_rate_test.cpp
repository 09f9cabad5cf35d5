// Overload of a cell whose endpoints are slower than declared: admission by the measured service rate against the nominal one.
#include "cells/service_rate.h"
#include "cells/tests/cell_world.h"

#include <boost/test/unit_test.hpp>

using namespace Tanagertally;
using namespace Tanagertally::Cells;
using namespace Tanagertally::Cells::Test;
using namespace std::chrono_literals;

namespace {

/** Outcomes of jobs during an overload. */
struct OverloadResult {
    std::size_t submitted = 0;
    std::size_t inTime = 0; ///< Ended within their objective.
    std::size_t startedInVain = 0; ///< Ended after three times their objective, when nobody needs them, or given up after a start.
};

/**
 * Runs jobs of 4 tasks with an estimate of 100 ms on 40 slots where each run takes 150 ms; for 5 s, jobs arrive at the nominal rate, which
 * is 1.5 times the real one.
 */
OverloadResult runSlowEndpoints()
{
    constexpr Duration Objective = 220ms; // 1.6 times the estimate plus 60 ms; see CellWorld::submit().
    constexpr Duration Estimate = 100ms;
    CellWorld world(20);
    world.addLeader();
    world.advanceTime(1s);
    OverloadResult result;
    std::map<CallId, TimePoint> openCalls;
    const TimePoint start = world.now;
    double dueJobs = 0;
    while (world.now < start + 6s) {
        dueJobs += world.now < start + 5s ? 40 / 4 * (10.0 / 100) : 0;
        for (; dueJobs >= 1; dueJobs -= 1) {
            world.workTime = Estimate;
            openCalls[world.submit(0, JobId("j" + std::to_string(++result.submitted)), 4, true)] = world.now;
        }
        world.workTime = 150ms;
        world.advanceTime(10ms);
        for (const auto &[call, answer] : world.leaders[0].submitAnswers) {
            const auto open = openCalls.find(call);
            if (open == openCalls.end()) {
                continue;
            }
            const Duration took = world.now - open->second;
            const bool hasEnded = answer.verdict == SubmitVerdict::Ended;
            const bool isInTime = hasEnded && took <= Objective;
            result.inTime += isInTime ? 1 : 0;
            result.startedInVain += answer.verdict != SubmitVerdict::Refused && !(hasEnded && took <= 3 * Objective) ? 1 : 0;
            openCalls.erase(open);
        }
    }
    return result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Rate)

BOOST_AUTO_TEST_CASE(RateIsNominalUntilMeasuredAndFollowsTheEndsWhileJobsWait)
{
    ServiceRate rate;
    TimePoint now(100s);
    rate.advance(now, false);
    BOOST_TEST(rate.rate(10000) == 10.0);
    for (int tick = 0; tick < 100; ++tick) {
        now += 20ms;
        rate.recordEnd(20 * 6.0);
        rate.advance(now, true);
    }
    BOOST_TEST(rate.rate(10000) > 6.0);
    BOOST_TEST(rate.rate(10000) < 7.0);
    now += 20s;
    rate.advance(now, false);
    BOOST_TEST(rate.rate(10000) > 9.9);
}

BOOST_AUTO_TEST_CASE(IdleIntervalsDontLowerTheRate)
{
    ServiceRate rate;
    TimePoint now(100s);
    for (int tick = 0; tick < 100; ++tick) {
        now += 20ms;
        rate.advance(now, false);
    }
    BOOST_TEST(rate.rate(10000) == 10.0);
}

BOOST_AUTO_TEST_CASE(SlowEndpointsServeMoreJobsInTimeIfTheWaitFollowsTheirRealRate)
{
    const OverloadResult result = runSlowEndpoints();
    BOOST_TEST_MESSAGE("submitted " << result.submitted << ", in time " << result.inTime << ", in vain " << result.startedInVain);
    // Two thirds of the jobs can be served at all.
    BOOST_TEST(static_cast<double>(result.inTime) > 0.5 * static_cast<double>(result.submitted));
    BOOST_TEST(static_cast<double>(result.startedInVain) < 0.1 * static_cast<double>(result.submitted));
}

BOOST_AUTO_TEST_SUITE_END()
