// Lists of ends that are long, or that arrive while their job's end is being stored.
#include "cells/tests/cell_world.h"

#include <boost/test/unit_test.hpp>

using namespace Tanagertally;
using namespace Tanagertally::Cells;
using namespace Tanagertally::Cells::Test;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t MaxListedEnds = 500; // An endpoint lists no more at a time.

const JobId Job("00000000000000a1");
const JobId OtherJob("00000000000000a2");
const TaskRef Task{Job, 0, 0};

struct TwoEndpoints {
    CellWorld world{2};
    std::size_t leader = this->world.addLeader();

    TwoEndpoints()
    {
        this->world.advanceTime(100ms);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Listings, TwoEndpoints)

// Guards against a second start of a task that has ended: its end is not listed yet if the endpoint has many ends to list before it.
BOOST_AUTO_TEST_CASE(RunThatIsMissingInATruncatedListIsNotRepeated)
{
    this->world.workTime = 5s;
    this->world.submit(this->leader, Job, 1);
    this->world.advanceTime(300ms);
    EndpointModel &endpoint = this->world.endpoints[this->world.endpoints[0].runsTask(Task) ? 0 : 1];
    endpoint.record.isDraining = true; // A repeated start goes to the other endpoint.
    this->world.registerEndpoints(this->leader);
    HoldResult list;
    list.kind = HoldResult::Kind::Answered;
    list.clockMs = endpoint.clockMs(this->world.now);
    for (std::uint64_t number = 1; number <= MaxListedEnds; ++number) {
        list.finished.push_back({number, {OtherJob, 0, static_cast<std::uint32_t>(number)}, RunNumber(1), RunOutcome::Done});
    }
    this->world.leaders[this->leader].leader->onHoldAnswered(this->world.now, endpoint.record.name, list);
    this->world.advanceTime(200ms);
    BOOST_TEST(this->world.startsOf(Task) == 1U);
    BOOST_TEST(this->world.violations.empty());
}

// Guards against ends that are never acknowledged: an end of a job that has ended, listed while that is being stored, held up all later
// ends.
BOOST_AUTO_TEST_CASE(EndThatIsListedWhileTheEndOfItsJobIsStoredIsAcknowledged)
{
    this->world.submit(this->leader, Job, 1);
    BOOST_TEST_REQUIRE(this->world.advanceUntil([this] { return this->world.startCount == 1U; }, 500ms));
    this->world.storeOutcome = [] { return CallOutcome::AnswerLost; }; // The end is stored, and the leader learns of it late.
    EndpointModel &endpoint = this->world.endpoints[this->world.endpoints[0].runsTask(Task) ? 0 : 1];
    BOOST_TEST_REQUIRE(this->world.advanceUntil([&] { return !endpoint.ends.empty(); }, 500ms));
    this->world.advanceTime(50ms);
    endpoint.ends.push_back({{++endpoint.lastEnd, Task, RunNumber(1U << 30U), RunOutcome::Failed}, this->world.now, false});
    this->world.advanceTime(100ms);
    this->world.storeOutcome = [] { return CallOutcome::Answered; };
    BOOST_TEST(this->world.advanceUntil([&] { return this->world.shows(this->leader, Job, JobState::Done); }, 3s));
    this->world.advanceTime(1s);
    BOOST_TEST(endpoint.ends.empty());
    BOOST_TEST(this->world.violations.empty());
}

BOOST_AUTO_TEST_SUITE_END()
