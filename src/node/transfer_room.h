/**
 * Which tasks of a job the endpoints of another cell could start at once; without network.
 *
 * Pattern: uneven room. The free room of a cell is spread over its endpoints, and what waits there may need more than any of them has free.
 * Its sum, what typical tasks can use of it and the work that waits tell nothing about a certain task; the room of each endpoint does.
 */
#pragma once

#include "cells/job_transfer.h"

#include <map>
#include <span>

namespace Tanagertally::Cells {

/** Free resources by endpoint. An endpoint that takes no tasks has no entry. */
using RoomByEndpoint = std::map<EndpointName, Resources>;

/** Endpoints of a cell; the pointers are never null. */
using CellEndpoints = std::span<const EndpointRecord *const>;

/** @return Number of tasks of a step that an endpoint can start with its free resources. Thread safety: any thread. */
std::uint64_t countFittingTasks(const StepSpec &step, const Resources &free);

/**
 * @return Number of tasks of the job's next steps that endpoints of its service have room for, each step by itself. Thread safety: none.
 */
std::uint64_t countStartableTasks(const IdleJob &idle, CellEndpoints endpoints, const RoomByEndpoint &rooms);

/** Takes the room of the tasks of the job's next steps, as far as there is any. Thread safety: none. */
void takeRoom(const IdleJob &idle, CellEndpoints endpoints, RoomByEndpoint &rooms);

} // namespace Tanagertally::Cells
