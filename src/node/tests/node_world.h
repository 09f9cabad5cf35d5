/** Simulation of several linked nodes on the store and the endpoints of a CellWorld. */
#pragma once

#include "cells/tests/cell_world.h"
#include "node/node.h"

#include <set>

namespace Tanagertally::Cells::Test {

/** A simulated node and its process state. */
struct WorldNode {
    std::unique_ptr<Node> node;
    NodeLinkHandlers handlers; ///< Callbacks from the simulated links to the node.
    InstanceRecord record; ///< Record of the node's instance.
    bool isUp = true; ///< Whether the process runs; false after kill().
    bool isSuspended = false; ///< Whether the process is suspended.
    bool isReceivingBlocked = false; ///< Whether requests from other nodes are dropped while the links stay open.
    TimePoint silentSince; ///< Time of the suspension or the kill; valid only after one of them.
    std::size_t sentMessages = 0; ///< Number of messages sent on outbound links.
    RowVersion reportedTable; ///< Newest version that was passed to NodePorts::reportOperatorTable.
    std::set<std::size_t> peers; ///< Indices of the nodes to which an outbound link is open.
    std::vector<std::function<void()>> queuedEvents; ///< Callbacks that arrived during a suspension; run by resume().
    std::map<CallId, SubmitAnswer> submitAnswers; ///< Answers to submissions by call.
    std::map<CallId, JobAnswer> jobAnswers; ///< Answers to questions by call.
};

/** Nodes and endpoints of one failure domain; the last node and the last endpoint may be in a second domain. */
class NodeWorld
{
public:
    /**
     * Start the nodes and run the world until 0.5 s after a node leads the cell, or for 5.5 s.
     * @param doEndpointsAnswer Whether the endpoints are up from the start.
     * @param areEvacuationsKnown Whether the nodes have read the operators' table, which is empty.
     */
    NodeWorld(std::size_t nodeCount, std::size_t endpointCount, bool hasOtherCell = false, bool hasOtherNode = false,
              double firstCoreShare = 0.25, bool areEvacuationsKnown = true, bool doEndpointsAnswer = true);

    CellWorld world; ///< Store, endpoints and clock.
    std::vector<WorldNode> nodes;
    const CellName cell{"cell"}; ///< Cell of the first domain.
    Duration storeDelay = std::chrono::milliseconds(5); ///< Time that a call to the store takes.

    /** @return Index of the first running node that leads a cell; nothing if none does. */
    std::optional<std::size_t> leader() const;

    /** @return Index of the first running node that leads no cell. @pre There is one. */
    std::size_t follower() const;

    /** Submit a job of `count` identical tasks to a node. @return The call. */
    CallId submit(std::size_t node, const JobId &id, std::uint32_t count, Duration patience = std::chrono::milliseconds(1500),
                  bool isBestEffort = true);

    /** Query the state of a job through a node. @return The call. */
    CallId submitQuestion(std::size_t node, const JobId &id);

    /** @return Fencing token in the lead row of a cell in the store. */
    FenceToken tokenOf(const CellName &name);

    /** Kill the process of a node and close its links. */
    void kill(std::size_t node);

    /** Suspend the process of a node. */
    void suspend(std::size_t node);

    /** Resume the process of a node and run the callbacks that arrived meanwhile. */
    void resume(std::size_t node);

private:
    NodePorts portsOf(std::size_t node);
    NodeLinks linksOf(std::size_t node);
    void deliver(std::size_t node, std::function<void()> handler);
    void setPeers(std::size_t node, std::span<const InstanceRecord> records);
    void tick();

    std::uint64_t lastCall = 0; ///< Last call id assigned.
};

} // namespace Tanagertally::Cells::Test
