// Share of jobs that end in time during an overload: the order by rank against first come first served and earliest deadline first.
#include "cells/job_order.h"
#include "core/random_base.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <functional>
#include <vector>

using namespace Tanagertally;
using namespace Tanagertally::Cells;
using namespace std::chrono_literals;

namespace {

struct WaitingJob {
    JobId id;
    JobUrgency urgency;
};

using Before = std::function<bool(const WaitingJob &, const WaitingJob &, TimePoint)>;

bool isFirstCome(const WaitingJob &left, const WaitingJob &right, TimePoint)
{
    return left.urgency.acceptedAt < right.urgency.acceptedAt;
}

bool hasEarlierDeadline(const WaitingJob &left, const WaitingJob &right, TimePoint)
{
    return left.urgency.acceptedAt + left.urgency.objective < right.urgency.acceptedAt + right.urgency.objective;
}

bool hasLowerRank(const WaitingJob &left, const WaitingJob &right, TimePoint now)
{
    return rankOf(left.id, left.urgency, now) < rankOf(right.id, right.urgency, now);
}

/**
 * Simulates jobs of 200 ms with an objective of 380 ms on 20 slots; for 4 s, jobs arrive at 1.5 times the rate that can be served.
 * @return Share of jobs that end in time.
 */
double shareInTime(const Before &before)
{
    RandomEngine random(7);
    std::vector<WaitingJob> queue;
    std::vector<TimePoint> slotFreeTimes(20);
    const TimePoint start(100s);
    std::size_t inTime = 0;
    std::size_t jobs = 0;
    double dueArrivals = 0;
    for (TimePoint now = start; now < start + 10s; now += 1ms) {
        dueArrivals += (now < start + 4s ? 1.5 : 0.8) * 20 / 200;
        for (; dueArrivals >= 1; dueArrivals -= 1) {
            const auto spread = std::chrono::milliseconds(drawBelow(random, 100));
            queue.push_back({JobId(std::to_string(++jobs)), {now, 330ms + spread, 150ms + spread, 0}});
        }
        for (TimePoint &freeAt : slotFreeTimes) {
            if (freeAt > now || queue.empty()) {
                continue;
            }
            const auto next = std::ranges::min_element(
                queue, [&](const WaitingJob &left, const WaitingJob &right) { return before(left, right, now); });
            freeAt = now + next->urgency.remaining;
            inTime += freeAt <= next->urgency.acceptedAt + next->urgency.objective ? 1 : 0;
            queue.erase(next);
        }
    }
    return static_cast<double>(inTime) / static_cast<double>(jobs);
}

} // namespace

BOOST_AUTO_TEST_SUITE(Order)

BOOST_AUTO_TEST_CASE(BurstLeavesMoreJobsInTimeThanFirstComeOrEarliestDeadline)
{
    const double firstCome = shareInTime(isFirstCome);
    const double earliest = shareInTime(hasEarlierDeadline);
    const double ranked = shareInTime(hasLowerRank);
    BOOST_TEST_MESSAGE("in time: first come " << firstCome << ", earliest deadline " << earliest << ", by rank " << ranked);
    BOOST_TEST(ranked > firstCome + 0.2);
    BOOST_TEST(ranked > earliest + 0.2);
    // A third of the jobs that arrive during the burst can't be served at all.
    BOOST_TEST(ranked > 0.7);
}

BOOST_AUTO_TEST_CASE(LateJobRanksAfterOnTimeJobsAndTooLateJobRanksLast)
{
    const TimePoint now(100s);
    const JobUrgency onTime{now, 200ms, 100ms, 0};
    const JobUrgency late{now - 300ms, 200ms, 100ms, 0};
    const JobUrgency tooLate{now - 600ms, 200ms, 100ms, 0};
    BOOST_TEST((rankOf(JobId("a"), onTime, now) < rankOf(JobId("b"), late, now)));
    BOOST_TEST((rankOf(JobId("b"), late, now) < rankOf(JobId("c"), tooLate, now)));
}

BOOST_AUTO_TEST_SUITE_END()
