#include "cells/tests/cell_world.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <deque>

using namespace Tanagertally;
using namespace Tanagertally::Cells;
using namespace Tanagertally::Cells::Test;
using namespace std::chrono_literals;

namespace {

const JobId Job("00000000000000a1");

struct OneLeader {
    CellWorld world{2};
    std::size_t leader = world.addLeader();

    OneLeader()
    {
        this->world.advanceUntil([this] { return this->world.leaders[0].leader->isLeading(); }, 1s);
    }

    bool reachesState(const JobId &job, JobState state, Duration limit = 3s)
    {
        return this->world.advanceUntil([&] { return this->world.shows(this->leader, job, state); }, limit);
    }

    std::size_t storedRosterSize() const
    {
        const RowKey key = rosterKey(CellName("cell"));
        const std::vector<Row> rows = this->world.store.read({key.table, key.partition, key.key, 1}).rows;
        return rows.empty() ? 0 : decodeRoster(rows.front().value).value().size();
    }
};

JobId jobNumber(std::size_t number)
{
    const std::string digits = std::to_string(number);
    return JobId(std::string(16 - digits.size(), '0') + digits);
}

/** A cell whose store accepts small rows only. */
struct SmallRows {
    CellWorld world{4};
    std::size_t leader = 0;

    void lead(std::size_t maxRowBytes)
    {
        this->world.store.maxRowBytes = maxRowBytes;
        this->leader = this->world.addLeader();
        this->world.advanceTime(100ms);
    }

    CallId submitWithPayload(const JobId &id, std::size_t payloadBytes)
    {
        StepSpec step;
        step.demand = {1000, 10, 0};
        step.estimate = this->world.workTime;
        const JobSpec spec{std::make_shared<const std::string>(payloadBytes, 'x'), {step}, false};
        return this->world.submit(this->leader, id, spec, {QueueName("queue"), ServiceName("service"), 0, 2, 1.6, 60ms});
    }

    /** Submits a small job. @return Whether it is accepted and ends as done. */
    bool servesAnotherJob()
    {
        const JobId other = jobNumber(9999);
        this->world.submit(this->leader, other, 1);
        return this->world.advanceUntil([&] { return this->world.shows(this->leader, other, JobState::Done); }, 3s);
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(Leader)

BOOST_FIXTURE_TEST_CASE(JobIsStoredThenRunThenShownAsDone, OneLeader)
{
    const CallId call = this->world.submit(this->leader, Job, 3);
    BOOST_TEST(!this->world.isAccepted(this->leader, call));
    BOOST_TEST(this->world.startCount == 0U);
    BOOST_TEST(this->world.advanceUntil([&] { return this->world.isAccepted(this->leader, call); }, 100ms));
    BOOST_TEST(this->reachesState(Job, JobState::Done));
    BOOST_TEST(this->world.startCount == 3U);
    BOOST_TEST(this->world.violations.empty());
}

BOOST_FIXTURE_TEST_CASE(NothingStartsAndNothingIsAcceptedWhileTheStoreIsDown, OneLeader)
{
    this->world.storeOutcome = [] { return CallOutcome::Refused; };
    const CallId call = this->world.submit(this->leader, Job, 3);
    this->world.advanceTime(1s);
    BOOST_TEST(!this->world.isAccepted(this->leader, call));
    BOOST_TEST(this->world.startCount == 0U);
    this->world.storeOutcome = [] { return CallOutcome::Answered; };
    BOOST_TEST(this->reachesState(Job, JobState::Done));
    BOOST_TEST(this->world.isAccepted(this->leader, call));
}

BOOST_FIXTURE_TEST_CASE(IdleLeaderIsConfirmedOftenEnoughToBeLateByASecond, OneLeader)
{
    // Guards against a change of leader in the middle of a burst: a leader that lacks processor time sends its renewal late and reads the
    // answer late. Other instances take it as cut off from the store once it was not confirmed for 2.5 s.
    Duration longestSilence{};
    this->world.onTick = [&] { longestSilence = std::max(longestSilence, this->world.leaders[0].leader->storeSilence(this->world.now)); };
    this->world.advanceTime(10s);
    BOOST_TEST((longestSilence <= 2500ms - 1s));
}

BOOST_FIXTURE_TEST_CASE(TransactionWhoseAnswerIsLostIsSettledByReading, OneLeader)
{
    int count = 0;
    this->world.storeOutcome = [&count] { return count++ == 0 ? CallOutcome::AnswerLost : CallOutcome::Answered; };
    const CallId call = this->world.submit(this->leader, Job, 2);
    BOOST_TEST(this->reachesState(Job, JobState::Done));
    BOOST_TEST(this->world.isAccepted(this->leader, call));
    BOOST_TEST(this->world.startCount == 2U);
}

// Guards against a leader that accepts jobs until its process is ended for its memory.
BOOST_FIXTURE_TEST_CASE(JobsAreRefusedWithoutMemory, OneLeader)
{
    this->world.admitMemory = [](std::size_t bytes) {
        BOOST_TEST(bytes > 0U);
        return false;
    };
    for (const bool isBestEffort : {false, true}) {
        const CallId call = this->world.submit(this->leader, jobNumber(isBestEffort ? 1 : 2), 1, isBestEffort);
        this->world.advanceTime(1s);
        const SubmitAnswer &answer = this->world.leaders[this->leader].submitAnswers.at(call);
        BOOST_TEST((answer.verdict == SubmitVerdict::Refused));
        BOOST_TEST(answer.reason == NoMemoryReason);
        BOOST_TEST(answer.retryAfter.has_value());
    }
    BOOST_TEST(this->world.startCount == 0U);
    BOOST_TEST(this->world.violations.empty());
}

// Guards against a caller who is told that its job was not accepted, though an earlier submission was.
BOOST_FIXTURE_TEST_CASE(KnownJobIsAcceptedWithoutMemory, OneLeader)
{
    this->world.submit(this->leader, Job, 2);
    this->world.advanceTime(50ms);
    this->world.admitMemory = [](std::size_t) { return false; };
    const CallId again = this->world.submit(this->leader, Job, 2);
    BOOST_TEST(this->reachesState(Job, JobState::Done));
    const CallId later = this->world.submit(this->leader, Job, 2);
    BOOST_TEST(this->world.isAccepted(this->leader, again));
    BOOST_TEST(this->world.isAccepted(this->leader, later));
    BOOST_TEST(this->world.startCount == 2U);
}

// A job that may have run is not refused, as its caller would take it for one that has not.
BOOST_FIXTURE_TEST_CASE(JobThatMayHaveRunIsTakenWithoutMemory, OneLeader)
{
    this->world.admitMemory = [](std::size_t) { return false; };
    const CallId call = this->world.submit(this->leader, Job, 1, true, 2, true);
    BOOST_TEST(this->world.advanceUntil([&] { return this->world.leaders[this->leader].submitAnswers.contains(call); }, 3s));
    BOOST_TEST((this->world.leaders[this->leader].submitAnswers.at(call).verdict == SubmitVerdict::Ended));
}

BOOST_FIXTURE_TEST_CASE(JobSubmittedTwiceRunsOnce, OneLeader)
{
    this->world.submit(this->leader, Job, 2);
    const CallId again = this->world.submit(this->leader, Job, 2);
    BOOST_TEST(this->reachesState(Job, JobState::Done));
    const CallId later = this->world.submit(this->leader, Job, 2);
    this->world.advanceTime(100ms);
    BOOST_TEST(this->world.isAccepted(this->leader, again));
    BOOST_TEST(this->world.isAccepted(this->leader, later));
    BOOST_TEST(this->world.startCount == 2U);
}

BOOST_FIXTURE_TEST_CASE(RowsOfEndedJobsAreRemovedAfterTheirRetention, OneLeader)
{
    this->world.advanceTime(100ms);
    const std::size_t before = this->world.store.rowCount();
    this->world.submit(this->leader, Job, 2);
    BOOST_TEST(this->reachesState(Job, JobState::Done));
    BOOST_TEST(this->world.store.rowCount() == before + 2);
    this->world.advanceTime(120s);
    BOOST_TEST(this->world.shows(this->leader, Job, JobState::Done));
    this->world.advanceTime(40s);
    BOOST_TEST(this->world.store.rowCount() == before);
    BOOST_TEST((this->world.leaders[0].leader->query(Job).kind == JobAnswer::Kind::NoSuchJob));
}

// Guards against a cell that stores nothing any more because it has accepted a job whose row the store doesn't.
BOOST_FIXTURE_TEST_CASE(JobWithATooLargeRowIsRefused, SmallRows)
{
    this->lead(65536);
    const CallId large = this->submitWithPayload(Job, 65536);
    const CallId fitting = this->submitWithPayload(jobNumber(1), 65000);
    BOOST_TEST(this->servesAnotherJob());
    BOOST_TEST(this->world.isAccepted(this->leader, fitting));
    const auto &answers = this->world.leaders[this->leader].submitAnswers;
    BOOST_TEST_REQUIRE(answers.contains(large));
    BOOST_TEST((answers.at(large).verdict == SubmitVerdict::Refused));
    BOOST_TEST(answers.at(large).reason.starts_with("spec: "));
    BOOST_TEST(answers.at(large).reason.find("65536") != std::string::npos);
    BOOST_TEST(this->world.violations.empty());
}

// Guards against a transaction that the store refuses again and again because its rows, each of which fits, exceed the limit of a call.
BOOST_FIXTURE_TEST_CASE(LargeJobsThatAreSubmittedTogetherAreAllStored, SmallRows)
{
    this->lead(65536);
    std::vector<CallId> calls;
    for (std::size_t number = 1; number <= 40; ++number) {
        calls.push_back(this->submitWithPayload(jobNumber(number), 60000));
    }
    this->world.advanceTime(1s);
    for (const CallId call : calls) {
        BOOST_TEST(this->world.isAccepted(this->leader, call));
    }
}

// Guards against a cell that stores nothing any more because the progress of a job has outgrown the store's rows.
BOOST_FIXTURE_TEST_CASE(JobWhoseProgressOutgrowsItsRowEnds, SmallRows)
{
    this->lead(400);
    this->world.submit(this->leader, Job, 150);
    BOOST_TEST(this->world.advanceUntil([this] { return this->world.shows(this->leader, Job, JobState::Done); }, 10s));
    BOOST_TEST(this->servesAnotherJob());
    BOOST_TEST(this->world.violations.empty());
}

// Guards against a cell that stores nothing any more because its roster has outgrown the store's rows.
BOOST_FIXTURE_TEST_CASE(CellWithMoreEndpointsThanARosterRowHoldsServes, SmallRows)
{
    for (std::size_t number = 0; number < 60; ++number) {
        EndpointModel endpoint = this->world.endpoints.front();
        endpoint.record.name = EndpointName("further" + std::to_string(number));
        endpoint.record.address = NetAddress("10.0.1." + std::to_string(number) + ":1");
        this->world.endpoints.push_back(endpoint);
    }
    this->lead(1000);
    BOOST_TEST(this->servesAnotherJob());
    BOOST_TEST(this->world.violations.empty());
}

// Guards against a cell that stores nothing any more because its endpoints were lost under more tasks than a row holds.
BOOST_FIXTURE_TEST_CASE(CellThatHasLostMoreTasksThanARowHoldsServes, SmallRows)
{
    this->world.endpoints[0].record.capacity = {64000, 64000, 0};
    this->world.endpoints[0].slots = 64;
    for (std::size_t number = 1; number < this->world.endpoints.size(); ++number) {
        this->world.endpoints[number].isUp = false;
    }
    this->lead(600);
    this->world.workTime = 2s;
    for (std::size_t number = 1; number <= 40; ++number) {
        this->world.submit(this->leader, jobNumber(number), 1);
    }
    this->world.advanceTime(500ms);
    for (EndpointModel &endpoint : this->world.endpoints) {
        endpoint.isUp = !endpoint.isUp;
        endpoint.isReachable = endpoint.isUp;
    }
    this->world.registerEndpoints(this->leader);
    this->world.advanceTime(2s);
    BOOST_TEST(this->servesAnotherJob());
    BOOST_TEST(this->world.violations.empty());
}

// Guards against rows of ended jobs that stay for as long as jobs keep coming, because each transaction stores something else.
BOOST_AUTO_TEST_CASE(RowsOfEndedJobsAreRemovedUnderSteadyLoad)
{
    for (const std::size_t jobsPerSecond : {10U, 100U}) {
        CellWorld world(8);
        const std::size_t leader = world.addLeader();
        world.advanceTime(100ms);
        const std::size_t before = world.store.rowCount();
        std::deque<std::pair<TimePoint, JobId>> submitted;
        std::size_t mostRows = 0;
        std::size_t mostOverdue = 0;
        for (const TimePoint end = world.now + 4min; world.now < end; world.advanceTime(1000ms / jobsPerSecond)) {
            submitted.emplace_back(world.now, jobNumber(static_cast<std::size_t>(world.now.time_since_epoch() / 1ms)));
            world.submit(leader, submitted.back().second, 1);
            mostRows = std::max(mostRows, world.store.rowCount());
            const auto isRemoved
                = [&](const JobId &id) { return world.leaders[leader].leader->query(id).kind == JobAnswer::Kind::NoSuchJob; };
            while (!submitted.empty() && isRemoved(submitted.front().second)) {
                submitted.pop_front();
            }
            mostOverdue = std::max(mostOverdue, static_cast<std::size_t>(std::ranges::count_if(
                                                    submitted, [&](const auto &entry) { return entry.first + 150s < world.now; })));
        }
        // A job runs for far less than a second and has three rows until its end, two from then on; removals are collected to a dozen.
        const std::size_t delayed = jobsPerSecond + 12;
        BOOST_TEST(mostRows <= before + 2 * (150 * jobsPerSecond + delayed) + jobsPerSecond);
        BOOST_TEST(mostOverdue <= delayed);
        BOOST_TEST(world.largestTransaction <= 100U);
        BOOST_TEST(world.violations.empty());
    }
}

BOOST_FIXTURE_TEST_CASE(TaskThatFailsTooOftenFailsItsJob, OneLeader)
{
    this->world.runOutcome = [] { return RunOutcome::Failed; };
    this->world.submit(this->leader, Job, 1, false, 2);
    BOOST_TEST(this->reachesState(Job, JobState::Failed));
    BOOST_TEST(this->world.startsOf({Job, 0, 0}) == 2U);
}

BOOST_FIXTURE_TEST_CASE(CancelledJobIsStoppedAndAnsweredOnceStored, OneLeader)
{
    this->world.workTime = 10s;
    this->world.submit(this->leader, Job, 2);
    this->world.advanceTime(100ms);
    BOOST_TEST(this->world.startCount == 2U);
    const CallId call = this->world.cancel(this->leader, Job);
    this->world.advanceTime(200ms);
    BOOST_TEST((this->world.leaders[0].cancelAnswers.at(call).state == JobState::Cancelled));
    BOOST_TEST(this->world.endpoints[0].runs.size() + this->world.endpoints[1].runs.size() == 0U);
}

BOOST_FIXTURE_TEST_CASE(StartWithoutAnswerIsFencedByAStopBeforeTheTaskRunsElsewhere, OneLeader)
{
    int count = 0;
    this->world.advanceTime(50ms);
    this->world.orderOutcome = [&count] { return count++ == 0 ? CallOutcome::ExecutedLate : CallOutcome::Answered; };
    this->world.submit(this->leader, Job, 1);
    BOOST_TEST(this->reachesState(Job, JobState::Done, 2s));
    this->world.advanceTime(8s);
    BOOST_TEST(this->world.startsOf({Job, 0, 0}) == 1U);
    BOOST_TEST(this->world.violations.empty());
}

BOOST_FIXTURE_TEST_CASE(RunWhoseStartIsNotAnsweredGoesOnOnceTheRepeatedOrderIsAnswered, OneLeader)
{
    // Pattern: endpoints whose answers get lost. To stop such a run and start the task elsewhere doubles the work and makes the job late.
    int count = 0;
    this->world.advanceTime(50ms);
    this->world.orderOutcome = [&count] { return count++ == 0 ? CallOutcome::AnswerLost : CallOutcome::Answered; };
    this->world.workTime = 500ms;
    const CallId call = this->world.submit(this->leader, Job, 1, true);
    const auto isAnswered = [&] { return this->world.leaders[0].submitAnswers.contains(call); };
    BOOST_TEST(this->world.advanceUntil(isAnswered, 650ms));
    BOOST_TEST((this->world.leaders[0].submitAnswers[call].verdict == SubmitVerdict::Ended));
    BOOST_TEST(this->world.startCount == 1U);
    BOOST_TEST(this->world.violations.empty());
}

BOOST_FIXTURE_TEST_CASE(RefusalOfARepeatedStartDoesNotCountAsNotRun, OneLeader)
{
    // The first order is carried out seconds later; the repetition is refused, which says nothing about the first one.
    int count = 0;
    this->world.advanceTime(50ms);
    this->world.orderOutcome = [&count] {
        ++count;
        return count == 1 ? CallOutcome::ExecutedLate : count == 2 ? CallOutcome::Refused : CallOutcome::Answered;
    };
    this->world.submit(this->leader, Job, 1, true);
    this->world.advanceTime(8s);
    BOOST_TEST(this->world.startsOf({Job, 0, 0}) == 1U);
    BOOST_TEST(this->world.violations.empty());
}

BOOST_FIXTURE_TEST_CASE(RunsOnAnUnresponsiveEndpointAreRepeatedAfterItsLeaseExpires, OneLeader)
{
    this->world.workTime = 500ms;
    this->world.submit(this->leader, Job, 4);
    this->world.advanceTime(100ms);
    this->world.endpoints[0].isReachable = false;
    BOOST_TEST(this->reachesState(Job, JobState::Done, 4s));
    BOOST_TEST(this->world.violations.empty());
    BOOST_TEST(this->world.startCount == 6U);
}

BOOST_FIXTURE_TEST_CASE(DrainingEndpointGetsNoNewRuns, OneLeader)
{
    this->world.endpoints[0].record.isDraining = true;
    this->world.registerEndpoints(this->leader);
    this->world.submit(this->leader, Job, 4);
    BOOST_TEST(this->reachesState(Job, JobState::Done));
    BOOST_TEST(this->world.endpoints[0].lastEnd == 0U);
}

BOOST_FIXTURE_TEST_CASE(NewLeaderFinishesJobsOfAKilledLeader, OneLeader)
{
    this->world.workTime = 400ms;
    this->world.submit(this->leader, Job, 4);
    this->world.advanceTime(100ms);
    this->world.leaders[0].isUp = false;
    this->leader = this->world.addLeader();
    BOOST_TEST(this->reachesState(Job, JobState::Done));
    BOOST_TEST(this->world.startCount == 4U); // The runs continue under the new leader.
    BOOST_TEST(this->world.violations.empty());
}

BOOST_FIXTURE_TEST_CASE(SuspendedLeaderIsFencedAfterItResumes, OneLeader)
{
    this->world.workTime = 300ms;
    this->world.submit(this->leader, Job, 8);
    this->world.advanceTime(100ms);
    this->world.leaders[0].isSuspended = true;
    this->leader = this->world.addLeader();
    BOOST_TEST(this->reachesState(Job, JobState::Done, 5s));
    this->world.resume(0);
    this->world.advanceTime(3s);
    BOOST_TEST(this->world.leaders[0].hasEnded);
    BOOST_TEST(this->world.violations.empty());
}

BOOST_FIXTURE_TEST_CASE(ReleasedLeadIsTakenWithoutLosingARun, OneLeader)
{
    this->world.workTime = 400ms;
    this->world.submit(this->leader, Job, 4);
    this->world.advanceTime(100ms);
    this->world.leaders[0].leader->release(this->world.now);
    BOOST_TEST(this->world.advanceUntil([this] { return this->world.leaders[0].hasEnded; }, 1s));
    this->leader = this->world.addLeader();
    BOOST_TEST(this->reachesState(Job, JobState::Done));
    BOOST_TEST(this->world.startCount == 4U);
}

BOOST_FIXTURE_TEST_CASE(UnreachableEndpointOfAFormerLeaderDelaysOnlyRecoveredTasks, OneLeader)
{
    this->world.workTime = 400ms;
    this->world.submit(this->leader, Job, 4);
    this->world.advanceTime(100ms);
    this->world.endpoints[0].isReachable = false;
    this->world.leaders[0].isUp = false;
    this->leader = this->world.addLeader();
    this->world.advanceTime(1s);
    BOOST_TEST(this->world.shows(this->leader, Job, JobState::Running));
    const JobId fresh("00000000000000a2");
    this->world.submit(this->leader, fresh, 1);
    BOOST_TEST(this->reachesState(fresh, JobState::Done, 2s));
    BOOST_TEST(this->reachesState(Job, JobState::Done, 12s));
    BOOST_TEST(this->world.violations.empty());
}

// Guards against a new leader that waits for the leases of endpoints that left long ago before it starts recovered tasks.
BOOST_FIXTURE_TEST_CASE(EndpointThatLeftUnderAFormerLeaderDoesNotDelayRecoveredTasks, OneLeader)
{
    this->world.advanceTime(100ms);
    this->world.endpoints[0].isUp = false;
    this->world.registerEndpoints(this->leader);
    this->world.advanceTime(2s);
    this->world.workTime = 400ms;
    this->world.submit(this->leader, Job, 4);
    this->world.advanceTime(100ms);
    this->world.leaders[0].isUp = false;
    this->leader = this->world.addLeader();
    BOOST_TEST(this->reachesState(Job, JobState::Done));
    BOOST_TEST(this->world.violations.empty());
}

// Guards against a crashed endpoint that stays in the stored roster because its runs were lost after it had left the registry.
BOOST_FIXTURE_TEST_CASE(EndpointThatCrashedUnderAFormerLeaderDoesNotDelayRecoveredTasks, OneLeader)
{
    this->world.workTime = 400ms;
    this->world.submit(this->leader, Job, 4);
    this->world.advanceTime(100ms);
    this->world.endpoints[0].isUp = false;
    this->world.registerEndpoints(this->leader);
    this->world.advanceTime(5s);
    BOOST_TEST(this->world.shows(this->leader, Job, JobState::Done));
    const JobId fresh("00000000000000a2");
    this->world.submit(this->leader, fresh, 4);
    this->world.advanceTime(100ms);
    this->world.leaders[0].isUp = false;
    this->leader = this->world.addLeader();
    BOOST_TEST(this->reachesState(fresh, JobState::Done));
    BOOST_TEST(this->world.violations.empty());
}

// Guards against a wait that each leader repeats for an endpoint that left without a leader.
BOOST_FIXTURE_TEST_CASE(EndpointThatLeftBetweenTwoLeadersDelaysOnlyTheFirstOfThem, OneLeader)
{
    this->world.advanceTime(100ms);
    this->world.leaders[0].isUp = false;
    this->world.endpoints[0].isUp = false;
    this->leader = this->world.addLeader();
    this->world.advanceTime(12s);
    this->world.workTime = 400ms;
    this->world.submit(this->leader, Job, 4);
    this->world.advanceTime(100ms);
    this->world.leaders[1].isUp = false;
    this->leader = this->world.addLeader();
    BOOST_TEST(this->reachesState(Job, JobState::Done));
    BOOST_TEST(this->world.violations.empty());
}

// Guards against instances that send a recovering cell their jobs because it seems to have nothing to do: it can't give them away again.
BOOST_FIXTURE_TEST_CASE(RecoveredTasksCountAsWaitingWorkBeforeTheyAreReleased, OneLeader)
{
    this->world.workTime = 400ms;
    this->world.submit(this->leader, Job, 20);
    this->world.advanceTime(100ms);
    const double work = this->world.leaders[0].leader->load().waitingWork;
    this->world.endpoints[0].isReachable = false;
    this->world.leaders[0].isUp = false;
    this->leader = this->world.addLeader();
    this->world.advanceTime(1s);
    BOOST_TEST(work > 0);
    BOOST_TEST(this->world.leaders[1].leader->load().waitingWork >= work);
    BOOST_TEST(this->reachesState(Job, JobState::Done, 20s));
    BOOST_TEST(this->world.leaders[1].leader->load().waitingWork == 0);
}

// Guards against runs that the next leader does not find: the registry drops a live endpoint while the store is down.
BOOST_FIXTURE_TEST_CASE(UnregisteredEndpointStaysInTheRosterUntilItsRunsHaveEnded, OneLeader)
{
    this->world.workTime = 1500ms;
    this->world.submit(this->leader, Job, 4);
    this->world.advanceTime(100ms);
    this->world.leaders[0].leader->setEndpoints(this->world.now, {});
    this->world.advanceTime(1100ms);
    BOOST_TEST(this->storedRosterSize() == 2U);
    this->world.advanceTime(3s);
    BOOST_TEST(this->world.shows(this->leader, Job, JobState::Done));
    BOOST_TEST(this->storedRosterSize() == 0U);
}

// Guards against runs that the next leader does not find: an endpoint that has left the stored roster registers again.
BOOST_FIXTURE_TEST_CASE(EndpointThatRegistersAgainIsStoredBeforeItIsUsed, OneLeader)
{
    this->world.advanceTime(100ms);
    char digit = '0';
    for (const Duration absence : {5ms, 30ms, 600ms, 3000ms}) {
        this->world.leaders[0].leader->setEndpoints(this->world.now, {});
        this->world.advanceTime(absence);
        this->world.registerEndpoints(this->leader);
        const std::size_t startsBefore = this->world.startCount;
        this->world.workTime = 100ms;
        this->world.submit(this->leader, JobId(std::string("00000000000000b") + digit++), 4);
        this->world.advanceUntil([&] { return this->world.startCount > startsBefore; }, 2s);
        BOOST_TEST(this->world.startCount > startsBefore);
        BOOST_TEST(this->storedRosterSize() == 2U);
        this->world.advanceTime(1s);
    }
    BOOST_TEST(this->world.violations.empty());
}

BOOST_FIXTURE_TEST_CASE(BestEffortJobIsAnsweredAtItsEndAndNotStored, OneLeader)
{
    this->world.advanceTime(100ms);
    const std::size_t before = this->world.transactionCount;
    const CallId call = this->world.submit(this->leader, Job, 3, true);
    this->world.advanceTime(300ms);
    const auto &answers = this->world.leaders[0].submitAnswers;
    BOOST_REQUIRE(answers.contains(call));
    BOOST_TEST((answers.at(call).verdict == SubmitVerdict::Ended));
    BOOST_TEST((answers.at(call).state == JobState::Done));
    BOOST_TEST(this->world.transactionCount == before);
}

BOOST_FIXTURE_TEST_CASE(RunsOfAWithdrawnJobAreStopped, OneLeader)
{
    this->world.workTime = 10s;
    const CallId call = this->world.submit(this->leader, Job, 3, true);
    this->world.advanceTime(100ms);
    BOOST_TEST(this->world.startCount == 3U);
    this->world.leaders[0].leader->withdraw(this->world.now, call);
    this->world.advanceTime(200ms);
    BOOST_TEST(this->world.endpoints[0].runs.size() + this->world.endpoints[1].runs.size() == 0U);
}

BOOST_FIXTURE_TEST_CASE(OverloadRefusesTooLateJobsAtOnceAndServesTheRest, OneLeader)
{
    this->world.workTime = 200ms; // The endpoints run four tasks at a time; the objective is 380 ms.
    std::vector<CallId> calls;
    for (int number = 0; number < 40; ++number) {
        calls.push_back(this->world.submit(this->leader, JobId(std::to_string(number)), 1, true));
    }
    const auto &answers = this->world.leaders[0].submitAnswers;
    const auto refusedNow = answers.size();
    BOOST_TEST(refusedNow > 20U);
    this->world.advanceTime(1500ms);
    BOOST_TEST(answers.size() == 40U);
    const auto ended = std::ranges::count_if(answers, [](const auto &answer) { return answer.second.verdict == SubmitVerdict::Ended; });
    BOOST_TEST(ended >= 6);
    BOOST_TEST(this->world.startCount == static_cast<std::size_t>(ended));
}

BOOST_FIXTURE_TEST_CASE(TooLateJobWithAnUnansweredStartIsUnknownNotRefused, OneLeader)
{
    this->world.workTime = 20s;
    this->world.submit(this->leader, JobId("00000000000000a2"), 3, true);
    this->world.advanceTime(100ms);
    this->world.workTime = 60ms;
    this->world.orderOutcome = [] { return CallOutcome::AnswerLost; }; // The run starts, but the leader gets no answer.
    const CallId call = this->world.submit(this->leader, Job, 1, true);
    this->world.advanceTime(50ms);
    BOOST_TEST(this->world.startCount == 4U);
    this->world.orderOutcome = [] { return CallOutcome::Answered; };
    for (EndpointModel &endpoint : this->world.endpoints) {
        // The endpoint's lease expires, and the job waits for capacity until it can't end in time any more.
        endpoint.isReachable = !endpoint.runsTask({Job, 0, 0});
    }
    const auto isAnswered = [&] { return this->world.leaders[0].submitAnswers.contains(call); };
    BOOST_REQUIRE(this->world.advanceUntil(isAnswered, 5s));
    BOOST_TEST((this->world.leaders[0].submitAnswers.at(call).verdict == SubmitVerdict::Unknown));
}

BOOST_FIXTURE_TEST_CASE(EndsAreNotAcknowledgedWhileAFormerLeaderMayStillGiveOrders, OneLeader)
{
    this->world.workTime = 200ms;
    this->world.submit(this->leader, Job, 1);
    this->world.advanceUntil([this] { return this->world.startCount == 1; }, 1s);
    EndpointModel &unused = this->world.endpoints[this->world.endpoints[0].runs.empty() ? 0 : 1];
    unused.isReachable = false; // The endpoint never sees the next leader's token.
    this->world.orderOutcome = [] { return CallOutcome::AnswerLost; };
    this->world.advanceTime(50ms);
    this->world.orderOutcome = [] { return CallOutcome::Answered; };
    this->world.leaders[0].isSuspended = true;
    this->leader = this->world.addLeader();
    BOOST_TEST(this->reachesState(Job, JobState::Done));
    this->world.advanceTime(1500ms);
    unused.isReachable = true;
    this->world.resume(0); // The former leader assumes that the lease of the task's endpoint has expired, and can reach the other endpoint.
    this->world.advanceTime(500ms);
    BOOST_TEST(this->world.violations.empty(), this->world.violations.front());
    this->world.advanceTime(10s);
    for (const EndpointModel &endpoint : this->world.endpoints) {
        BOOST_TEST(endpoint.ends.empty());
    }
}

BOOST_AUTO_TEST_CASE(PartitionedFormerLeaderStartsNoTaskWhoseEndWasAcknowledged)
{
    // The former leader is reconnected at varying times around the one at which it assumes that the lease of the task's endpoint has
    // expired.
    for (auto cutFor = 800ms; cutFor < 1300ms; cutFor += 10ms) {
        OneLeader one;
        one.world.workTime = 200ms;
        one.world.submit(one.leader, Job, 1);
        one.world.advanceUntil([&one] { return one.world.startCount == 1; }, 1s);
        EndpointModel &unused = one.world.endpoints[one.world.endpoints[0].runs.empty() ? 0 : 1];
        unused.isReachable = false; // The endpoint never sees the next leader's token.
        one.world.leaders[0].isCutOff = true;
        one.leader = one.world.addLeader();
        one.world.advanceTime(cutFor);
        unused.isReachable = true;
        one.world.leaders[0].isCutOff = false;
        one.world.advanceTime(100ms);
        BOOST_TEST(one.world.violations.empty(), one.world.violations.front());
    }
}

BOOST_FIXTURE_TEST_CASE(ResubmittedJobWaitsForTheEndOfItsWithdrawnRuns, OneLeader)
{
    this->world.workTime = 10s;
    const CallId call = this->world.submit(this->leader, Job, 1, true);
    this->world.advanceTime(100ms);
    this->world.leaders[0].isCutOff = true; // The stop order is lost.
    this->world.leaders[0].leader->withdraw(this->world.now, call);
    this->world.advanceTime(20ms);
    this->world.leaders[0].isCutOff = false;
    this->world.submit(this->leader, Job, 1, true, 2, true);
    BOOST_TEST(this->world.startCount == 1U);
    BOOST_TEST(this->world.advanceUntil([this] { return this->world.startCount == 2; }, 3s));
    BOOST_TEST(this->world.violations.empty(), this->world.violations.front());
}

BOOST_FIXTURE_TEST_CASE(ReleasingLeaderServesUntilItsReleaseIsStored, OneLeader)
{
    this->world.storeOutcome = [] { return CallOutcome::Refused; };
    this->world.leaders[0].leader->release(this->world.now);
    const CallId call = this->world.submit(this->leader, Job, 2, true);
    this->world.advanceTime(500ms);
    BOOST_REQUIRE(this->world.leaders[0].submitAnswers.contains(call));
    BOOST_TEST((this->world.leaders[0].submitAnswers.at(call).verdict == SubmitVerdict::Ended));
    BOOST_TEST(!this->world.leaders[0].hasEnded);
    this->world.storeOutcome = [] { return CallOutcome::Answered; };
    BOOST_TEST(this->world.advanceUntil([this] { return this->world.leaders[0].hasEnded; }, 1s));
}

BOOST_FIXTURE_TEST_CASE(ResumedLeaderGivesNoOrdersBeforeTheStoreConfirmsItsLead, OneLeader)
{
    this->world.storeOutcome = [] { return CallOutcome::Refused; };
    this->world.leaders[0].isSuspended = true;
    this->world.advanceTime(1s);
    this->world.resume(0);
    this->world.submit(this->leader, Job, 1, true);
    this->world.advanceTime(300ms);
    BOOST_TEST(this->world.startCount == 0U);
    this->world.storeOutcome = [] { return CallOutcome::Answered; };
    BOOST_TEST(this->world.advanceUntil([this] { return this->world.startCount == 1; }, 1s));
}

BOOST_FIXTURE_TEST_CASE(WithdrawnWaitingJobIsNotCountedAsLoad, OneLeader)
{
    this->world.workTime = 10s;
    this->world.submit(this->leader, Job, 4, true);
    const CallId call = this->world.submit(this->leader, JobId("00000000000000a2"), 4, true);
    this->world.advanceTime(100ms);
    for (EndpointModel &endpoint : this->world.endpoints) {
        endpoint.isReachable = false; // No task can be started, so the order of waiting jobs is not updated.
    }
    BOOST_TEST(this->world.leaders[0].leader->load().waitingWork > 0);
    this->world.leaders[0].leader->withdraw(this->world.now, call);
    BOOST_TEST(this->world.leaders[0].leader->load().waitingWork == 0);
}

BOOST_FIXTURE_TEST_CASE(TaskIsStartedAfterManyRefusedStarts, OneLeader)
{
    this->world.advanceTime(100ms);
    for (EndpointModel &endpoint : this->world.endpoints) {
        endpoint.isFull = true;
    }
    this->world.submit(this->leader, Job, 1);
    this->world.advanceTime(60s); // Two endpoints that are retried after 50 ms refuse far more than a thousand orders.
    for (EndpointModel &endpoint : this->world.endpoints) {
        endpoint.isFull = false;
    }
    BOOST_TEST(this->reachesState(Job, JobState::Done));
}

BOOST_FIXTURE_TEST_CASE(NewLeaderStopsRunsOfACancelledJobAtOnce, OneLeader)
{
    this->world.workTime = 10s;
    this->world.submit(this->leader, Job, 3);
    this->world.advanceTime(100ms);
    for (EndpointModel &endpoint : this->world.endpoints) {
        endpoint.isReachable = false; // The stop orders are lost, and the cancellation is stored.
    }
    this->world.cancel(this->leader, Job);
    this->world.advanceTime(50ms);
    this->world.leaders[0].isUp = false;
    for (EndpointModel &endpoint : this->world.endpoints) {
        endpoint.isReachable = true;
    }
    this->leader = this->world.addLeader();
    this->world.advanceTime(300ms);
    BOOST_TEST(this->world.shows(this->leader, Job, JobState::Cancelled));
    BOOST_TEST(this->world.endpoints[0].runs.size() + this->world.endpoints[1].runs.size() == 0U);
}

BOOST_FIXTURE_TEST_CASE(NewLeaderStopsRunsOfBestEffortJobs, OneLeader)
{
    this->world.workTime = 10s;
    this->world.submit(this->leader, Job, 3, true);
    this->world.advanceTime(100ms);
    this->world.leaders[0].isUp = false;
    this->leader = this->world.addLeader();
    this->world.advanceTime(1500ms);
    BOOST_TEST(this->world.endpoints[0].runs.size() + this->world.endpoints[1].runs.size() == 0U);
}

BOOST_FIXTURE_TEST_CASE(BestEffortJobContinuesUnderTheNextLeader, OneLeader)
{
    this->world.workTime = 400ms;
    this->world.submit(this->leader, Job, 4, true);
    this->world.advanceTime(100ms);
    this->world.leaders[0].isUp = false;
    this->leader = this->world.addLeader();
    this->world.advanceUntil([this] { return this->world.leaders[this->leader].leader->isLeading(); }, 1s);
    const CallId call = this->world.submit(this->leader, Job, 4, true, 2, true);
    this->world.advanceTime(600ms);
    BOOST_REQUIRE(this->world.leaders[this->leader].submitAnswers.contains(call));
    BOOST_TEST((this->world.leaders[this->leader].submitAnswers.at(call).state == JobState::Done));
    BOOST_TEST(this->world.startCount == 4U);
    BOOST_TEST(this->world.violations.empty());
}

BOOST_AUTO_TEST_SUITE_END()
