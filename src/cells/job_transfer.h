/**
 * Transfer of stored jobs from one cell to another.
 *
 * A stored job belongs to one cell, whose endpoints may all leave or be busy while those of other cells are idle. Its leader hands it over
 * in one transaction, which moves the job's rows and records the transfer, and then tells the other cell's leader until that confirms. The
 * record outlives the leader, so that the next one goes on telling. The other leader reads the job's rows before it believes them: an
 * announcement may be old.
 */
#pragma once

#include "cells/cell_job.h"
#include "cells/crash_history.h"

#include <optional>
#include <vector>

namespace Tanagertally::Cells {

/** A stored job that its cell has handed over, as recorded in the cell's rows. */
struct JobTransfer {
    JobId job;
    CellName target; ///< The cell that has the job now.
    std::vector<EndpointLoss> losses; ///< Endpoints that the former cell lost under tasks of the job; `at` is not stored.
};

/** Rows of a transferred job as its new leader reads them. */
struct TransferredRows {
    bool areRead = false; ///< Whether the store answered with rows that can be decoded.
    std::optional<JobSpec> spec; ///< Unset if the cell has no such job any more.
    JobTerms terms; ///< Valid if `spec` is set.
    JobProgress progress; ///< Valid if `spec` is set.
};

/** A stored job of which nothing has run for a while although tasks could start. */
struct IdleJob {
    std::shared_ptr<const CellJob> job;
    std::vector<std::uint32_t> nextSteps; ///< Numbers of the steps with tasks that could start; not empty.
    std::vector<std::uint32_t> openSteps; ///< Numbers of all steps that are not done.
    TimePoint dueAt; ///< Since when the job has been due to be offered to other cells.
    bool canRunHere = false; ///< Whether an endpoint of the cell that accepts work could run a task of `nextSteps` if it had room.
};

/** Free resources of an endpoint that takes tasks. */
struct EndpointRoom {
    EndpointName endpoint;
    Resources free;
};

/** @return Losses of which only the tasks of one job are kept; those of no such task are left out. Thread safety: any thread. */
std::vector<EndpointLoss> lossesUnder(const std::vector<EndpointLoss> &losses, const JobId &job);

} // namespace Tanagertally::Cells
