// Choice of an endpoint for a task among endpoints of different speeds and sizes, and what the choice costs.
#include "cells/placement.h"
#include "cells/tests/cell_world.h"

#include <boost/test/unit_test.hpp>

using namespace Tanagertally;
using namespace Tanagertally::Cells;
using namespace Tanagertally::Cells::Test;
using namespace std::chrono_literals;

namespace {

const TimePoint Now(100s);
const ServiceName Service("service");

/** Endpoints of one pass. */
struct Fixture {
    RunIndex index;
    std::vector<std::unique_ptr<CellEndpoint>> endpoints;
    PlacementPass pass;
    TaskRef ref{JobId("job"), 0, 0};
    EndpointName noEndpoint;
    StepSpec step;
    int runs = 0;

    /** Adds an endpoint of some cores that has shown its speed. */
    CellEndpoint &add(std::int64_t cores, double speed = 1)
    {
        EndpointRecord record;
        record.name = EndpointName("e" + std::to_string(this->endpoints.size()));
        record.service = Service;
        record.capacity = {cores * 1000, 1000, 0};
        this->endpoints.push_back(std::make_unique<CellEndpoint>(record, LeaseTerms(), this->index));
        CellEndpoint &endpoint = *this->endpoints.back();
        for (int run = 0; run < 200; ++run) {
            CellSpeedLevel nominal;
            endpoint.speed.record(Now, std::chrono::duration_cast<Duration>(500ms / speed), 500ms, nominal, false);
        }
        endpoint.speed.update(Now, 0);
        return endpoint;
    }

    void run(CellEndpoint &endpoint, std::int64_t cores, Duration left)
    {
        RunRecord run;
        run.demand = {cores * 1000, 0, 0};
        run.expectedEnd = Now + left;
        endpoint.addRun({JobId("other"), 0, static_cast<std::uint32_t>(this->runs++)}, run);
    }

    /** Places a task of some cores whose objective is `left` away. @return The number of the endpoint; -1 for none. */
    int place(std::int64_t cores, Duration estimate, Duration left, std::int64_t typicalCores = 0)
    {
        this->pass.begin(Service, typicalCores * 1000);
        for (const auto &endpoint : this->endpoints) {
            this->pass.add(*endpoint, 1, TrialTerms::None);
        }
        return this->placeNext(cores, estimate, left);
    }

    /** Places a further task of the same pass. */
    int placeNext(std::int64_t cores, Duration estimate, Duration left)
    {
        this->step.demand = {cores * 1000, 0, 0};
        this->step.estimate = estimate;
        const PlacementTask task{this->ref, this->step, this->noEndpoint, Now + left, Now + left, Now + 3 * left};
        const PlacementChoice choice = this->pass.choose(Now, task);
        const auto found = std::ranges::find_if(this->endpoints, [&](const auto &endpoint) { return endpoint.get() == choice.endpoint; });
        return found == this->endpoints.end() ? -1 : static_cast<int>(found - this->endpoints.begin());
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(Placement)

BOOST_FIXTURE_TEST_CASE(LongTaskGoesWhereItEndsInTimeAlthoughASlowEndpointFitsBetter, Fixture)
{
    this->add(16, 0.55);
    this->add(32, 1.2);
    BOOST_TEST(this->place(16, 800ms, 1340ms) == 1);
}

BOOST_FIXTURE_TEST_CASE(WithPlentyOfRoomEachTaskTakesTheFastestEndpoint, Fixture)
{
    this->add(16, 0.55);
    this->add(32, 1.2);
    BOOST_TEST(this->place(16, 50ms, 140ms) == 1);
}

BOOST_FIXTURE_TEST_CASE(WhenFastRoomIsScarceATaskWithTimeToSpareTakesTheSlowEndpoint, Fixture)
{
    this->add(16, 0.55);
    this->run(this->add(48, 1.2), 32, 500ms);
    BOOST_TEST(this->place(16, 50ms, 140ms) == 0);
    BOOST_TEST(this->place(16, 800ms, 1340ms) == 1);
}

BOOST_FIXTURE_TEST_CASE(LongTaskWaitsForAFastEndpointThatIsFreeByItsLatestStart, Fixture)
{
    this->add(16, 0.55);
    this->run(this->add(16, 1.2), 16, 300ms);
    BOOST_TEST(this->place(16, 800ms, 1340ms) == -1);
    // The slow endpoint stays open to others.
    BOOST_TEST(this->placeNext(16, 50ms, 140ms) == 0);
}

BOOST_FIXTURE_TEST_CASE(TaskThatIsLateAnywayDoesNotWait, Fixture)
{
    this->add(16, 0.55);
    this->run(this->add(16, 1.2), 16, 900ms);
    BOOST_TEST(this->place(16, 800ms, 1340ms) == 0);
}

BOOST_FIXTURE_TEST_CASE(OnlyAsManyTasksWaitAsTheAwaitedEndpointCanTake, Fixture)
{
    this->add(32, 0.55);
    this->run(this->add(16, 1.2), 16, 300ms);
    BOOST_TEST(this->place(16, 800ms, 1340ms) == -1);
    BOOST_TEST(this->placeNext(16, 800ms, 1340ms) == 0);
}

BOOST_FIXTURE_TEST_CASE(EquallyFastEndpointsAreChosenByBestFitHoweverLateTheTaskIs, Fixture)
{
    this->add(48);
    this->run(this->add(32), 16, 100ms);
    this->run(this->add(48), 16, 100ms);
    BOOST_TEST(this->place(16, 800ms, 1340ms) == 1);
    BOOST_TEST(this->place(16, 800ms, 100ms) == 1);
}

BOOST_FIXTURE_TEST_CASE(RestThatNoTypicalTaskCanUseIsAvoided, Fixture)
{
    // Best fit alone leaves 12 cores of the first endpoint, which no task of 16 can use; the second one keeps room for one.
    this->add(32);
    this->add(36);
    BOOST_TEST(this->place(20, 100ms, 220ms, 16) == 1);
    BOOST_TEST(this->place(20, 100ms, 220ms, 0) == 0);
    BOOST_TEST(this->place(16, 100ms, 220ms, 16) == 0);
}

BOOST_AUTO_TEST_CASE(EndpointsAreEvaluatedOncePerPassHoweverManyTasksStart)
{
    // Pattern: a leader with a tenth of a core starts a thousand tasks a second on 60 endpoints.
    CellWorld world(60);
    world.addLeader();
    world.advanceTime(1s);
    const std::uint64_t before = world.leaders[0].leader->gatheredEndpoints();
    world.submit(0, JobId("j1"), 100, true);
    BOOST_TEST(world.leaders[0].leader->gatheredEndpoints() - before == 60U);
    world.advanceTime(1s);
    BOOST_TEST(world.startCount == 100U);
    // Nothing waits, so nothing is evaluated.
    BOOST_TEST(world.leaders[0].leader->gatheredEndpoints() - before == 60U);
}

BOOST_AUTO_TEST_CASE(TypicalDemandIsTheMedianOfRecentTasks)
{
    RecentDemand demand;
    BOOST_TEST(demand.typicalCpu() == 0);
    for (int task = 0; task < 300; ++task) {
        demand.record(task % 3 == 0 ? 1000 : 16000);
    }
    BOOST_TEST(demand.typicalCpu() == 16000);
    for (int task = 0; task < 300; ++task) {
        demand.record(4000 + task % 40);
    }
    BOOST_TEST(demand.typicalCpu() < 5000);
}

// Guards against a task that waits although the only endpoint that can run it has room, because others that can't are faster.
BOOST_FIXTURE_TEST_CASE(SlowEndpointThatAloneHasTheLabelIsUsed, Fixture)
{
    this->add(16);
    CellEndpoint &labelled = this->add(16);
    labelled.record.labels = {"rare"};
    this->step.requirement = "rare";
    this->pass.begin(Service, 0);
    this->pass.add(*this->endpoints[0], 1, TrialTerms::None);
    this->pass.add(labelled, 5, TrialTerms::None);
    BOOST_TEST(this->placeNext(1, 500ms, 1s) == 1);
}

// Guards against a look at all endpoints for each of many tasks that fit nowhere.
BOOST_FIXTURE_TEST_CASE(TaskThatNeedsMoreThanOneThatFittedNowhereIsKnownAsUnfit, Fixture)
{
    this->add(4);
    this->add(8);
    this->pass.begin(Service, 0);
    for (const auto &endpoint : this->endpoints) {
        this->pass.add(*endpoint, 1, TrialTerms::None);
    }
    this->step.demand = {9000, 0, 0};
    const PlacementTask task{this->ref, this->step, this->noEndpoint, Now, Now, Now};
    BOOST_TEST(!this->pass.choose(Now, task).wasKnownUnfit);
    this->step.demand = {9500, 10, 0};
    BOOST_TEST(this->pass.choose(Now, task).wasKnownUnfit);
    this->step.demand = {8000, 10, 0};
    const PlacementChoice choice = this->pass.choose(Now, task);
    BOOST_TEST(!choice.wasKnownUnfit);
    BOOST_TEST(choice.endpoint == this->endpoints[1].get());
}

BOOST_AUTO_TEST_SUITE_END()
