#include "node/tests/node_world.h"

#include "cells/store_rows.h"

#include <algorithm>

namespace Tanagertally::Cells::Test {

namespace {

constexpr Duration LinkDelay = std::chrono::milliseconds(1);
constexpr Duration RedialInterval = std::chrono::milliseconds(250); // As in PeerBus.
constexpr Duration StoreTimeout = std::chrono::milliseconds(400); // Of a call to the store that gets no answer.
constexpr Duration OrderTimeout = std::chrono::milliseconds(150); // Of a start or stop that gets no answer.
constexpr Duration LostStopTimeout = std::chrono::milliseconds(400); // Of a stop that CellWorld::stopOutcome loses.
constexpr Duration HoldMargin = std::chrono::milliseconds(250); // Added to the time for which a hold may wait.
constexpr unsigned IndexBits = 8; // Of a link's handle, for the index of the node that opened it.

/** Result of a stop order; unknown by default. */
struct StopAnswer {
    StopResult result = StopResult::Unknown;
};

HoldResult holdRefusedAs(HoldResult::Kind kind)
{
    HoldResult result;
    result.kind = kind;
    return result;
}

/** @return Index of the node that opened a link. */
std::size_t openerOf(LinkHandle handle)
{
    return handle & ((1U << IndexBits) - 1);
}

} // namespace

NodeWorld::NodeWorld(std::size_t nodeCount, std::size_t endpointCount, bool hasOtherCell, bool hasOtherNode, double firstCoreShare,
                     bool areEvacuationsKnown, bool doEndpointsAnswer)
    : world(endpointCount)
    , domains{FailureDomain("cell")}
{
    this->world.onTick = [this] { this->tick(); };
    for (EndpointModel &endpoint : this->world.endpoints) {
        endpoint.isUp = doEndpointsAnswer;
    }
    if (hasOtherCell) {
        this->domains.emplace_back("other");
        this->world.endpoints.back().record.domain = FailureDomain("other");
    }
    this->nodes.reserve(nodeCount);
    for (std::size_t index = 0; index < nodeCount; ++index) {
        const bool isOther = hasOtherNode && index + 1 == nodeCount;
        this->addNode(FailureDomain(isOther ? "other" : "cell"), index == 0 ? firstCoreShare : 0.25, areEvacuationsKnown);
    }
    this->world.advanceUntil([this] { return this->leader().has_value(); }, std::chrono::seconds(5));
    this->world.advanceTime(std::chrono::milliseconds(500));
}

NodeWorld::NodeWorld(const WorldLayout &layout, std::uint64_t seed)
    : world(layout.endpoints.size(), seed)
{
    this->world.onTick = [this] { this->tick(); };
    for (std::size_t index = 0; index < layout.endpoints.size(); ++index) {
        const FailureDomain &domain = layout.endpoints[index];
        this->world.endpoints[index].record.domain = domain;
        if (std::ranges::find(this->domains, domain) == this->domains.end()) {
            this->domains.push_back(domain);
        }
    }
    this->nodes.reserve(layout.nodes.size());
    for (const FailureDomain &domain : layout.nodes) {
        this->addNode(domain, 0.25, true);
    }
}

void NodeWorld::addNode(const FailureDomain &domain, double coreShare, bool areEvacuationsKnown)
{
    const std::size_t index = this->nodes.size();
    WorldNode &entry = this->nodes.emplace_back();
    const std::string number = std::to_string(index);
    entry.record = {InstanceName("i" + number), Incarnation(0), NetAddress("10.1.0." + number + ":1"), domain, coreShare, false};
    this->startProcess(index, areEvacuationsKnown);
}

void NodeWorld::startProcess(std::size_t node, bool areEvacuationsKnown)
{
    WorldNode &entry = this->nodes[node];
    entry.record.incarnation = Incarnation(++this->lastIncarnation);
    entry.node = std::make_unique<Node>(
        NodeOptions{entry.record, this->domains, LeaseTerms(), std::chrono::milliseconds(100), std::chrono::seconds(5)},
        this->portsOf(node));
    entry.handlers = entry.node->linkHandlers();
    entry.node->connect(this->linksOf(node));
    if (areEvacuationsKnown) {
        entry.node->setEvacuations({});
    }
    std::vector<EndpointRecord> records;
    for (const EndpointModel &endpoint : this->world.endpoints) {
        records.push_back(endpoint.record);
    }
    entry.node->setEndpoints(records);
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
    if (isBestEffort) {
        this->world.allowReruns(id);
    }
    const CallId call(++this->lastCall);
    this->nodes[node].node->submit(call, id, std::move(spec), std::move(terms), this->world.now + patience);
    return call;
}

CallId NodeWorld::submitStored(std::size_t node, const JobId &id, StepSpec step)
{
    JobSpec spec{std::make_shared<const std::string>("payload"), {std::move(step)}, false};
    JobTerms terms{QueueName("queue"), ServiceName("service"), 0, 2, 1.6, std::chrono::milliseconds(60)};
    const CallId call(++this->lastCall);
    this->nodes[node].node->submit(call, id, std::move(spec), std::move(terms), this->world.now + std::chrono::milliseconds(1500));
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
    WorldNode &killed = this->nodes[node];
    killed.isUp = false;
    killed.isSuspended = false;
    ++killed.life;
    killed.queuedEvents.clear();
    killed.wantedPeers.clear();
    for (std::size_t other = 0; other < this->nodes.size(); ++other) {
        if (killed.links.contains(other)) {
            this->closeLink(node, other);
        }
        if (this->nodes[other].links.contains(node) && this->canReach(node, other)) {
            this->world.schedule(this->world.now + LinkDelay, [this, other, node] { this->loseAtOpener(other, node, true); });
        }
    }
}

void NodeWorld::cutPower(std::size_t node)
{
    WorldNode &silent = this->nodes[node];
    silent.isUp = false;
    silent.isSilent = true;
    silent.isSuspended = false;
    ++silent.life;
    silent.queuedEvents.clear();
    silent.wantedPeers.clear();
    silent.peers.clear();
    for (auto &[peer, link] : silent.links) {
        link.isOpen = false;
        link.heldRequests.clear();
    }
}

void NodeWorld::restart(std::size_t node)
{
    WorldNode &entry = this->nodes[node];
    for (auto &[peer, link] : entry.links) {
        this->loseAtPeer(node, peer);
    }
    entry.links.clear();
    entry.isUp = true;
    entry.isSilent = false;
    for (std::size_t other = 0; other < this->nodes.size(); ++other) {
        if (other != node) {
            this->loseAtOpener(other, node, false);
        }
    }
    this->startProcess(node, true);
}

void NodeWorld::resetLinks(std::size_t node)
{
    for (std::size_t other = 0; other < this->nodes.size(); ++other) {
        if (other == node) {
            continue;
        }
        for (const auto &[opener, peer] : {std::pair(node, other), std::pair(other, node)}) {
            if (this->nodes[opener].links.contains(peer) && this->nodes[opener].links.at(peer).isOpen) {
                this->closeLink(opener, peer);
                this->deliver(opener,
                              [this, opener, peer] { this->nodes[opener].handlers.onLinkLost(this->nodes[peer].record.name, false); });
            }
        }
    }
}

void NodeWorld::replaceEndpoint(std::size_t endpoint, const EndpointName &name)
{
    this->world.endpoints[endpoint].beginIncarnation(name);
    this->world.endpoints[endpoint].isUp = true;
    this->reportEndpoints();
}

void NodeWorld::reportEndpoints()
{
    std::vector<EndpointRecord> records;
    for (const EndpointModel &endpoint : this->world.endpoints) {
        if (endpoint.isUp) {
            records.push_back(endpoint.record);
        }
    }
    for (std::size_t node = 0; node < this->nodes.size(); ++node) {
        this->deliver(node, [this, node, records] { this->nodes[node].node->setEndpoints(records); });
    }
}

void NodeWorld::suspend(std::size_t node)
{
    this->nodes[node].isSuspended = true;
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

bool NodeWorld::canReach(std::size_t from, std::size_t to) const
{
    return !this->cutPaths.contains({from, to});
}

void NodeWorld::dial(std::size_t node, std::size_t peer)
{
    WorldLink &link = this->nodes[node].links[peer];
    link.dialedAt = this->world.now;
    const WorldNode &other = this->nodes[peer];
    if (!this->canReach(node, peer) || !this->canReach(peer, node) || other.isSilent || other.isSuspended) {
        return;
    }
    if (!other.isUp) {
        this->world.schedule(this->world.now + 2 * LinkDelay, [this, node, peer, life = this->nodes[node].life] {
            if (this->nodes[node].life == life) {
                this->deliver(node, [this, node, peer] { this->nodes[node].handlers.onLinkLost(this->nodes[peer].record.name, true); });
            }
        });
        return;
    }
    this->loseAtPeer(node, peer);
    link.handle = (++this->lastConnection << IndexBits) | node;
    link.isOpen = true;
    link.isOpenAtPeer = true;
    link.repliedAt = this->world.now;
    link.requestedAt = this->world.now;
    this->nodes[node].peers.insert(peer);
    const std::string hello = Node::encodeHello(this->nodes[node].record);
    this->transmit(node, peer, true, [this, peer, handle = link.handle, hello] { this->nodes[peer].handlers.onRequest(handle, hello); });
    this->transmit(node, peer, false, [this, node, peer] { this->nodes[node].handlers.onLinkOpened(this->nodes[peer].record.name); });
}

void NodeWorld::closeLink(std::size_t node, std::size_t peer)
{
    WorldLink &link = this->nodes[node].links.at(peer);
    link.isOpen = false;
    link.heldRequests.clear();
    link.heldReplies.clear();
    this->nodes[node].peers.erase(peer);
    if (link.isOpenAtPeer && this->canReach(node, peer)) {
        this->world.schedule(this->world.now + LinkDelay, [this, node, peer, handle = link.handle] {
            if (this->nodes[node].links.contains(peer) && this->nodes[node].links.at(peer).handle == handle) {
                this->loseAtPeer(node, peer);
            }
        });
    }
}

void NodeWorld::loseAtOpener(std::size_t node, std::size_t peer, bool wasRefused)
{
    const auto link = this->nodes[node].links.find(peer);
    if (link == this->nodes[node].links.end() || !link->second.isOpen) {
        return;
    }
    link->second.isOpen = false;
    link->second.isOpenAtPeer = false;
    link->second.heldRequests.clear();
    link->second.heldReplies.clear();
    this->nodes[node].peers.erase(peer);
    this->deliver(node,
                  [this, node, peer, wasRefused] { this->nodes[node].handlers.onLinkLost(this->nodes[peer].record.name, wasRefused); });
}

void NodeWorld::loseAtPeer(std::size_t node, std::size_t peer)
{
    const auto link = this->nodes[node].links.find(peer);
    if (link == this->nodes[node].links.end() || !std::exchange(link->second.isOpenAtPeer, false)) {
        return;
    }
    this->deliver(peer, [this, peer, handle = link->second.handle] { this->nodes[peer].handlers.onInboundLinkLost(handle); });
}

void NodeWorld::transmit(std::size_t node, std::size_t peer, bool isRequest, std::function<void()> handler)
{
    WorldLink &link = this->nodes[node].links.at(peer);
    const std::size_t receiver = isRequest ? peer : node;
    auto delivery = [this, node, peer, receiver, isRequest, handle = link.handle, handler = std::move(handler)] {
        const auto found = this->nodes[node].links.find(peer);
        const bool isSame = found != this->nodes[node].links.end() && found->second.handle == handle;
        if (isSame && (isRequest ? found->second.isOpenAtPeer : found->second.isOpen)) {
            (isRequest ? found->second.requestedAt : found->second.repliedAt) = this->world.now;
            this->deliver(receiver, handler);
        }
    };
    auto &held = isRequest ? link.heldRequests : link.heldReplies;
    const bool isCut = isRequest ? !this->canReach(node, peer) : !this->canReach(peer, node);
    if (isCut || !held.empty()) {
        held.push_back(std::move(delivery));
        return;
    }
    this->world.schedule(this->world.now + LinkDelay, std::move(delivery));
}

void NodeWorld::advanceLinks()
{
    for (std::size_t node = 0; node < this->nodes.size(); ++node) {
        std::vector<std::size_t> others;
        for (const auto &[peer, link] : this->nodes[node].links) {
            others.push_back(peer);
        }
        for (const std::size_t peer : others) {
            this->advanceLink(node, peer);
        }
    }
}

void NodeWorld::advanceLink(std::size_t node, std::size_t peer)
{
    const TimePoint now = this->world.now;
    WorldNode &opener = this->nodes[node];
    WorldNode &other = this->nodes[peer];
    WorldLink &link = opener.links.at(peer);
    const bool isOpenerRunning = opener.isUp && !opener.isSuspended;
    const bool isPeerRunning = other.isUp && !other.isSuspended;
    if (this->canReach(node, peer)) {
        for (auto &delivery : std::exchange(link.heldRequests, {})) {
            this->world.schedule(now + LinkDelay, std::move(delivery));
        }
    }
    if (this->canReach(peer, node)) {
        for (auto &delivery : std::exchange(link.heldReplies, {})) {
            this->world.schedule(now + LinkDelay, std::move(delivery));
        }
    }
    // Pings and their answers are taken to go all the time.
    if (link.isOpen && link.isOpenAtPeer && isOpenerRunning && isPeerRunning && this->canReach(node, peer)) {
        link.requestedAt = now;
        link.repliedAt = this->canReach(peer, node) ? now : link.repliedAt;
    }
    if (link.isOpen && isOpenerRunning && now - link.repliedAt > this->deadLinkSilence) {
        this->closeLink(node, peer);
        opener.handlers.onLinkLost(other.record.name, false);
    }
    if (link.isOpenAtPeer && isPeerRunning && now - link.requestedAt > this->deadLinkSilence) {
        this->loseAtPeer(node, peer);
        if (this->canReach(peer, node)) {
            this->loseAtOpener(node, peer, false);
        }
    }
    if (!link.isOpen && isOpenerRunning && opener.wantedPeers.contains(peer) && now - link.dialedAt >= RedialInterval) {
        this->dial(node, peer);
    }
}

void NodeWorld::tick()
{
    this->advanceLinks();
    for (WorldNode &entry : this->nodes) {
        if (entry.isUp && !entry.isSuspended) {
            entry.node->tick();
        }
    }
}

void NodeWorld::setPeers(std::size_t node, std::span<const InstanceRecord> records)
{
    std::set<std::size_t> &wanted = this->nodes[node].wantedPeers;
    wanted.clear();
    for (const InstanceRecord &record : records) {
        wanted.insert(this->indexOf(record.name));
    }
    for (auto &[peer, link] : this->nodes[node].links) {
        if (link.isOpen && !wanted.contains(peer)) {
            this->closeLink(node, peer);
        }
    }
    for (const std::size_t peer : wanted) {
        if (!this->nodes[node].links.contains(peer)) {
            this->dial(node, peer);
        }
    }
}

std::size_t NodeWorld::indexOf(const InstanceName &name) const
{
    const auto found = std::ranges::find_if(this->nodes, [&name](const WorldNode &entry) { return entry.record.name == name; });
    return static_cast<std::size_t>(found - this->nodes.begin());
}

NodeLinks NodeWorld::linksOf(std::size_t node)
{
    NodeLinks links;
    links.setPeers = [this, node](std::span<const InstanceRecord> records) { this->setPeers(node, records); };
    links.send = [this, node](const InstanceName &name, const std::string &bytes) {
        const std::size_t peer = this->indexOf(name);
        if (!this->nodes[node].peers.contains(peer)) {
            return false;
        }
        this->onEvent(node, WorldEvent::Send);
        ++this->nodes[node].sentMessages;
        if (!this->nodes[node].peers.contains(peer)) {
            return true;
        }
        this->transmit(node, peer, true, [this, peer, handle = this->nodes[node].links.at(peer).handle, bytes] {
            if (!this->nodes[peer].isReceivingBlocked) {
                this->nodes[peer].handlers.onRequest(handle, bytes);
            }
        });
        return true;
    };
    links.reply = [this, node](LinkHandle handle, const std::string &bytes) {
        const std::size_t requester = openerOf(handle);
        const auto link = this->nodes[requester].links.find(node);
        if (link == this->nodes[requester].links.end() || link->second.handle != handle || !link->second.isOpenAtPeer) {
            return;
        }
        this->transmit(requester, node, false,
                       [this, node, requester, bytes] { this->nodes[requester].handlers.onReply(this->nodes[node].record.name, bytes); });
    };
    links.isLinked = [this, node](const InstanceName &name) { return this->nodes[node].peers.contains(this->indexOf(name)); };
    links.silence = [this, node](const InstanceName &name) {
        const auto link = this->nodes[node].links.find(this->indexOf(name));
        const bool isKnown = link != this->nodes[node].links.end() && link->second.repliedAt != TimePoint();
        return isKnown ? this->world.now - std::max(link->second.repliedAt, link->second.inboundAt) : Duration::max();
    };
    links.inboundSilence = [this, node](LinkHandle handle) {
        const auto link = this->nodes[openerOf(handle)].links.find(node);
        const bool isKnown = link != this->nodes[openerOf(handle)].links.end() && link->second.handle == handle;
        return isKnown ? this->world.now - link->second.requestedAt : Duration::max();
    };
    links.recordActivity = [this, node](const InstanceName &name) {
        const auto link = this->nodes[node].links.find(this->indexOf(name));
        if (link != this->nodes[node].links.end() && link->second.isOpen) {
            link->second.inboundAt = this->world.now;
        }
    };
    links.tick = [] {};
    return links;
}

template<typename Result, typename Do, typename Handler>
void NodeWorld::call(std::size_t node, CallOutcome outcome, Duration delay, Duration timeout, Do operation, Result refused, Handler handler)
{
    const auto answer = [this, node, life = this->nodes[node].life, handler](Result result) {
        if (this->nodes[node].life == life) {
            this->deliver(node, [handler, result] { handler(result); });
        }
    };
    const TimePoint sentAt = this->world.now;
    const Result unanswered{};
    switch (outcome) {
    case CallOutcome::Answered:
        this->world.schedule(sentAt + delay / 2, [this, delay, operation, answer] {
            const Result result = operation();
            this->world.schedule(this->world.now + delay / 2, [answer, result] { answer(result); });
        });
        return;
    case CallOutcome::Refused:
        this->world.schedule(sentAt + delay, [answer, refused] { answer(refused); });
        return;
    case CallOutcome::AnswerLost:
        this->world.schedule(sentAt + delay / 2, [operation] { operation(); });
        break;
    case CallOutcome::Reset:
        this->world.schedule(sentAt + delay / 2, [operation] { operation(); });
        this->world.schedule(sentAt + delay, [answer, unanswered] { answer(unanswered); });
        return;
    case CallOutcome::ExecutedLate:
        this->world.schedule(sentAt + std::chrono::milliseconds(2000 + drawBelow(this->world.random, 10000)), [operation] { operation(); });
        break;
    case CallOutcome::Lost:
        break;
    }
    this->world.schedule(sentAt + timeout, [answer, unanswered] { answer(unanswered); });
}

NodePorts NodeWorld::portsOf(std::size_t node)
{
    const auto storeOutcomeOf = [this, node] { return this->nodes[node].isCutFromStore ? CallOutcome::Lost : this->storeOutcome(node); };
    // An order reaches the endpoint that uses its address now; another incarnation says so.
    const auto callEndpoint = [this, node](const auto &order, Duration delay, Duration timeout, CallOutcome outcome, auto operation,
                                           auto otherIncarnation, auto refused, auto handler) {
        const auto found = std::ranges::find(this->world.endpoints, order.address,
                                             [](const EndpointModel &endpoint) { return endpoint.record.address; });
        const auto index = static_cast<std::size_t>(found - this->world.endpoints.begin());
        const auto reach = [this, node, index] { return this->world.endpoints[index].isUp && !this->cutEndpoints.contains({node, index}); };
        CallOutcome result = outcome == CallOutcome::Answered ? this->orderOutcome(node, index) : outcome;
        result = reach() ? result : CallOutcome::Lost;
        this->call(
            node, result, delay, timeout,
            [this, order, index, operation, otherIncarnation] {
                const bool isPresent = this->world.endpoints[index].record.name == order.endpoint;
                return isPresent ? operation(order) : otherIncarnation;
            },
            refused, handler);
    };
    NodePorts ports;
    ports.now = [this] { return this->world.now; };
    ports.commit = [this, node, storeOutcomeOf](const StoreTransaction &transaction, auto handler) {
        this->onEvent(node, WorldEvent::LeadCommit);
        TransactionResult refused;
        refused.outcome = TransactionOutcome::NotApplied;
        this->call(
            node, storeOutcomeOf(), this->storeDelay, StoreTimeout, [this, transaction] { return this->world.store.apply(transaction); },
            refused, handler);
    };
    ports.read = [this, node, storeOutcomeOf](const RangeRead &range, auto handler) {
        this->call(
            node, storeOutcomeOf(), this->storeDelay, StoreTimeout, [this, range] { return this->world.store.read(range); }, ReadResult(),
            handler);
    };
    ports.startRun = [this, node, callEndpoint](const StartRun &order, auto handler) {
        this->onEvent(node, WorldEvent::Start);
        callEndpoint(
            order, LinkDelay, OrderTimeout, CallOutcome::Answered, [this](const StartRun &start) { return this->world.start(start); },
            StartResult{StartResult::Kind::OtherIncarnation, ""}, StartResult{StartResult::Kind::Unhealthy, ""}, handler);
    };
    ports.stopRun = [this, node, callEndpoint](const StopRun &order, auto handler) {
        this->onEvent(node, WorldEvent::Stop);
        const CallOutcome outcome = this->world.stopOutcome() == CallOutcome::Answered ? CallOutcome::Answered : CallOutcome::Lost;
        callEndpoint(
            order, LinkDelay, outcome == CallOutcome::Answered ? OrderTimeout : LostStopTimeout, outcome,
            [this](const StopRun &stop) { return StopAnswer{this->world.stop(stop)}; }, StopAnswer{StopResult::OtherIncarnation},
            StopAnswer{}, [handler](const StopAnswer &answer) { handler(answer.result); });
    };
    ports.holdEndpoint = [this, node, callEndpoint](const HoldEndpoint &order, auto handler) {
        this->onEvent(node, WorldEvent::Hold);
        callEndpoint(
            order, LinkDelay + order.maxDelay / 20, order.maxDelay + HoldMargin, CallOutcome::Answered,
            [this](const HoldEndpoint &hold) { return this->world.hold(hold); }, holdRefusedAs(HoldResult::Kind::OtherIncarnation),
            holdRefusedAs(HoldResult::Kind::Unhealthy), handler);
    };
    ports.answerSubmission = [this, node](CallId call, const SubmitAnswer &answer) {
        this->onEvent(node, WorldEvent::Answer);
        this->nodes[node].submitAnswers[call] = answer;
    };
    ports.answerJob = [this, node](CallId call, const JobAnswer &answer) { this->nodes[node].jobAnswers[call] = answer; };
    ports.reportNewerConfig = [] {};
    ports.reportOperatorTable = [this, node](RowVersion version) {
        RowVersion &newest = this->nodes[node].reportedTable;
        newest = std::max(newest, version);
    };
    ports.log = [this, node](const WriteLogLine &line) { this->onLog(node, line); };
    return ports;
}

} // namespace Tanagertally::Cells::Test
