/** Where a task runs: a choice among the endpoints of a cell, without side effects. */
#pragma once

#include "cells/cell_endpoint.h"
#include "cells/job_type.h"

#include <span>

namespace Tanagertally::Cells {

/** An endpoint that may be chosen. */
struct PlacementCandidate {
    const CellEndpoint *endpoint = nullptr; ///< The endpoint.
    std::uint32_t runsOfStep = 0; ///< Tasks of the same step that it has.
    double slowness = 1; ///< How long tasks take there against their estimate.
};

/** @return Whether a label is among those of an endpoint. Thread safety: any thread. */
bool hasLabel(const EndpointRecord &endpoint, std::string_view label);

/** @return Whether an endpoint could run a task of a step if it were empty. Thread safety: any thread. */
bool canEverRun(const EndpointRecord &endpoint, const StepSpec &step);

/**
 * Leave out endpoints that are much slower than the fastest one with room, if the task could meet its objective only on a faster
 * one. Waiting for a fast endpoint beats starting at once on one that takes several times as long.
 * @param objective When the task has to end.
 * Thread safety: any thread.
 */
void leaveOutSlow(std::vector<PlacementCandidate> &candidates, const StepSpec &step, TimePoint objective, TimePoint now);

/**
 * Choose an endpoint for a task: in the rack of its data if there is room, then the one that leaves the least processor unused,
 * so that wide tasks still find room elsewhere (best fit).
 * @param candidates Endpoints that take work now.
 * @param step What the task asks for.
 * @param avoid Where the task failed last; taken only if there is nothing else.
 * @return Index of the candidate, or nothing if none has room.
 * Thread safety: any thread.
 */
std::optional<std::size_t> chooseEndpoint(std::span<const PlacementCandidate> candidates, const StepSpec &step, const EndpointName &avoid);

} // namespace Tanagertally::Cells
