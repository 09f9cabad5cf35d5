/** Simulation of several linked nodes on the store and the endpoints of a CellWorld. */
#pragma once

#include "cells/tests/cell_world.h"
#include "node/node.h"

#include <deque>
#include <set>

namespace Tanagertally::Cells::Test {

/** The connection that one node has opened, or tries to open, to another. */
struct WorldLink {
    LinkHandle handle = 0; ///< Handle at the other node; differs from connection to connection.
    bool isOpen = false; ///< Whether the node that opened it takes it for open.
    bool isOpenAtPeer = false; ///< Whether the other node takes it for open.
    TimePoint dialedAt; ///< Time of the last attempt to open it.
    TimePoint repliedAt; ///< When the node that opened it last received something on it.
    TimePoint inboundAt; ///< When that node last received something on the other node's own link.
    TimePoint requestedAt; ///< When the other node last received something.
    std::deque<std::function<void()>> heldRequests; ///< Deliveries to the other node that a cut holds up.
    std::deque<std::function<void()>> heldReplies; ///< Deliveries to the node that opened it that a cut holds up.
};

/** A simulated node and its process state. */
struct WorldNode {
    std::unique_ptr<Node> node;
    NodeLinkHandlers handlers; ///< Callbacks from the simulated links to the node.
    InstanceRecord record; ///< Record of the node's instance.
    bool isUp = true; ///< Whether the process runs; false after kill().
    bool isSilent = false; ///< Whether its machine has no power, so that it doesn't refuse connections either.
    bool isSuspended = false; ///< Whether the process is suspended.
    bool isReceivingBlocked = false; ///< Whether requests from other nodes are dropped while the links stay open.
    bool isCutFromStore = false; ///< Whether its calls to the store are lost.
    std::size_t sentMessages = 0; ///< Number of messages sent on outbound links.
    std::uint64_t life = 0; ///< Number of restarts of the process; callbacks to a former process are dropped.
    RowVersion reportedTable; ///< Newest version that was passed to NodePorts::reportOperatorTable.
    std::set<std::size_t> peers; ///< Indices of the nodes to which an outbound link is open.
    std::set<std::size_t> wantedPeers; ///< Indices of the nodes to which the node wants a link.
    std::map<std::size_t, WorldLink> links; ///< Outbound links by the index of the other node.
    std::vector<std::function<void()>> queuedEvents; ///< Callbacks that arrived during a suspension; run by resume().
    std::map<CallId, SubmitAnswer> submitAnswers; ///< Answers to submissions by call.
    std::map<CallId, JobAnswer> jobAnswers; ///< Answers to questions by call.
};

/** Failure domains of the nodes and endpoints of a world, by index. */
struct WorldLayout {
    std::vector<FailureDomain> nodes;
    std::vector<FailureDomain> endpoints;
};

/** Something that a node does, at which a test may bring about a fault. */
enum class WorldEvent : std::uint8_t {
    LeadCommit, ///< It sends a transaction to the store.
    Start, ///< It orders a start.
    Hold, ///< It sends a hold.
    Stop, ///< It orders a stop.
    Send, ///< It sends a message to another node.
    Answer, ///< It answers a caller.
};

/** Nodes and endpoints of one or several failure domains. */
class NodeWorld
{
public:
    /**
     * Start the nodes of one failure domain and run the world until 0.5 s after a node leads the cell, or for 5.5 s.
     * @param hasOtherCell Whether the last endpoint is in a second domain.
     * @param hasOtherNode Whether the last node is in a second domain.
     * @param doEndpointsAnswer Whether the endpoints are up from the start.
     * @param areEvacuationsKnown Whether the nodes have read the operators' table, which is empty.
     */
    NodeWorld(std::size_t nodeCount, std::size_t endpointCount, bool hasOtherCell = false, bool hasOtherNode = false,
              double firstCoreShare = 0.25, bool areEvacuationsKnown = true, bool doEndpointsAnswer = true);

    /** Start the nodes, of which none leads yet. @param seed Seed of random outcomes. */
    NodeWorld(const WorldLayout &layout, std::uint64_t seed);

    CellWorld world; ///< Store, endpoints and clock.
    std::vector<WorldNode> nodes;
    const CellName cell{"cell"}; ///< Cell of the first domain.
    Duration deadLinkSilence = std::chrono::milliseconds(1200); ///< After which a link counts as lost; four ping intervals of PeerBus.
    Duration storeDelay = std::chrono::milliseconds(5); ///< Time that a call to the store takes.
    std::set<std::pair<std::size_t, std::size_t>>
        cutPaths; ///< Pairs of nodes of which the first one's messages don't reach the second one.
    std::set<std::pair<std::size_t, std::size_t>> cutEndpoints; ///< Pairs of a node and an endpoint that don't reach each other.
    std::function<CallOutcome(std::size_t node)> storeOutcome
        = [](std::size_t) { return CallOutcome::Answered; }; ///< Of a call to the store.
    std::function<CallOutcome(std::size_t node, std::size_t endpoint)> orderOutcome = [](std::size_t, std::size_t) {
        return CallOutcome::Answered;
    }; ///< Of a call to an endpoint; stops follow CellWorld::stopOutcome too.
    std::function<void(std::size_t node, WorldEvent event)> onEvent
        = [](std::size_t, WorldEvent) {}; ///< Called before the event takes effect.
    std::function<void(std::size_t node, const WriteLogLine &line)> onLog = [](std::size_t, const WriteLogLine &) {}; ///< Log of the nodes.

    /** @return Index of the first running node that leads a cell; nothing if none does. */
    std::optional<std::size_t> leader() const;

    /** @return Index of the first running node that leads no cell. @pre There is one. */
    std::size_t follower() const;

    /** Submit a job of `count` identical tasks to a node. @return The call. */
    CallId submit(std::size_t node, const JobId &id, std::uint32_t count, Duration patience = std::chrono::milliseconds(1500),
                  bool isBestEffort = true);

    /** Submit a stored job of one step to a node. @return The call. */
    CallId submitStored(std::size_t node, const JobId &id, StepSpec step);

    /** Query the state of a job through a node. @return The call. */
    CallId submitQuestion(std::size_t node, const JobId &id);

    /** @return Fencing token in the lead row of a cell in the store. */
    FenceToken tokenOf(const CellName &name);

    /** Kill the process of a node and close its links. */
    void kill(std::size_t node);

    /** Cut the power of a node's machine, so that its links fall silent and it refuses no connection. */
    void cutPower(std::size_t node);

    /** Start the process of a node that was killed or lost its power. */
    void restart(std::size_t node);

    /** Reset all links of a node. */
    void resetLinks(std::size_t node);

    /** Restart an endpoint under a new name, and report all endpoints to all nodes. */
    void replaceEndpoint(std::size_t endpoint, const EndpointName &name);

    /** Report the endpoints that run to all nodes. */
    void reportEndpoints();

    /** Run a callback on a node: at once, after its suspension, or not at all if its process doesn't run. */
    void deliver(std::size_t node, std::function<void()> handler);

    /** Suspend the process of a node. */
    void suspend(std::size_t node);

    /** Resume the process of a node and run the callbacks that arrived meanwhile. */
    void resume(std::size_t node);

private:
    void addNode(const FailureDomain &domain, double coreShare, bool areEvacuationsKnown);
    void startProcess(std::size_t node, bool areEvacuationsKnown);
    NodePorts portsOf(std::size_t node);
    NodeLinks linksOf(std::size_t node);
    std::size_t indexOf(const InstanceName &name) const;
    void setPeers(std::size_t node, std::span<const InstanceRecord> records);
    bool canReach(std::size_t from, std::size_t to) const;
    void dial(std::size_t node, std::size_t peer);
    void closeLink(std::size_t node, std::size_t peer);
    void loseAtOpener(std::size_t node, std::size_t peer, bool wasRefused);
    void loseAtPeer(std::size_t node, std::size_t peer);
    void transmit(std::size_t node, std::size_t peer, bool isRequest, std::function<void()> handler);
    void advanceLinks();
    void advanceLink(std::size_t node, std::size_t peer);
    void tick();
    template<typename Result, typename Do, typename Handler>
    void call(std::size_t node, CallOutcome outcome, Duration delay, Duration timeout, Do operation, Result refused, Handler handler);

    std::vector<FailureDomain> domains; ///< All failure domains.
    std::uint64_t lastCall = 0; ///< Last call id assigned.
    std::uint64_t lastConnection = 0; ///< Last number of a connection assigned.
    std::uint64_t lastIncarnation = 0; ///< Last incarnation assigned.
};

} // namespace Tanagertally::Cells::Test
