// Ends of runs that a former leader saw as well, or that the next one learns of in another order.
#include "cells/job_cbor.h"
#include "cells/store_rows.h"
#include "cells/tests/cell_world.h"

#include <boost/test/unit_test.hpp>

using namespace Tanagertally;
using namespace Tanagertally::Cells;
using namespace Tanagertally::Cells::Test;
using namespace std::chrono_literals;

namespace {

const JobId Job("00000000000000a1");
const TaskRef FirstTask{Job, 0, 0};
const TaskRef SecondTask{Job, 1, 0};

/** A cell with two endpoints, whose leader is killed. */
struct KilledLeader {
    CellWorld world{2};
    std::size_t leader = world.addLeader();

    KilledLeader()
    {
        this->world.advanceUntil([this] { return this->world.leaders[0].leader->isLeading(); }, 1s);
        this->world.advanceTime(100ms);
    }

    /** Makes the endpoints refuse all starts for lack of capacity, but for one endpoint. */
    void startOnlyOn(std::size_t chosen)
    {
        for (std::size_t number = 0; number < this->world.endpoints.size(); ++number) {
            this->world.endpoints[number].isFull = number != chosen;
        }
    }

    void replaceLeader()
    {
        this->world.leaders[this->leader].isUp = false;
        this->leader = this->world.addLeader();
    }

    /** Replaces the leader; the next one hears from the second endpoint last. */
    void replaceLeaderWhileSecondEndpointIsCutOff()
    {
        this->world.endpoints[1].isReachable = false;
        this->replaceLeader();
        this->world.advanceTime(200ms);
        this->world.endpoints[1].isReachable = true;
    }

    bool reaches(JobState state, Duration limit = 10s)
    {
        return this->world.advanceUntil([&] { return this->world.shows(this->leader, Job, state); }, limit);
    }

    /** Submits a job whose second step follows the first one. */
    void submitTwoSteps()
    {
        StepSpec step;
        step.count = 1;
        step.demand = {1000, 10, 0};
        step.estimate = this->world.workTime;
        StepSpec next = step;
        next.after = {0};
        this->world.submit(this->leader, Job, JobSpec{std::make_shared<const std::string>("payload"), {step, next}, false},
                           JobTerms{QueueName("queue"), ServiceName("service"), 0, 2, 1.6, 60ms});
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RecoveredEnds, KilledLeader)

// Guards against a job that fails too early because two leaders count the same failed run.
BOOST_AUTO_TEST_CASE(FailedRunThatIsStoredIsNotCountedAgainByTheNextLeader)
{
    this->world.runOutcome = [this] { return this->world.startCount == 1 ? RunOutcome::Failed : RunOutcome::Done; };
    this->world.runTime = [this](const StartRun &) { return this->world.startCount == 1 ? Duration(60ms) : Duration(700ms); };
    this->world.submit(this->leader, Job, 1, false, 2);
    BOOST_TEST_REQUIRE(this->world.advanceUntil([this] { return this->world.startsOf(FirstTask) == 2; }, 2s));
    this->world.advanceTime(20ms);
    this->world.orderOutcome = [] { return CallOutcome::Lost; }; // The end is stored, but not acknowledged.
    this->world.advanceTime(400ms);
    this->world.orderOutcome = [] { return CallOutcome::Answered; };
    this->replaceLeader();
    BOOST_TEST(this->reaches(JobState::Done));
    BOOST_TEST(this->world.violations.empty());
}

// Guards against a failed run that no leader counts: it was not stored, and the next leader lists the following run before its end.
BOOST_AUTO_TEST_CASE(FailedRunThatIsListedAfterTheFollowingRunIsCounted)
{
    this->startOnlyOn(1);
    this->world.workTime = 700ms;
    this->world.runOutcome = [] { return RunOutcome::Failed; };
    this->world.runTime = [this](const StartRun &) { return this->world.startCount == 1 ? Duration(60ms) : Duration(700ms); };
    this->world.submit(this->leader, Job, 1, false, 2);
    BOOST_TEST_REQUIRE(this->world.advanceUntil([this] { return !this->world.endpoints[1].ends.empty(); }, 2s));
    this->startOnlyOn(0);
    BOOST_TEST_REQUIRE(this->world.advanceUntil([this] { return this->world.startsOf(FirstTask) == 2; }, 200ms));
    this->replaceLeaderWhileSecondEndpointIsCutOff();
    BOOST_TEST(this->reaches(JobState::Failed));
    this->world.advanceTime(2s);
    BOOST_TEST(this->world.startsOf(FirstTask) == 2U);
}

// Guards against a start beyond the attempts of a task, as an endpoint that the next leader has not listed yet holds the end of a failed
// run.
BOOST_AUTO_TEST_CASE(TaskThatFailsDuringRecoveryWaitsForTheEndsOfAllEndpoints)
{
    this->startOnlyOn(1);
    this->world.runOutcome = [] { return RunOutcome::Failed; };
    this->world.submit(this->leader, Job, 1, false, 2);
    BOOST_TEST_REQUIRE(this->world.advanceUntil([this] { return !this->world.endpoints[1].ends.empty(); }, 2s));
    this->startOnlyOn(0);
    BOOST_TEST_REQUIRE(this->world.advanceUntil([this] { return this->world.startsOf(FirstTask) == 2; }, 200ms));
    this->replaceLeaderWhileSecondEndpointIsCutOff();
    BOOST_TEST(this->reaches(JobState::Failed));
    BOOST_TEST(this->world.startsOf(FirstTask) == 2U);
}

// Guards against a second run of a task that is done: the next leader lists its end before that of the step that it follows.
BOOST_AUTO_TEST_CASE(TaskWhoseEndIsListedBeforeThoseOfItsPredecessorsDoesNotRunAgain)
{
    this->startOnlyOn(1);
    this->submitTwoSteps();
    BOOST_TEST_REQUIRE(this->world.advanceUntil([this] { return !this->world.endpoints[1].ends.empty(); }, 2s));
    this->startOnlyOn(0);
    BOOST_TEST_REQUIRE(this->world.advanceUntil([this] { return !this->world.endpoints[0].ends.empty(); }, 250ms));
    this->replaceLeaderWhileSecondEndpointIsCutOff();
    BOOST_TEST(this->reaches(JobState::Done));
    BOOST_TEST(this->world.startsOf(FirstTask) == 1U);
    BOOST_TEST(this->world.startsOf(SecondTask) == 1U);
    BOOST_TEST(this->world.violations.empty());
}

// Guards against a second run of a task whose run the next leader stops, as it lists the run before the end of its predecessor, but too
// late.
BOOST_AUTO_TEST_CASE(RunThatIsListedBeforeTheEndsOfItsPredecessorsMaySucceed)
{
    for (Duration work = 40ms; work <= 200ms; work += 10ms) {
        KilledLeader cell;
        cell.startOnlyOn(1);
        cell.submitTwoSteps();
        BOOST_TEST_REQUIRE(cell.world.advanceUntil([&] { return !cell.world.endpoints[1].ends.empty(); }, 2s));
        cell.startOnlyOn(0);
        cell.world.runTime = [work](const StartRun &) { return work; };
        BOOST_TEST_REQUIRE(cell.world.advanceUntil([&] { return cell.world.startsOf(SecondTask) == 1; }, 250ms));
        cell.replaceLeaderWhileSecondEndpointIsCutOff();
        BOOST_TEST(cell.reaches(JobState::Done));
        BOOST_TEST(cell.world.violations.empty(), "work of " << work / 1ms << " ms");
    }
}

// Guards against progress of the former layout that can't be read, or whose failures are forgotten.
BOOST_AUTO_TEST_CASE(ProgressWithoutRunNumbersIsRead)
{
    const auto row = nlohmann::json::array({static_cast<int>(JobState::Running), nlohmann::json::array(), {{0, 3, 2}}});
    const Result<JobProgress> progress = decodeProgress(toCborText(row));
    BOOST_TEST_REQUIRE(progress.has_value());
    BOOST_TEST_REQUIRE(progress.value().failures.size() == 1U);
    BOOST_TEST(progress.value().failures.front().index == 3U);
    BOOST_TEST(progress.value().failures.front().failures == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
