#include "node/transfer_room.h"

#include "cells/placement.h"

#include <algorithm>

namespace Tanagertally::Cells {

namespace {

/** Calls `visit` with the room of each endpoint that could run a task of a step. */
template<typename Rooms, typename Visit>
void forEachRoom(const CellJob &job, const StepSpec &step, CellEndpoints endpoints, Rooms &rooms, Visit visit)
{
    for (const EndpointRecord *record : endpoints) {
        const auto room = rooms.find(record->name);
        if (room != rooms.end() && record->service == job.terms.service && canEverRun(*record, step)) {
            visit(room->second);
        }
    }
}

} // namespace

std::uint64_t countFittingTasks(const StepSpec &step, const Resources &free)
{
    if (!step.demand.fitsInto(free)) {
        return 0;
    }
    std::int64_t count = step.maxPerEndpoint > 0 ? step.maxPerEndpoint : step.count;
    const auto limitBy
        = [&count](std::int64_t demanded, std::int64_t available) { count = demanded > 0 ? std::min(count, available / demanded) : count; };
    limitBy(step.demand.cpu, free.cpu);
    limitBy(step.demand.memoryMb, free.memoryMb);
    limitBy(step.demand.gpu, free.gpu);
    return static_cast<std::uint64_t>(count);
}

std::uint64_t countStartableTasks(const IdleJob &idle, CellEndpoints endpoints, const RoomByEndpoint &rooms)
{
    std::uint64_t sum = 0;
    for (const std::uint32_t number : idle.nextSteps) {
        const StepSpec &step = idle.job->spec.steps[number];
        std::uint64_t fitting = 0;
        forEachRoom(*idle.job, step, endpoints, rooms, [&](const Resources &free) { fitting += countFittingTasks(step, free); });
        sum += std::min<std::uint64_t>(fitting, step.count);
    }
    return sum;
}

void takeRoom(const IdleJob &idle, CellEndpoints endpoints, RoomByEndpoint &rooms)
{
    for (const std::uint32_t number : idle.nextSteps) {
        const StepSpec &step = idle.job->spec.steps[number];
        std::uint64_t remaining = step.count;
        forEachRoom(*idle.job, step, endpoints, rooms, [&](Resources &free) {
            for (std::uint64_t fitting = std::min(countFittingTasks(step, free), remaining); fitting > 0; --fitting) {
                free -= step.demand;
                --remaining;
            }
        });
    }
}

} // namespace Tanagertally::Cells
