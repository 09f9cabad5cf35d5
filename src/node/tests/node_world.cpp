#include "node/tests/node_world.h"

#include "cells/store_rows.h"

#include <algorithm>

namespace Tanagertally::Cells::Test {

namespace {

constexpr Duration LinkDelay = std::chrono::milliseconds(1);
constexpr Duration StopTimeout = std::chrono::milliseconds(400); // Of a stop that gets no answer.
constexpr Duration DeadLinkSilence = std::chrono::milliseconds(1200); // Four ping intervals of PeerBus.

/** @return Handle of the links that a node opened; never 0, which marks a local call in Node. */
LinkHandle handleOf(std::size_t node)
{
    return node + 1;
}

} // namespace

NodeWorld::NodeWorld(std::size_t nodeCount, std::size_t endpointCount, bool hasOtherCell, bool hasOtherNode, double firstCoreShare,
                     bool areEvacuationsKnown, bool doEndpointsAnswer)
    : world(endpointCount)
    , nodes(nodeCount)
{
    this->world.onTick = [this] { this->tick(); };
    for (EndpointModel &endpoint : this->world.endpoints) {
        endpoint.isUp = doEndpointsAnswer;
    }
    std::vector<FailureDomain> domains = {FailureDomain("cell")};
    if (hasOtherCell) {
        domains.emplace_back("other");
        this->world.endpoints.back().record.domain = FailureDomain("other");
    }
    for (std::size_t index = 0; index < nodeCount; ++index) {
        WorldNode &entry = this->nodes[index];
        entry.record = {InstanceName("i" + std::to_string(index)),
                        Incarnation(index + 1),
                        NetAddress("10.1.0." + std::to_string(index) + ":1"),
                        FailureDomain(hasOtherNode && index + 1 == nodeCount ? "other" : "cell"),
                        index == 0 ? firstCoreShare : 0.25,
                        false};
        entry.node = std::make_unique<Node>(
            NodeOptions{entry.record, domains, LeaseTerms(), std::chrono::milliseconds(100), std::chrono::seconds(5)},
            this->portsOf(index));
        entry.handlers = entry.node->linkHandlers();
        entry.node->connect(this->linksOf(index));
        if (areEvacuationsKnown) {
            entry.node->setEvacuations({});
        }
        std::vector<EndpointRecord> records;
        for (const EndpointModel &endpoint : this->world.endpoints) {
            records.push_back(endpoint.record);
        }
        entry.node->setEndpoints(records);
    }
    this->world.advanceUntil([this] { return this->leader().has_value(); }, std::chrono::seconds(5));
    this->world.advanceTime(std::chrono::milliseconds(500));
}

std::optional<std::size_t> NodeWorld::leader() const
{
    for (std::size_t index = 0; index < this->nodes.size(); ++index) {
        const WorldNode &entry = this->nodes[index];
        if (entry.isUp && !entry.isSuspended && entry.node->leadsCells()) {
            return index;
        }
    }
    return std::nullopt;
}

std::size_t NodeWorld::follower() const
{
    std::size_t index = 0;
    while (!this->nodes[index].isUp || this->nodes[index].isSuspended || this->nodes[index].node->leadsCells()) {
        ++index;
    }
    return index;
}

CallId NodeWorld::submit(std::size_t node, const JobId &id, std::uint32_t count, Duration patience, bool isBestEffort)
{
    StepSpec step;
    step.count = count;
    step.demand = {1000, 10, 0};
    step.estimate = this->world.workTime;
    JobSpec spec{std::make_shared<const std::string>("payload"), {step}, isBestEffort};
    JobTerms terms{QueueName("queue"), ServiceName("service"), 0, 2, 1.6, std::chrono::milliseconds(60)};
    const CallId call(++this->lastCall);
    this->nodes[node].node->submit(call, id, std::move(spec), std::move(terms), this->world.now + patience);
    return call;
}

CallId NodeWorld::submitQuestion(std::size_t node, const JobId &id)
{
    const CallId call(++this->lastCall);
    this->nodes[node].node->submitQuestion(call, id, JobQuestion::State, this->world.now + std::chrono::seconds(1));
    return call;
}

FenceToken NodeWorld::tokenOf(const CellName &name)
{
    const RowKey key = leadKey(name);
    return decodeLead(this->world.store.read({key.table, key.partition, key.key, 1}).rows.at(0).value).value().token;
}

void NodeWorld::kill(std::size_t node)
{
    this->nodes[node].isUp = false;
    this->nodes[node].silentSince = this->world.now;
    this->nodes[node].peers.clear();
    for (std::size_t other = 0; other < this->nodes.size(); ++other) {
        if (this->nodes[other].peers.erase(node) == 0) {
            continue;
        }
        this->world.schedule(this->world.now + LinkDelay, [this, other, node] {
            this->deliver(other, [this, other, node] {
                this->nodes[other].handlers.onLinkLost(this->nodes[node].record.name, true);
                this->nodes[other].handlers.onInboundLinkLost(handleOf(node));
            });
        });
    }
}

void NodeWorld::suspend(std::size_t node)
{
    this->nodes[node].isSuspended = true;
    this->nodes[node].silentSince = this->world.now;
}

void NodeWorld::resume(std::size_t node)
{
    this->nodes[node].isSuspended = false;
    for (const auto &handler : std::exchange(this->nodes[node].queuedEvents, {})) {
        handler();
    }
}

void NodeWorld::deliver(std::size_t node, std::function<void()> handler)
{
    WorldNode &entry = this->nodes[node];
    if (!entry.isUp) {
        return;
    }
    if (entry.isSuspended) {
        entry.queuedEvents.push_back(std::move(handler));
        return;
    }
    handler();
}

void NodeWorld::tick()
{
    for (std::size_t index = 0; index < this->nodes.size(); ++index) {
        WorldNode &entry = this->nodes[index];
        if (!entry.isUp || entry.isSuspended) {
            continue;
        }
        for (std::size_t other = 0; other < this->nodes.size(); ++other) {
            const WorldNode &peer = this->nodes[other];
            if (peer.isSuspended && this->world.now - peer.silentSince > DeadLinkSilence && entry.peers.erase(other) > 0) {
                entry.handlers.onLinkLost(peer.record.name, false);
                entry.handlers.onInboundLinkLost(handleOf(other));
                // The suspended node detects its closed connection when it resumes.
                this->nodes[other].queuedEvents.push_back([this, index, other] {
                    if (this->nodes[other].peers.erase(index) > 0) {
                        this->nodes[other].handlers.onLinkLost(this->nodes[index].record.name, false);
                    }
                });
            }
        }
        entry.node->tick();
    }
}

void NodeWorld::setPeers(std::size_t node, std::span<const InstanceRecord> records)
{
    for (const InstanceRecord &record : records) {
        const auto peer = std::ranges::find_if(this->nodes, [&record](const WorldNode &entry) { return entry.record.name == record.name; });
        const auto index = static_cast<std::size_t>(peer - this->nodes.begin());
        if (!peer->isUp || peer->isSuspended || !this->nodes[node].peers.insert(index).second) {
            continue;
        }
        const std::string hello = Node::encodeHello(this->nodes[node].record);
        this->world.schedule(this->world.now + LinkDelay, [this, node, index, hello] {
            this->deliver(index, [this, node, index, hello] { this->nodes[index].handlers.onRequest(handleOf(node), hello); });
            this->deliver(node, [this, node, index] { this->nodes[node].handlers.onLinkOpened(this->nodes[index].record.name); });
        });
    }
}

NodeLinks NodeWorld::linksOf(std::size_t node)
{
    const auto indexOf = [this](const InstanceName &name) {
        const auto peer = std::ranges::find_if(this->nodes, [&name](const WorldNode &entry) { return entry.record.name == name; });
        return static_cast<std::size_t>(peer - this->nodes.begin());
    };
    NodeLinks links;
    links.setPeers = [this, node](std::span<const InstanceRecord> records) { this->setPeers(node, records); };
    links.send = [this, node, indexOf](const InstanceName &name, const std::string &bytes) {
        const std::size_t peer = indexOf(name);
        if (!this->nodes[node].peers.contains(peer)) {
            return false;
        }
        ++this->nodes[node].sentMessages;
        this->world.schedule(this->world.now + LinkDelay, [this, node, peer, bytes] {
            if (!this->nodes[peer].isReceivingBlocked) {
                this->deliver(peer, [this, node, peer, bytes] { this->nodes[peer].handlers.onRequest(handleOf(node), bytes); });
            }
        });
        return true;
    };
    links.reply = [this, node](LinkHandle link, const std::string &bytes) {
        const std::size_t requester = link - 1;
        this->world.schedule(this->world.now + LinkDelay, [this, node, requester, bytes] {
            this->deliver(requester, [this, node, requester, bytes] {
                this->nodes[requester].handlers.onReply(this->nodes[node].record.name, bytes);
            });
        });
    };
    links.isLinked = [this, node, indexOf](const InstanceName &name) { return this->nodes[node].peers.contains(indexOf(name)); };
    links.silence = [this, indexOf](const InstanceName &name) {
        const WorldNode &peer = this->nodes[indexOf(name)];
        return peer.isSuspended || !peer.isUp ? this->world.now - peer.silentSince : Duration{};
    };
    links.inboundSilence = [this](LinkHandle link) {
        const WorldNode &peer = this->nodes[link - 1];
        return peer.isSuspended || !peer.isUp ? this->world.now - peer.silentSince : Duration{};
    };
    links.recordActivity = [](const InstanceName &) {};
    links.tick = [] {};
    return links;
}

NodePorts NodeWorld::portsOf(std::size_t node)
{
    const auto respondAfter = [this, node](Duration delay, auto operation, auto handler) {
        this->world.schedule(this->world.now + delay / 2, [this, node, delay, operation, handler] {
            auto result = operation();
            this->world.schedule(this->world.now + delay / 2,
                                 [this, node, result, handler] { this->deliver(node, [result, handler] { handler(result); }); });
        });
    };
    NodePorts ports;
    ports.now = [this] { return this->world.now; };
    ports.commit = [this, respondAfter](const StoreTransaction &transaction, auto handler) {
        respondAfter(
            this->storeDelay, [this, transaction] { return this->world.store.apply(transaction); }, handler);
    };
    ports.read = [this, respondAfter](const RangeRead &range, auto handler) {
        respondAfter(
            this->storeDelay, [this, range] { return this->world.store.read(range); }, handler);
    };
    ports.startRun = [this, respondAfter](const StartRun &order, auto handler) {
        respondAfter(
            LinkDelay, [this, order] { return this->world.start(order); }, handler);
    };
    ports.stopRun = [this, respondAfter](const StopRun &order, auto handler) {
        if (this->world.stopOutcome() != CallOutcome::Answered) {
            respondAfter(
                StopTimeout, [] { return StopResult::Unknown; }, handler);
            return;
        }
        respondAfter(
            LinkDelay, [this, order] { return this->world.stop(order); }, handler);
    };
    ports.holdEndpoint = [this, respondAfter](const HoldEndpoint &order, auto handler) {
        respondAfter(
            LinkDelay + order.maxDelay / 20, [this, order] { return this->world.hold(order); }, handler);
    };
    ports.answerSubmission = [this, node](CallId call, const SubmitAnswer &answer) { this->nodes[node].submitAnswers[call] = answer; };
    ports.answerJob = [this, node](CallId call, const JobAnswer &answer) { this->nodes[node].jobAnswers[call] = answer; };
    ports.reportNewerConfig = [] {};
    ports.reportOperatorTable = [this, node](RowVersion version) {
        RowVersion &newest = this->nodes[node].reportedTable;
        newest = std::max(newest, version);
    };
    ports.log = [](const WriteLogLine &) {};
    return ports;
}

} // namespace Tanagertally::Cells::Test
