// Accepted work that some endpoint with room could run does run, whatever waits before it.
#include "cells/tests/cell_world.h"

#include <boost/test/unit_test.hpp>

using namespace Tanagertally;
using namespace Tanagertally::Cells;
using namespace Tanagertally::Cells::Test;
using namespace std::chrono_literals;

namespace {

constexpr Duration IdleBound = 3s; // In which a task that could run has to be running, specified by the platform.

constexpr Duration FaultLength = 6500ms; // The longest fault of endpoints that fail all runs, specified by the platform.
constexpr Duration FinishTime = 14s; // After which accepted jobs are asked for, specified by the platform.
constexpr Duration Target = 60s; // Jobs that wait are in time throughout a test, so that the oldest ones come first.

const std::string CommonLabel = "common";
const std::string RareLabel = "rare";

JobId jobId(std::uint64_t number)
{
    std::string digits = std::to_string(number);
    return JobId(std::string(16 - digits.size(), '0') + digits);
}

/** A cell whose last endpoint alone has the rare label. */
struct LabelledCell {
    CellWorld world;
    std::size_t leader = 0;

    explicit LabelledCell(std::size_t endpointCount = 4)
        : world(endpointCount)
    {
        for (EndpointModel &endpoint : this->world.endpoints) {
            endpoint.record.labels = {CommonLabel};
        }
        this->world.endpoints.back().record.labels = {RareLabel};
        this->leader = this->world.addLeader();
        this->world.advanceTime(1s);
    }

    StepSpec step(std::uint32_t count, const std::string &requirement) const
    {
        StepSpec result;
        result.count = count;
        result.demand = {1000, 10, 0};
        result.estimate = this->world.workTime;
        result.requirement = requirement;
        return result;
    }

    CallId submit(const JobId &id, std::vector<StepSpec> steps)
    {
        JobSpec spec{std::make_shared<const std::string>("payload"), std::move(steps), false};
        return this->world.submit(this->leader, id, std::move(spec), {QueueName("queue"), ServiceName("service"), 0, 2, 1.6, Target});
    }

    void removeRareEndpoint()
    {
        this->world.endpoints.back().isUp = false;
        this->world.registerEndpoints(this->leader);
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(Runnable)

// Guards against a pass over the waiting jobs that ends at six jobs that no endpoint can run: all later jobs of the cell waited for ever.
BOOST_FIXTURE_TEST_CASE(JobsBehindSeveralThatNoEndpointCanRunAreStarted, LabelledCell)
{
    for (std::uint64_t number = 0; number < 8; ++number) {
        StepSpec second = this->step(1, RareLabel);
        second.after = {0};
        this->submit(jobId(number), {this->step(1, ""), second});
    }
    this->world.advanceTime(20ms);
    this->removeRareEndpoint();
    this->world.advanceTime(2s);
    for (std::uint64_t number = 100; number < 112; ++number) {
        this->submit(jobId(number), {this->step(1, "")});
    }
    this->world.advanceTime(IdleBound);
    for (std::uint64_t number = 100; number < 112; ++number) {
        BOOST_TEST(this->world.shows(this->leader, jobId(number), JobState::Done));
    }
}

// Guards against the same with more waiting jobs of different needs than one pass examines.
BOOST_FIXTURE_TEST_CASE(JobBehindHundredsOfDifferentOnesThatNoEndpointCanRunIsStarted, LabelledCell)
{
    constexpr std::uint64_t Stuck = 1200;
    this->world.endpoints.back().isFull = true;
    for (std::uint64_t number = 0; number < Stuck; ++number) {
        StepSpec rare = this->step(1, RareLabel);
        rare.demand.cpu = 100 + static_cast<std::int64_t>(number);
        this->submit(jobId(number), {rare});
    }
    this->world.advanceTime(3s);
    this->removeRareEndpoint();
    this->world.advanceTime(2s);
    this->submit(jobId(9000), {this->step(1, "")});
    this->world.advanceTime(IdleBound);
    BOOST_TEST(this->world.shows(this->leader, jobId(9000), JobState::Done));
}

// Guards against a job of which nothing runs, because the first of its waiting tasks fits no endpoint though others would.
BOOST_FIXTURE_TEST_CASE(StepThatNoEndpointCanRunDoesNotHoldUpTheOtherStepsOfItsJob, LabelledCell)
{
    this->world.workTime = 10s;
    this->submit(jobId(1), {this->step(2, RareLabel)}); // Fills the only endpoint with the label.
    this->world.advanceTime(50ms);
    this->submit(jobId(2), {this->step(2, RareLabel), this->step(2, CommonLabel)});
    this->world.advanceTime(IdleBound);
    BOOST_TEST(this->world.startsOf({jobId(2), 1, 0}) == 1U);
    BOOST_TEST(this->world.startsOf({jobId(2), 1, 1}) == 1U);
}

// Guards against tasks at their last attempt that are never started, because all endpoints of their cell have failed several runs and
// nothing else is there to try them with.
BOOST_AUTO_TEST_CASE(TasksAtTheirLastAttemptRunOnceTheFaultOfTheirEndpointHasPassed)
{
    for (const std::uint32_t maxAttempts : {1U, 2U}) {
        CellWorld world(1);
        const std::size_t leader = world.addLeader();
        world.advanceTime(1s);
        world.runOutcome = [] { return RunOutcome::Failed; };
        for (std::uint64_t number = 0; number < 6; ++number) {
            world.submit(leader, jobId(number), 1, false, maxAttempts);
            world.advanceTime(20ms);
        }
        world.advanceTime(FaultLength);
        world.runOutcome = [] { return RunOutcome::Done; };
        std::size_t failed = 0;
        for (std::uint64_t number = 0; number < 6; ++number) {
            failed += world.shows(leader, jobId(number), JobState::Failed) ? 1U : 0U;
        }
        BOOST_TEST(failed <= 4U); // Two failures show that the endpoint fails; two runs may have been under way.
        world.advanceTime(FinishTime);
        for (std::uint64_t number = 0; number < 6; ++number) {
            const bool hasEnded
                = world.shows(leader, jobId(number), JobState::Done) || world.shows(leader, jobId(number), JobState::Failed);
            BOOST_TEST(hasEnded);
            failed -= world.shows(leader, jobId(number), JobState::Failed) ? 1U : 0U;
        }
        BOOST_TEST(failed == 0U); // None that had an attempt left at the end of the fault.
        BOOST_TEST(world.violations.empty());
    }
}

// Guards against a task that has to run alone and never does, because all endpoints of its cell have failed several runs.
BOOST_AUTO_TEST_CASE(IsolatedTaskRunsOnceTheFaultOfTheOnlyEndpointHasPassed)
{
    CellWorld world(2);
    const std::size_t leader = world.addLeader();
    world.advanceTime(1s);
    world.workTime = 60s;
    world.submit(leader, jobId(1), 1);
    world.advanceTime(100ms);
    const std::size_t used = world.endpoints[0].runs.empty() ? 1 : 0;
    world.endpoints[used].isReachable = false;
    world.endpoints[used].runs.clear();
    world.workTime = 60ms;
    world.runOutcome = [] { return RunOutcome::Failed; };
    for (std::uint64_t number = 2; number < 5; ++number) {
        world.submit(leader, jobId(number), 1, false, 1);
        world.advanceTime(20ms);
    }
    world.advanceTime(1s);
    world.endpoints[used].isUp = false;
    world.registerEndpoints(leader);
    world.advanceTime(FaultLength - 1s);
    world.runOutcome = [] { return RunOutcome::Done; };
    world.advanceTime(FinishTime);
    BOOST_TEST(world.shows(leader, jobId(1), JobState::Done));
    BOOST_TEST(world.violations.empty());
}

// Guards against a process that ends by itself: a stored job is cancelled while it waits, and stays among the waiting jobs without a task
// until its end is stored.
BOOST_AUTO_TEST_CASE(JobThatIsCancelledWhileItWaitsIsNoLongerAmongTheWaitingOnes)
{
    CellWorld world(1);
    const std::size_t leader = world.addLeader();
    world.advanceTime(1s);
    world.workTime = 300ms;
    world.submit(leader, jobId(1), 2);
    world.advanceTime(50ms);
    world.submit(leader, jobId(2), 1);
    world.submit(leader, jobId(3), 1);
    world.advanceTime(50ms);
    BOOST_TEST_REQUIRE(world.startsOf({jobId(2), 0, 0}) == 0U);
    world.storeOutcome = [] { return CallOutcome::Refused; };
    world.cancel(leader, jobId(2));
    world.advanceTime(500ms); // The endpoint has room again before the cancellation is stored.
    BOOST_TEST(world.startsOf({jobId(2), 0, 0}) == 0U);
    BOOST_TEST(world.startsOf({jobId(3), 0, 0}) == 1U);
    world.storeOutcome = [] { return CallOutcome::Answered; };
    world.advanceTime(1s);
    BOOST_TEST(world.shows(leader, jobId(2), JobState::Cancelled));
}

BOOST_AUTO_TEST_SUITE_END()
