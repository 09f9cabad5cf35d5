// Tasks that crash each endpoint that starts them: the fleet outlasts them, and the tasks beside them end as if they were not there.
#include "cells/tests/cell_world.h"

#include <boost/test/unit_test.hpp>

using namespace Tanagertally;
using namespace Tanagertally::Cells;
using namespace Tanagertally::Cells::Test;
using namespace std::chrono_literals;

namespace {

constexpr Duration Downtime = 3200ms; // From a crash until the next incarnation registers.
constexpr std::size_t AllowedStarts = 5; // The platform's bound: three crashes, and two starts more.

JobId jobNumber(std::size_t number)
{
    const std::string digits = std::to_string(number);
    return JobId(std::string(16 - digits.size(), '0') + digits);
}

const JobId DeadlyJob = jobNumber(1);
const TaskRef DeadlyTask{DeadlyJob, 0, 0};

/** A cell whose endpoints crash whenever they run one of the deadly tasks. */
template<std::size_t EndpointCount>
struct DeadlyCell {
    CellWorld world{EndpointCount};
    std::set<TaskRef> deadly; ///< Tasks that crash their endpoints.
    std::size_t crashes = 0; ///< Number of crashes so far.
    std::size_t leader = 0; ///< The leader that hears of new incarnations.
    bool areRowsKept = false; ///< Whether the registry still shows crashed incarnations, as it does until their rows expire.

    DeadlyCell()
    {
        this->world.endpoints.reserve(EndpointCount + 256); // Orders in flight refer to endpoints.
        this->leader = this->world.addLeader();
        this->world.onTick = [this] { this->crashEndpoints(); };
        this->world.advanceTime(100ms);
    }

    void crashEndpoints()
    {
        for (std::size_t number = 0; number < this->world.endpoints.size(); ++number) {
            const EndpointModel &endpoint = this->world.endpoints[number];
            const auto isDeadly = [this](const ModelRun &run) { return this->deadly.contains(run.task); };
            if (endpoint.isUp && std::ranges::any_of(endpoint.runs, isDeadly)) {
                this->crash(number);
            }
        }
    }

    /** Crashes an endpoint; another incarnation registers at its address after a while. */
    void crash(std::size_t number)
    {
        ++this->crashes;
        EndpointModel next = this->world.endpoints[number];
        this->world.endpoints[number].isUp = false;
        this->world.endpoints[number].isReachable = false;
        next.beginIncarnation(EndpointName("r" + std::to_string(this->crashes)));
        this->world.schedule(this->world.now + Downtime, [this, next] {
            this->world.endpoints.push_back(next);
            this->registerEndpoints();
        });
    }

    /** Passes the rows of the registry to the leader. */
    void registerEndpoints()
    {
        if (!this->areRowsKept) {
            this->world.registerEndpoints(this->leader);
            return;
        }
        std::vector<EndpointRecord> records;
        std::ranges::transform(this->world.endpoints, std::back_inserter(records), &EndpointModel::record);
        this->world.leaders[this->leader].leader->setEndpoints(this->world.now, records);
    }

    /** Crashes the endpoint that runs a task, once it does. @return Whether one did within a while. */
    bool crashEndpointOf(const TaskRef &task)
    {
        const auto runsTask = [&task](const EndpointModel &endpoint) { return endpoint.runsTask(task); };
        if (!this->world.advanceUntil([&] { return std::ranges::any_of(this->world.endpoints, runsTask); }, 15s)) {
            return false;
        }
        const auto found = std::ranges::find_if(this->world.endpoints, runsTask);
        this->crash(static_cast<std::size_t>(found - this->world.endpoints.begin()));
        return true;
    }

    /** Cuts off the endpoint that runs a task, once it does. @return Whether one did within a while. */
    bool cutEndpointOf(const TaskRef &task, Duration length)
    {
        const auto runsTask = [&task](const EndpointModel &endpoint) { return endpoint.isReachable && endpoint.runsTask(task); };
        if (!this->world.advanceUntil([&] { return std::ranges::any_of(this->world.endpoints, runsTask); }, 15s)) {
            return false;
        }
        EndpointModel &endpoint = *std::ranges::find_if(this->world.endpoints, runsTask);
        endpoint.isReachable = false;
        this->world.schedule(this->world.now + length, [&endpoint] { endpoint.isReachable = true; });
        return true;
    }

    bool reaches(const JobId &job, JobState state, Duration limit)
    {
        return this->world.advanceUntil([&] { return this->world.shows(this->leader, job, state); }, limit);
    }

    /** Submits jobs each 50 ms for a while. @return Their names. */
    std::vector<JobId> submitHealthyJobs(std::size_t first, Duration duration, bool isBestEffort = false)
    {
        std::vector<JobId> jobs;
        for (const TimePoint end = this->world.now + duration; this->world.now < end; this->world.advanceTime(50ms)) {
            jobs.push_back(jobNumber(first + jobs.size()));
            this->world.submit(this->leader, jobs.back(), 2, isBestEffort);
        }
        return jobs;
    }

    /** Replaces the leader, whose process is killed. */
    void replaceLeader()
    {
        this->world.leaders[this->leader].isUp = false;
        this->leader = this->world.addLeader();
    }
};

using SmallCell = DeadlyCell<8>;
using LargeCell = DeadlyCell<16>;

} // namespace

BOOST_AUTO_TEST_SUITE(Deadly)

// Guards against a task that takes down one endpoint after the other because its lost runs are repeated like any other.
BOOST_FIXTURE_TEST_CASE(DeadlyTaskIsGivenUpAfterItsSecondCrash, SmallCell)
{
    this->deadly = {DeadlyTask};
    this->world.submit(this->leader, DeadlyJob, 1);
    BOOST_TEST(this->reaches(DeadlyJob, JobState::Failed, 10s));
    BOOST_TEST(this->crashes == 2U);
    this->world.advanceTime(10s);
    BOOST_TEST(this->world.startsOf(DeadlyTask) == 2U);
    BOOST_TEST(this->world.violations.empty());
}

// Guards against tasks that are blamed for the crash of the endpoint that they shared with a deadly one.
BOOST_FIXTURE_TEST_CASE(HealthyTasksBesideADeadlyOneEndAsDone, LargeCell)
{
    this->world.workTime = 300ms;
    for (std::size_t number = 1; number <= 12; number += 4) {
        this->deadly.insert({jobNumber(number), 0, 0});
    }
    for (std::size_t number = 1; number <= 12; ++number) {
        this->world.submit(this->leader, jobNumber(number), 1);
        this->world.advanceTime(150ms);
    }
    for (std::size_t number = 1; number <= 12; ++number) {
        const bool isDeadly = this->deadly.contains({jobNumber(number), 0, 0});
        BOOST_TEST(this->reaches(jobNumber(number), isDeadly ? JobState::Failed : JobState::Done, 12s));
    }
    BOOST_TEST(this->crashes <= 3 * this->deadly.size());
    BOOST_TEST(this->world.violations.empty());
}

// Guards against jobs that wait although there is room, because the runs of deadly tasks are repeated before they start.
BOOST_FIXTURE_TEST_CASE(JobsBehindDeadlyTasksAreServedMeanwhile, LargeCell)
{
    for (std::size_t number = 1; number <= 6; ++number) {
        this->deadly.insert({jobNumber(number), 0, 0});
        this->world.submit(this->leader, jobNumber(number), 1);
    }
    const std::vector<JobId> healthy = this->submitHealthyJobs(100, 10s);
    this->world.advanceTime(5s);
    for (const JobId &job : healthy) {
        BOOST_TEST(this->world.shows(this->leader, job, JobState::Done));
    }
    for (const TaskRef &task : this->deadly) {
        BOOST_TEST(this->world.shows(this->leader, task.job, JobState::Failed));
        BOOST_TEST(this->world.startsOf(task) <= 3U);
    }
    BOOST_TEST(this->world.violations.empty());
}

// Guards against a new leader that knows nothing of the crashes before it and so goes on with a deadly task from the start.
BOOST_FIXTURE_TEST_CASE(CrashesAreKnownToTheNextLeader, SmallCell)
{
    this->deadly = {DeadlyTask};
    this->world.submit(this->leader, DeadlyJob, 1);
    BOOST_TEST(this->world.advanceUntil([this] { return this->crashes == 2U; }, 5s));
    this->world.advanceTime(1500ms); // The loss is noticed and stored.
    this->replaceLeader();
    BOOST_TEST(this->reaches(DeadlyJob, JobState::Failed, 15s));
    BOOST_TEST(this->crashes == 2U);
    BOOST_TEST(this->world.violations.empty());
}

// Guards against a count of crashes that starts anew with each leader.
BOOST_FIXTURE_TEST_CASE(LeadersThatAreKilledAfterEachCrashDoNotRepeatADeadlyTaskForEver, LargeCell)
{
    this->deadly = {DeadlyTask};
    this->world.submit(this->leader, DeadlyJob, 1);
    for (std::size_t kills = 0; kills < 3; ++kills) {
        const std::size_t before = this->crashes;
        this->world.advanceUntil([&] { return this->crashes > before; }, 10s);
        this->world.advanceTime(1200ms);
        this->replaceLeader();
        this->world.advanceTime(100ms);
    }
    BOOST_TEST(this->reaches(DeadlyJob, JobState::Failed, 20s));
    BOOST_TEST(this->world.startsOf(DeadlyTask) <= AllowedStarts);
    BOOST_TEST(this->world.violations.empty());
}

// Guards against a store call for each task: without a crash the transactions are those of a cell without deadly tasks.
BOOST_FIXTURE_TEST_CASE(WithoutACrashNothingMoreIsStored, SmallCell)
{
    this->submitHealthyJobs(100, 1s, true);
    const std::size_t before = this->world.transactionCount;
    this->submitHealthyJobs(200, 5s, true);
    BOOST_TEST(this->world.transactionCount <= before + 6);
}

// Guards against a caller that waits for its deadline, or comes back for ever, with a best-effort job that crashes its endpoints.
BOOST_FIXTURE_TEST_CASE(CallersOfADeadlyBestEffortJobGetAFinalAnswer, SmallCell)
{
    this->deadly = {DeadlyTask};
    std::size_t submissions = 0;
    std::optional<SubmitAnswer> last;
    while (submissions < 8 && (!last || last->verdict != SubmitVerdict::Ended)) {
        ++submissions;
        const CallId call = this->world.submit(this->leader, DeadlyJob, 1, true);
        const TimePoint submittedAt = this->world.now;
        auto &answers = this->world.leaders[this->leader].submitAnswers;
        BOOST_TEST_REQUIRE(this->world.advanceUntil([&] { return answers.contains(call); }, 3s));
        BOOST_TEST((this->world.now - submittedAt < 1500ms)); // An endpoint's lease, and the time until it is noticed.
        last = answers.at(call);
        this->world.advanceTime(1300ms); // The platform's delay before a submission is repeated.
    }
    BOOST_TEST((last->verdict == SubmitVerdict::Ended));
    BOOST_TEST((last->state == JobState::Failed));
    BOOST_TEST(this->crashes <= 3U);
}

// Guards against tasks that are given up because their endpoints were cut off, and answer again.
BOOST_FIXTURE_TEST_CASE(TaskOfEndpointsThatWereCutOffEndsAsDone, SmallCell)
{
    this->world.workTime = 2s;
    this->world.submit(this->leader, DeadlyJob, 1);
    for (int cuts = 0; cuts < 3; ++cuts) {
        this->world.advanceTime(400ms);
        for (EndpointModel &endpoint : this->world.endpoints) {
            if (endpoint.runsTask(DeadlyTask) && endpoint.isReachable) {
                endpoint.isReachable = false;
                this->world.schedule(this->world.now + 4s, [&endpoint] { endpoint.isReachable = true; });
            }
        }
        this->world.advanceTime(1200ms);
    }
    BOOST_TEST(this->reaches(DeadlyJob, JobState::Done, 30s));
    BOOST_TEST(this->world.violations.empty());
}

// Guards against a job that is given up as its endpoint is cut off while the registry still shows the one that crashed there before.
BOOST_FIXTURE_TEST_CASE(EndpointThatIsSilentBesideTheRowOfItsPredecessorDidNotCrash, DeadlyCell<1>)
{
    this->areRowsKept = true;
    this->world.workTime = 2s;
    this->world.submit(this->leader, DeadlyJob, 1);
    BOOST_TEST(this->crashEndpointOf(DeadlyTask));
    BOOST_TEST(this->cutEndpointOf(DeadlyTask, 4s));
    this->world.advanceTime(1500ms); // The loss is noticed.
    this->registerEndpoints();
    BOOST_TEST(this->reaches(DeadlyJob, JobState::Done, 20s));
    BOOST_TEST(this->world.violations.empty());
}

// Guards against a deadly task that goes on because the registry still shows the incarnations that it has crashed.
BOOST_FIXTURE_TEST_CASE(CrashesBesideTheRowsOfPredecessorsAreEvidence, DeadlyCell<1>)
{
    this->areRowsKept = true;
    this->deadly = {DeadlyTask};
    this->world.submit(this->leader, DeadlyJob, 1);
    BOOST_TEST(this->reaches(DeadlyJob, JobState::Failed, 20s));
    BOOST_TEST(this->crashes == 2U);
    BOOST_TEST(this->world.violations.empty());
}

// Guards against evidence that the next leader takes from the row of an endpoint that had crashed before the lost one started.
BOOST_FIXTURE_TEST_CASE(PredecessorsOfALostEndpointAreKnownToTheNextLeader, DeadlyCell<1>)
{
    this->areRowsKept = true;
    this->world.workTime = 2s;
    this->world.submit(this->leader, DeadlyJob, 1);
    BOOST_TEST(this->crashEndpointOf(DeadlyTask));
    BOOST_TEST(this->cutEndpointOf(DeadlyTask, 8s));
    this->world.advanceTime(2s); // The loss is noticed and stored.
    for (int changes = 0; changes < 2; ++changes) {
        this->replaceLeader();
        const std::size_t known = this->world.transactionCount;
        this->world.advanceUntil([&] { return this->world.transactionCount > known; }, 2s);
        this->world.advanceTime(200ms); // The next leader has read the losses.
        this->registerEndpoints();
        this->world.advanceTime(500ms);
    }
    BOOST_TEST(this->reaches(DeadlyJob, JobState::Done, 30s));
    BOOST_TEST(this->world.violations.empty());
}

// Guards against a job that is given up as its endpoint crashes after the run has ended there, while its answers are lost.
BOOST_FIXTURE_TEST_CASE(CrashAfterARunWhoseStartWasRepeatedIsNoProof, DeadlyCell<1>)
{
    this->world.workTime = 100ms;
    this->world.submit(this->leader, DeadlyJob, 1);
    BOOST_TEST(this->crashEndpointOf(DeadlyTask));
    this->world.advanceUntil([this] { return this->world.endpoints.size() == 2U; }, 5s);
    // The orders are: start, hold, repeated start, and holds until the crash. Only the repeated start is answered.
    std::size_t orders = 0;
    this->world.orderOutcome = [&orders] {
        ++orders;
        return orders == 1U ? CallOutcome::AnswerLost : (orders == 3U ? CallOutcome::Answered : CallOutcome::Lost);
    };
    this->world.advanceTime(500ms);
    BOOST_TEST(this->world.startsOf(DeadlyTask) == 2U);
    BOOST_TEST(!this->world.endpoints.back().runsTask(DeadlyTask)); // The run has ended.
    this->crash(1);
    this->world.orderOutcome = [] { return CallOutcome::Answered; };
    BOOST_TEST(this->reaches(DeadlyJob, JobState::Done, 20s));
    BOOST_TEST(this->world.violations.empty());
}

// Guards against a deadly task that goes on because its starts have to be repeated.
BOOST_FIXTURE_TEST_CASE(DeadlyTaskIsGivenUpWhileAnswersAreLost, LargeCell)
{
    this->deadly = {DeadlyTask};
    this->world.orderOutcome = [this] { return drawBelow(this->world.random, 2) == 0 ? CallOutcome::AnswerLost : CallOutcome::Answered; };
    this->world.submit(this->leader, DeadlyJob, 1);
    BOOST_TEST(this->reaches(DeadlyJob, JobState::Failed, 40s));
    BOOST_TEST(this->crashes <= 3U);
    BOOST_TEST(this->world.violations.empty());
}

// Guards against tasks that are isolated because their endpoints went down together, as when a rack loses power.
BOOST_FIXTURE_TEST_CASE(TasksOfEndpointsThatAreLostTogetherAreRepeatedSideBySide, LargeCell)
{
    this->world.workTime = 400ms;
    for (std::size_t number = 1; number <= 8; ++number) {
        this->world.submit(this->leader, jobNumber(number), 2);
    }
    this->world.advanceTime(200ms);
    for (std::size_t number = 0; number < 8; ++number) {
        this->crash(number);
    }
    this->world.advanceTime(2s); // The leases end after a second, and all tasks run again at once.
    for (std::size_t number = 1; number <= 8; ++number) {
        BOOST_TEST(this->world.shows(this->leader, jobNumber(number), JobState::Done));
    }
    BOOST_TEST(this->world.violations.empty());
}

// Guards against endpoints that are avoided once a deadly task has crashed them.
BOOST_FIXTURE_TEST_CASE(EndpointsThatADeadlyTaskCrashedAreUsedAgain, DeadlyCell<2>)
{
    this->deadly = {DeadlyTask};
    this->world.submit(this->leader, DeadlyJob, 1);
    BOOST_TEST(this->reaches(DeadlyJob, JobState::Failed, 15s));
    this->world.advanceTime(4s); // Both endpoints are back.
    const std::size_t before = this->world.startCount;
    this->world.workTime = 200ms;
    this->world.submit(this->leader, jobNumber(2), 4);
    this->world.advanceTime(50ms);
    BOOST_TEST(this->world.startCount == before + 4);
}

// Guards against the choice of one cause for all: a healthy task of a job whose other task is deadly is not left running.
BOOST_FIXTURE_TEST_CASE(OtherTasksOfADeadlyJobAreStopped, SmallCell)
{
    this->deadly = {DeadlyTask};
    this->world.runTime = [](const StartRun &order) { return order.task == DeadlyTask ? Duration(60ms) : Duration(30s); };
    this->world.submit(this->leader, DeadlyJob, 3);
    BOOST_TEST(this->reaches(DeadlyJob, JobState::Failed, 12s));
    this->world.advanceTime(500ms);
    for (const EndpointModel &endpoint : this->world.endpoints) {
        BOOST_TEST((!endpoint.isUp || endpoint.runs.empty()));
    }
}

BOOST_AUTO_TEST_SUITE_END()
