// Tests which tasks of a job find room on single endpoints of another cell.
#include "node/transfer_room.h"

#include <boost/test/unit_test.hpp>

using namespace Tanagertally;
using namespace Tanagertally::Cells;
using namespace std::chrono_literals;

namespace {

/** A cell of three endpoints, the last one of another service, and a job that is idle elsewhere. */
struct Cell {
    std::vector<EndpointRecord> records;
    std::vector<const EndpointRecord *> endpoints;
    RoomByEndpoint rooms;

    Cell()
    {
        for (const std::string name : {"e1", "e2", "e3"}) {
            EndpointRecord record;
            record.name = EndpointName(name);
            record.service = ServiceName(name == "e3" ? "other" : "service");
            record.capacity = {16000, 1000, 0};
            record.labels = {name == "e1" ? "a" : "b"};
            this->records.push_back(record);
        }
        for (const EndpointRecord &record : this->records) {
            this->endpoints.push_back(&record);
            this->rooms.emplace(record.name, Resources{8000, 1000, 0});
        }
    }

    std::uint64_t startable(StepSpec step)
    {
        return countStartableTasks(idle(std::move(step)), this->endpoints, this->rooms);
    }

    static IdleJob idle(StepSpec step)
    {
        JobSpec spec{std::make_shared<const std::string>("payload"), {std::move(step)}, false};
        JobTerms terms{QueueName("queue"), ServiceName("service"), 0, 2, 1.6, 60ms};
        return {std::make_shared<CellJob>(JobId("00000000000000a1"), std::move(spec), std::move(terms), TimePoint()),
                {0},
                {0},
                TimePoint(),
                true};
    }
};

StepSpec step(std::uint32_t count, Resources demand)
{
    StepSpec result;
    result.count = count;
    result.demand = demand;
    return result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(TransferRoom)

// Guards against a transfer for room that no single endpoint has.
BOOST_FIXTURE_TEST_CASE(RoomOfSeveralEndpointsDoesNotAddUp, Cell)
{
    BOOST_TEST(this->startable(step(1, {9000, 64, 0})) == 0U);
    BOOST_TEST(this->startable(step(1, {8000, 64, 0})) == 1U);
    BOOST_TEST(this->startable(step(1, {1000, 1001, 0})) == 0U);
    BOOST_TEST(this->startable(step(1, {0, 0, 1})) == 0U);
}

BOOST_FIXTURE_TEST_CASE(TasksAreCountedByEndpoint, Cell)
{
    BOOST_TEST(this->startable(step(100, {3000, 64, 0})) == 4U); // Two on each endpoint of the service.
    BOOST_TEST(this->startable(step(3, {3000, 64, 0})) == 3U);
    BOOST_TEST(this->startable(step(7, {0, 0, 0})) == 7U);
    StepSpec limited = step(100, {1000, 64, 0});
    limited.maxPerEndpoint = 1;
    BOOST_TEST(this->startable(limited) == 2U);
    StepSpec labelled = step(100, {3000, 64, 0});
    labelled.requirement = "a";
    BOOST_TEST(this->startable(labelled) == 2U);
    this->rooms.erase(EndpointName("e1")); // It takes no tasks.
    BOOST_TEST(this->startable(labelled) == 0U);
}

// Guards against several jobs that are handed over for the same room.
BOOST_FIXTURE_TEST_CASE(RoomIsTakenOnce, Cell)
{
    const IdleJob idle = Cell::idle(step(1, {8000, 64, 0}));
    for (const std::uint64_t left : {1U, 1U, 0U}) {
        BOOST_TEST(countStartableTasks(idle, this->endpoints, this->rooms) == left);
        takeRoom(idle, this->endpoints, this->rooms);
    }
}

BOOST_AUTO_TEST_SUITE_END()
