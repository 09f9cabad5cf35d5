/** What a node needs of its surroundings. */
#pragma once

#include "cells/cell_action.h"

#include <functional>
#include <span>

namespace Tanagertally::Cells {

using LinkHandle = std::uint64_t; ///< A link that another instance opened.

/** Links to other instances, as a node sees them. */
struct NodeLinks {
    std::function<void(std::span<const InstanceRecord>)> setPeers; ///< Open links to these instances and to no others.
    std::function<bool(const InstanceName &, const std::string &)> send; ///< Send a message; tells whether the link is open.
    std::function<void(LinkHandle, const std::string &)> reply; ///< Answer on a link that another instance opened.
    std::function<bool(const InstanceName &)> isLinked; ///< Whether the link to an instance is open.
    std::function<Duration(const InstanceName &)> silence; ///< Time since an instance was heard; the longest if never.
    std::function<void(const InstanceName &)> noteHeard; ///< An instance was heard on a link that it opened itself.
    std::function<void()> tick; ///< Ping what is open, drop what is silent, open what is missing.
};

/** What a node hears of its links. */
struct NodeLinkHandlers {
    std::function<void(const InstanceName &)> linked; ///< The link to an instance is open.
    std::function<void(const InstanceName &, bool wasRefused)> lost; ///< The link is gone, or couldn't be opened.
    std::function<void(const InstanceName &, std::string)> replied; ///< A message came on the link to an instance.
    std::function<void(LinkHandle)> askerLost; ///< A link that another instance opened is gone or silent.
    std::function<void(LinkHandle, std::string)> asked; ///< A message came on a link that another instance opened.
};

/** Everything that a node asks of adapters. Each handler is called once, later, on the thread that runs the node. */
struct NodePorts {
    std::function<TimePoint()> now; ///< The time, which goes on while the machine is suspended.
    std::function<void(StoreTransaction, std::function<void(TransactionResult)>)> commit; ///< Carry out a transaction.
    std::function<void(RangeRead, std::function<void(ReadResult)>)> read; ///< Read a range of rows.
    std::function<void(std::string table, RowVersion after, Duration wait, std::function<void(ReadResult)>)>
        follow; ///< Wait for changes of a table.
    std::function<void(const StartRun &, std::function<void(StartResult)>)> startRun; ///< Start a run.
    std::function<void(const StopRun &, std::function<void(StopResult)>)> stopRun; ///< Stop a run.
    std::function<void(const HoldEndpoint &, std::function<void(HoldResult)>)> hold; ///< Hold an endpoint.
    std::function<void()> rereadConfig; ///< Read the configuration anew: another instance has a newer one in force.
    std::function<void(CallId, SubmitAnswer)> answerSubmission; ///< Answer a caller's submission.
    std::function<void(CallId, JobAnswer)> answerJob; ///< Answer a caller's question or cancelling.
    std::function<void(const LogDecision &)> log; ///< Write a line to the log.
};

} // namespace Tanagertally::Cells
