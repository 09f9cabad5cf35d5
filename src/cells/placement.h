/** Placement of tasks on the endpoints of a cell; without side effects. */
#pragma once

#include "cells/cell_endpoint.h"
#include "cells/job_type.h"

#include <span>

namespace Tanagertally::Cells {

/** An endpoint that accepts work. */
struct PlacementCandidate {
    const CellEndpoint *endpoint = nullptr; ///< Never null in a candidate; not owned.
    std::uint32_t runsOfStep = 0; ///< Runs of the same step on the endpoint.
    double slowness = 1; ///< Run time divided by estimate, from EndpointHealth::slowness().
};

/** @return Whether an endpoint has a label. Thread safety: any thread. */
bool hasLabel(const EndpointRecord &endpoint, std::string_view label);

/** @return Whether an endpoint without runs could run a task of a step. Thread safety: any thread. */
bool canEverRun(const EndpointRecord &endpoint, const StepSpec &step);

/**
 * Removes candidates that are much slower than the fastest one if the task would miss its objective on them but could meet it at its
 * estimated run time. Waiting for a fast endpoint then takes less time than starting at once on one that takes several times as long.
 * @param objective Time by which the task has to end.
 * Thread safety: any thread.
 */
void removeSlowCandidates(std::vector<PlacementCandidate> &candidates, const StepSpec &step, TimePoint objective, TimePoint now);

/**
 * Chooses an endpoint for a task: one in the preferred rack if any has free capacity, then the least slow one, then the one with the
 * least processor capacity left over, which preserves capacity for large tasks elsewhere (best fit).
 * @param avoid Endpoint of the task's last failure; chosen only if no other fits.
 * @return Index of the candidate, or nothing if the task fits on none.
 * Thread safety: any thread.
 */
std::optional<std::size_t> chooseEndpoint(std::span<const PlacementCandidate> candidates, const StepSpec &step, const EndpointName &avoid);

} // namespace Tanagertally::Cells
