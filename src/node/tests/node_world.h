/** Several nodes with links between them, on the store and the endpoints of a CellWorld, for tests. */
#pragma once

#include "cells/tests/cell_world.h"
#include "node/node.h"

#include <set>

namespace Tanagertally::Cells::Test {

/** A node with what the world knows of it. */
struct WorldNode {
    std::unique_ptr<Node> node; ///< The node.
    NodeLinkHandlers handlers; ///< What it hears of its links.
    InstanceRecord record; ///< Itself.
    bool isUp = true; ///< Whether its process lives.
    bool isFrozen = false; ///< Whether its process stands still.
    bool isDeaf = false; ///< Whether what others send it is lost, though its connections stay open.
    TimePoint silentSince; ///< Since when nobody has heard it; only if frozen or killed.
    std::size_t sentMessages = 0; ///< Messages on links that it opened.
    std::set<std::size_t> peers; ///< Nodes that it has a link to.
    std::vector<std::function<void()>> held; ///< What came while it was frozen.
    std::map<CallId, SubmitAnswer> submitAnswers; ///< By call.
    std::map<CallId, JobAnswer> jobAnswers; ///< By call.
};

/** Nodes of one failure domain, whose cell has the endpoints of the CellWorld; the last one of each may be in another domain. */
class NodeWorld
{
public:
    /** Make a world and let the nodes start and find a leader. */
    NodeWorld(std::size_t nodeCount, std::size_t endpointCount, bool hasOtherCell = false, bool hasOtherNode = false,
              double firstCoreShare = 0.25);

    CellWorld world; ///< Store, endpoints and the clock.
    std::vector<WorldNode> nodes; ///< The nodes.
    const CellName cell{"cell"}; ///< The only cell.

    /** @return Index of the node that leads, or of none. */
    std::optional<std::size_t> leader() const;

    /** @return Index of a node that is up and doesn't lead. */
    std::size_t follower() const;

    /** Hand in a job of like tasks. @return The call. */
    CallId submit(std::size_t node, const JobId &id, std::uint32_t count, Duration patience = std::chrono::milliseconds(1500),
                  bool isBestEffort = true);

    /** Ask how a job stands. @return The call. */
    CallId ask(std::size_t node, const JobId &id);

    /** @return Fencing token of the leader of a cell, as the store tells. */
    FenceToken tokenOf(const CellName &name);

    /** Kill a process. */
    void kill(std::size_t node);

    /** Let a process stand still. */
    void freeze(std::size_t node);

    /** Let a process go on. */
    void thaw(std::size_t node);

private:
    NodePorts portsOf(std::size_t node);
    NodeLinks linksOf(std::size_t node);
    void deliver(std::size_t node, std::function<void()> handler);
    void setPeers(std::size_t node, std::span<const InstanceRecord> records);
    void tick();

    std::uint64_t lastCall = 0; ///< Last number given to a call.
};

} // namespace Tanagertally::Cells::Test
