// Stored jobs whose cell leaves them waiting move to a cell that can run them, once, whatever crashes on the way.
#include "cells/store_rows.h"
#include "node/tests/node_world.h"

#include <boost/test/unit_test.hpp>

using namespace Tanagertally;
using namespace Tanagertally::Cells;
using namespace Tanagertally::Cells::Test;
using namespace std::chrono_literals;

namespace {

constexpr Duration IdleBound = 3s; // In which a task that could run has to be running, specified by the platform.
constexpr Duration LeaseEnd = 1100ms; // In which the runs on an endpoint that has left are certainly over.
constexpr Duration FinishBound = 14s; // `finish_s` of the users' platform: after the traffic each job runs in this time.
constexpr Duration RecoveryBound = 12s; // `recovery-s` of the users' platform.

const CellName OtherCell("other");
const JobId Job("00000000000000a1");

/** Three instances and three endpoints in one domain, one of each in another. */
struct TwoCells {
    NodeWorld fleet{4, 4, true, true};
    const std::size_t farNode = 3; ///< The instance of the other domain.
    std::size_t entry = 0; ///< Leads no cell, in the first domain.

    TwoCells()
    {
        this->fleet.world.advanceTime(3s);
        this->entry = this->fleet.follower();
    }

    /** Submits a stored job of the first domain, and requires that it is accepted there. */
    void submit(const JobId &id, std::uint32_t count)
    {
        const CallId call = this->fleet.submit(this->entry, id, count, 1500ms, false);
        this->fleet.world.advanceTime(100ms);
        const auto &answers = this->fleet.nodes[this->entry].submitAnswers;
        BOOST_TEST_REQUIRE(answers.contains(call));
        BOOST_TEST_REQUIRE((answers.at(call).verdict == SubmitVerdict::Accepted));
        BOOST_TEST_REQUIRE(this->cellOf(id).value == this->fleet.cell.value);
    }

    /** @return The cell that the store names for a job; empty if the store doesn't know the job. */
    CellName cellOf(const JobId &id)
    {
        const RowKey key = idKey(id);
        const ReadResult result = this->fleet.world.store.read({key.table, key.partition, key.key, 1});
        return result.rows.empty() || result.rows.front().key != key ? CellName() : CellName(result.rows.front().value);
    }

    /** Takes endpoints of the first domain away, from number `first` on. */
    void removeEndpoints(std::size_t first = 0)
    {
        std::vector<EndpointRecord> records;
        for (std::size_t number = 0; number < this->fleet.world.endpoints.size(); ++number) {
            EndpointModel &endpoint = this->fleet.world.endpoints[number];
            if (number >= first && endpoint.record.domain.value == this->fleet.cell.value) {
                endpoint.isUp = false;
                endpoint.isReachable = false;
                endpoint.runs.clear();
                continue;
            }
            records.push_back(endpoint.record);
        }
        for (WorldNode &entry : this->fleet.nodes) {
            entry.node->setEndpoints(records);
        }
    }

    bool isDone(const JobId &id)
    {
        return this->stateOf(id) == JobState::Done;
    }

    /** @return State as told by the store's progress row in the job's present cell. */
    JobState stateOf(const JobId &id)
    {
        const RowKey key = progressKey(this->cellOf(id), id);
        const ReadResult result = this->fleet.world.store.read({key.table, key.partition, key.key, 1});
        const bool isStored = !result.rows.empty() && result.rows.front().key == key;
        return isStored ? decodeProgress(result.rows.front().value).value().state : JobState::Queued;
    }

    std::size_t transferRecords()
    {
        return this->fleet.world.store.read({std::string(TransfersTable), this->fleet.cell.value, "", 0}).rows.size();
    }

    /** @return Index of the running node that leads a cell. @pre There is one. */
    std::size_t leaderOf(const CellName &cell)
    {
        const RowKey key = leadKey(cell);
        const std::string owner
            = decodeLead(this->fleet.world.store.read({key.table, key.partition, key.key, 1}).rows.at(0).value).value().owner.value;
        const auto found
            = std::ranges::find_if(this->fleet.nodes, [&owner](const WorldNode &node) { return node.record.name.value == owner; });
        return static_cast<std::size_t>(found - this->fleet.nodes.begin());
    }
};

/** Two failure domains of two instances each; the endpoints have 16 cores, but for the last one of the other domain, which has 24. */
struct UnevenCells {
    const FailureDomain home{"cell"};
    const FailureDomain away{"other"};
    NodeWorld fleet{{{home, home, away, away}, {home, home, away, away, away}}, 1};
    const std::size_t homeNode = 0;
    const std::size_t awayNode = 2;
    std::uint64_t lastJob = 0;

    UnevenCells()
    {
        for (EndpointModel &endpoint : this->fleet.world.endpoints) {
            endpoint.record.capacity = {16000, 4000, 0};
            endpoint.record.labels = {endpoint.record.domain.value};
            endpoint.slots = 16;
        }
        this->fleet.world.endpoints.back().record.capacity.cpu = 24000;
        this->fleet.reportEndpoints();
        this->fleet.world.workTime = 60s;
        this->fleet.world.advanceTime(8s);
    }

    /** Submits a stored job whose tasks demand a processor share and run on an endpoint each, and requires that it is accepted. */
    JobId submit(std::size_t node, std::uint32_t count, std::int64_t cpu, Duration estimate = 40s)
    {
        const std::string digits = std::to_string(++this->lastJob);
        const JobId id(std::string(16 - digits.size(), '0') + digits);
        StepSpec step;
        step.count = count;
        step.demand = {cpu, 64, 0};
        step.estimate = estimate;
        step.maxPerEndpoint = 1;
        const CallId call = this->fleet.submitStored(node, id, step);
        this->fleet.world.advanceTime(500ms);
        const auto &answers = this->fleet.nodes[node].submitAnswers;
        BOOST_TEST_REQUIRE(answers.contains(call));
        BOOST_TEST_REQUIRE((answers.at(call).verdict == SubmitVerdict::Accepted));
        return id;
    }

    std::size_t startsOf(const JobId &id)
    {
        return this->fleet.world.startsOf({id, 0, 0});
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(Transfer)

// Guards against a job of a full cell that waits beside empty endpoints of another one, as a large task that they can't run waits there
// (review case 13).
BOOST_FIXTURE_TEST_CASE(TaskThatWaitsInAnotherCellKeepsNoJobFromItsEmptyEndpoints, UnevenCells)
{
    this->submit(this->awayNode, 1, 20000);
    this->submit(this->homeNode, 2, 9000);
    const JobId large = this->submit(this->awayNode, 1, 20000);
    const JobId job = this->submit(this->homeNode, 1, 9000);
    this->fleet.world.advanceTime(IdleBound);
    BOOST_TEST(this->startsOf(large) == 0U);
    BOOST_TEST(this->startsOf(job) == 1U);
    BOOST_TEST(this->fleet.world.violations.empty());
}

// Guards against a job that is handed over for free room that no single endpoint of the other cell has.
BOOST_FIXTURE_TEST_CASE(JobIsNotHandedOverForTheSumOfSmallRooms, UnevenCells)
{
    this->submit(this->awayNode, 1, 20000);
    this->submit(this->awayNode, 3, 4000);
    this->submit(this->awayNode, 2, 4000); // Leaves 8 cores of the two smaller endpoints.
    this->submit(this->homeNode, 2, 9000);
    std::size_t transfers = 0;
    this->fleet.onLog = [&transfers](std::size_t, const WriteLogLine &line) { transfers += line.event == "job-transferred" ? 1 : 0; };
    const JobId job = this->submit(this->homeNode, 1, 9000);
    this->fleet.world.advanceTime(10s);
    BOOST_TEST(this->startsOf(job) == 0U);
    BOOST_TEST(transfers == 0U);
}

// Guards against a small job that waits beside room that tasks of the demand that is typical there can't use.
BOOST_FIXTURE_TEST_CASE(JobIsHandedOverForRoomThatIsTooSmallForTypicalTasks, UnevenCells)
{
    this->submit(this->awayNode, 2, 14000);
    this->submit(this->awayNode, 1, 20000);
    this->submit(this->homeNode, 2, 15000);
    const JobId job = this->submit(this->homeNode, 1, 2000);
    this->fleet.world.advanceTime(IdleBound);
    BOOST_TEST(this->startsOf(job) == 1U);
}

// Guards against jobs that are never offered to another cell, as more jobs than one look covers wait before them for ever.
BOOST_FIXTURE_TEST_CASE(JobBehindManyThatNoOtherCellTakesIsHandedOver, UnevenCells)
{
    this->submit(this->awayNode, 1, 20000);
    this->submit(this->homeNode, 2, 15000);
    for (int count = 0; count < 1000; ++count) {
        const std::string digits = std::to_string(5000 + count);
        StepSpec step;
        step.count = 1;
        step.demand = {16000, 64, 0};
        step.requirement = this->home.value;
        this->fleet.submitStored(this->homeNode, JobId(std::string(16 - digits.size(), '0') + digits), step);
        this->fleet.world.advanceTime(count % 10 == 0 ? 10ms : 0ms);
    }
    std::vector<JobId> jobs;
    for (int count = 0; count < 8; ++count) {
        jobs.push_back(this->submit(this->homeNode, 1, 3000, 0s));
    }
    this->fleet.world.advanceTime(FinishBound);
    for (const JobId &job : jobs) {
        BOOST_TEST(this->startsOf(job) == 1U);
    }
}

// Guards against accepted jobs that never run once the endpoints of their failure domain have left, while those of others are idle.
BOOST_FIXTURE_TEST_CASE(JobsOfACellThatHasLostItsEndpointsRunInAnother, TwoCells)
{
    this->fleet.world.workTime = 400ms;
    for (int number = 10; number < 20; ++number) {
        this->submit(JobId("00000000000000" + std::to_string(number)), 1);
    }
    this->removeEndpoints();
    const std::size_t startsBefore = this->fleet.world.startCount;
    this->fleet.world.advanceTime(LeaseEnd + IdleBound);
    BOOST_TEST(this->fleet.world.startCount >= startsBefore + 2); // The endpoint of the other domain runs two tasks at a time.
    this->fleet.world.advanceTime(5s);
    for (int number = 10; number < 20; ++number) {
        BOOST_TEST(this->isDone(JobId("00000000000000" + std::to_string(number))));
    }
    BOOST_TEST(this->fleet.world.violations.empty());
    BOOST_TEST(this->transferRecords() == 0U);
}

// Guards against jobs that wait behind long ones in their own cell while another one is idle.
BOOST_FIXTURE_TEST_CASE(JobOfAFullCellRunsInAnotherThatHasRoom, TwoCells)
{
    this->fleet.world.workTime = 60s;
    this->removeEndpoints(1);
    this->submit(JobId("00000000000000b1"), 2); // Fills the endpoint that is left.
    this->submit(Job, 1);
    this->fleet.world.advanceTime(IdleBound);
    BOOST_TEST(this->fleet.world.startsOf({Job, 0, 0}) == 1U);
    BOOST_TEST(this->cellOf(Job).value == OtherCell.value);
}

// Guards against failed runs that are forgotten when a job moves, so that its task runs more often than its queue allows.
BOOST_FIXTURE_TEST_CASE(FailedRunsCountAlsoAfterTheTransfer, TwoCells)
{
    this->fleet.world.runOutcome = [] { return RunOutcome::Failed; };
    this->fleet.world.workTime = 150ms;
    this->submit(Job, 1);
    this->fleet.world.workTime = 60s; // The second run is lost with its endpoint.
    this->fleet.world.advanceTime(500ms);
    BOOST_TEST_REQUIRE(this->fleet.world.startsOf({Job, 0, 0}) == 2U);
    this->removeEndpoints();
    this->fleet.world.workTime = 150ms;
    this->fleet.world.advanceTime(LeaseEnd + IdleBound + 1s);
    BOOST_TEST(this->fleet.world.startsOf({Job, 0, 0}) == 3U);
    BOOST_TEST((this->stateOf(Job) == JobState::Failed));
    BOOST_TEST(this->fleet.world.violations.empty());
}

// Guards against a job that nobody runs, because the leader that handed it over is lost before it has told the other one.
BOOST_FIXTURE_TEST_CASE(JobIsTakenOverAlthoughItsFormerLeaderIsLostRightAfterTheTransfer, TwoCells)
{
    this->fleet.world.workTime = 300ms;
    this->submit(Job, 3);
    this->removeEndpoints();
    const std::size_t former = this->leaderOf(this->fleet.cell);
    BOOST_TEST_REQUIRE(former != this->leaderOf(OtherCell));
    BOOST_TEST_REQUIRE(this->fleet.world.advanceUntil([this] { return this->transferRecords() > 0; }, LeaseEnd + IdleBound));
    this->fleet.kill(former);
    this->fleet.world.advanceTime(RecoveryBound);
    BOOST_TEST(this->isDone(Job));
    BOOST_TEST(this->transferRecords() == 0U);
    BOOST_TEST(this->fleet.world.violations.empty());
}

// Guards against a job that nobody runs, or that begins anew, because the leader that it was handed over to is lost meanwhile.
BOOST_FIXTURE_TEST_CASE(JobIsTakenOverAlthoughItsNewLeaderIsLostMeanwhile, TwoCells)
{
    this->fleet.world.workTime = 300ms;
    this->submit(Job, 3);
    this->removeEndpoints();
    const std::size_t present = this->leaderOf(OtherCell);
    BOOST_TEST_REQUIRE(present != this->leaderOf(this->fleet.cell));
    this->fleet.world.advanceUntil([this] { return this->transferRecords() > 0; }, LeaseEnd + IdleBound);
    this->fleet.kill(present);
    this->fleet.world.advanceTime(RecoveryBound);
    BOOST_TEST(this->isDone(Job));
    BOOST_TEST(this->fleet.world.violations.empty());
}

// Guards against a caller who is told that an accepted job doesn't exist while it moves.
BOOST_FIXTURE_TEST_CASE(JobIsNeverDeniedWhileItMoves, TwoCells)
{
    this->fleet.world.workTime = 300ms;
    this->submit(Job, 3);
    this->removeEndpoints();
    std::vector<std::pair<std::size_t, CallId>> questions;
    while (!this->isDone(Job) && questions.size() < 3000) {
        for (std::size_t node = 0; node < this->fleet.nodes.size(); ++node) {
            questions.emplace_back(node, this->fleet.submitQuestion(node, Job));
        }
        this->fleet.world.advanceTime(10ms);
    }
    this->fleet.world.advanceTime(2s);
    BOOST_TEST(this->isDone(Job));
    for (const auto &[node, call] : questions) {
        const auto &answers = this->fleet.nodes[node].jobAnswers;
        BOOST_TEST_REQUIRE(answers.contains(call));
        BOOST_TEST((answers.at(call).kind == JobAnswer::Kind::Known));
    }
}

BOOST_AUTO_TEST_SUITE_END()
