/** What a node needs of its surroundings. */
#pragma once

#include "cells/cell_action.h"

#include <functional>

namespace Tanagertally::Cells {

/** Everything that a node asks of adapters. Each handler is called once, later, on the thread that runs the node. */
struct NodePorts {
    std::function<void(StoreTransaction, std::function<void(TransactionResult)>)> commit; ///< Carry out a transaction.
    std::function<void(RangeRead, std::function<void(ReadResult)>)> read; ///< Read a range of rows.
    std::function<void(std::string table, RowVersion after, Duration wait, std::function<void(ReadResult)>)> follow; ///< Wait for changes of a table.
    std::function<void(const StartRun &, std::function<void(StartResult)>)> startRun; ///< Start a run.
    std::function<void(const StopRun &, std::function<void(StopResult)>)> stopRun; ///< Stop a run.
    std::function<void(const HoldEndpoint &, std::function<void(HoldResult)>)> hold; ///< Hold an endpoint.
    std::function<void()> rereadConfig; ///< Read the configuration anew: another instance has a newer one in force.
    std::function<void(CallId, SubmitAnswer)> answerSubmission; ///< Answer a caller's submission.
    std::function<void(CallId, JobAnswer)> answerJob; ///< Answer a caller's question or cancelling.
    std::function<void(const LogDecision &)> log; ///< Write a line to the log.
};

} // namespace Tanagertally::Cells
