/** Interfaces between a node and its adapters: peer links, store, endpoints, callers and log. */
#pragma once

#include "cells/cell_action.h"

#include <functional>
#include <span>

namespace Tanagertally::Cells {

using LinkHandle = std::uint64_t; ///< Identifies an inbound connection, that is, one that another instance opened.

/**
 * Functions of the peer links that a node calls. An instance sends requests on the connection that it opened to the other instance and
 * receives the replies there.
 */
struct NodeLinks {
    std::function<void(std::span<const InstanceRecord>)> setPeers; ///< Keep connections to exactly these instances.
    std::function<bool(const InstanceName &, const std::string &)> send; ///< Send a message; returns whether the connection is open.
    std::function<void(LinkHandle, const std::string &)> reply; ///< Send a message on an inbound connection.
    std::function<bool(const InstanceName &)> isLinked; ///< Whether the connection to an instance is open.
    std::function<Duration(const InstanceName &)> silence; ///< Time since data was received from an instance; the maximum if never.
    std::function<Duration(LinkHandle)>
        inboundSilence; ///< Time since data was received on an inbound connection; the maximum if it is closed.
    std::function<void(const InstanceName &)> recordActivity; ///< Reset the silence of an instance that sent data on its own connection.
    std::function<void()> tick; ///< Ping open connections, close unresponsive ones and reopen closed ones.
};

/** Callbacks from the peer links to a node. */
struct NodeLinkHandlers {
    std::function<void(const InstanceName &)> onLinkOpened; ///< The connection to an instance is open.
    std::function<void(const InstanceName &, bool wasRefused)> onLinkLost; ///< The connection was closed or couldn't be opened.
    std::function<void(const InstanceName &, std::string)> onReply; ///< A message arrived on the connection to an instance.
    std::function<void(LinkHandle)> onInboundLinkLost; ///< An inbound connection was closed or is unresponsive.
    std::function<void(LinkHandle, std::string)> onRequest; ///< A message arrived on an inbound connection.
    std::function<bool(const std::string &)> isHello
        = [](const std::string &) { return true; }; ///< Whether the first message on an inbound
                                                    ///< connection is valid. Called on any thread.
};

/** Functions of the adapters that a node calls. Each completion handler is called once, asynchronously, on the node's thread. */
struct NodePorts {
    std::function<TimePoint()> now; ///< Current time of a clock that also runs while the machine is suspended.
    std::function<void(StoreTransaction, std::function<void(TransactionResult)>)> commit; ///< Commit a store transaction.
    std::function<void(RangeRead, std::function<void(ReadResult)>)> read; ///< Read a range of rows.
    std::function<void(std::string table, RowVersion after, Duration wait, std::function<void(ReadResult)>)>
        follow; ///< Wait up to `wait` for changes of a table later than `after`.
    std::function<void(const StartRun &, std::function<void(StartResult)>)> startRun; ///< Start a run at an endpoint.
    std::function<void(const StopRun &, std::function<void(StopResult)>)> stopRun; ///< Stop a run at an endpoint.
    std::function<void(const HoldEndpoint &, std::function<void(HoldResult)>)> holdEndpoint; ///< Send a hold request to an endpoint.
    std::function<void()> reportNewerConfig; ///< Report that another instance has a newer configuration in force.
    std::function<void(RowVersion)>
        reportOperatorTable; ///< Report the newest change of the operators' table that another instance applied.
    std::function<void(CallId, SubmitAnswer)> answerSubmission; ///< Answer a caller's submission.
    std::function<void(CallId, JobAnswer)> answerJob; ///< Answer a caller's status query or cancellation.
    std::function<void(const WriteLogLine &)> log; ///< Write a line to the log.
};

} // namespace Tanagertally::Cells
