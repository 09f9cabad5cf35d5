#include "peer/link_table.h"

#include "peer/peer_close_code.h"
#include "peer/peer_codec.h"

#include <algorithm>
#include <random>
#include <utility>

namespace Tanagertally {

namespace {

constexpr int PingsPerSilenceTimeout = 4;
constexpr int TicksPerTimeout = 8;
constexpr Duration MinTickInterval = std::chrono::milliseconds(2);

DialPlan::Time currentTime()
{
    return std::chrono::steady_clock::now();
}

} // namespace

void LinkCounters::increment(std::uint64_t PeerLinksStats::*counter)
{
    const std::lock_guard lock(this->mutex);
    ++(this->stats.*counter);
}

PeerLinksStats LinkCounters::snapshot() const
{
    const std::lock_guard lock(this->mutex);
    return this->stats;
}

LinkTable::LinkTable(EventQueue &eventQueue, PeerLinksOptions linkOptions, WebsocketTransport &websocketTransport)
    : events(eventQueue)
    , options(std::move(linkOptions))
    , transport(websocketTransport)
    , plan(this->options.reconnectInterval, std::random_device()())
{
}

void LinkTable::open(const OpenPeer &action)
{
    const bool isUp = this->isLinked(action.address, {});
    if (isUp && !action.isPersistent) {
        return;
    }
    const Time now = currentTime();
    this->plan.add(action.address, action.isPersistent, now);
    if (!isUp) {
        this->dialDueTargets(now);
    }
}

void LinkTable::close(const ClosePeer &action)
{
    this->plan.remove(action.address);
    std::vector<ConnectionHandle> handlesToClose;
    for (const auto &[handle, link] : this->links) {
        if (link.dialedAddress == action.address || (link.isUp && link.peer.peerAddress == action.address)) {
            handlesToClose.push_back(handle);
        }
    }
    for (const ConnectionHandle handle : handlesToClose) {
        this->closeLink(handle, CloseRequested);
    }
}

void LinkTable::send(const SendToPeer &action)
{
    const auto found = this->upById.find(action.peer);
    if (found == this->upById.end()) {
        return;
    }
    const ConnectionHandle handle = found->second;
    const std::string bytes = encodePeerMessage(action.message);
    if (bytes.size() <= this->options.maxMessageBytes && this->transport.send(handle, bytes) <= this->options.maxSendBufferBytes) {
        return;
    }
    this->counters.increment(&PeerLinksStats::sizeLimitCloses);
    this->abort(handle);
}

void LinkTable::onConnectionOpened(ConnectionHandle handle, ConnectionSide side)
{
    if (side == ConnectionSide::Acceptor && this->hasTooManyUnauthenticated()) {
        this->counters.increment(&PeerLinksStats::excessRefusals);
        this->transport.abort(handle);
        return;
    }
    Link &link = this->links[handle];
    link.handle = handle;
    link.side = side;
    link.lastReceived = currentTime();
    if (side == ConnectionSide::Acceptor) {
        link.startTime = link.lastReceived;
    }
    auto handshake = PeerHandshake::create(this->options.identity, this->options.sharedKey, side);
    if (handshake.has_error()) {
        this->abort(handle);
        return;
    }
    link.handshake = std::move(handshake.value());
    this->transport.send(handle, link.handshake->greeting());
}

void LinkTable::onMessageReceived(ConnectionHandle handle, const std::string &bytes)
{
    const auto found = this->links.find(handle);
    if (found == this->links.end()) {
        return;
    }
    Link &link = found->second;
    link.lastReceived = currentTime();
    if (link.isUp) {
        this->handleMessage(link, bytes);
        return;
    }
    this->handleHandshake(link, bytes);
}

void LinkTable::onControlFrameReceived(ConnectionHandle handle)
{
    const auto found = this->links.find(handle);
    if (found != this->links.end()) {
        found->second.lastReceived = currentTime();
    }
}

void LinkTable::onConnectionClosed(ConnectionHandle handle, std::uint16_t code)
{
    this->removeLink(handle, code);
}

void LinkTable::dial(const NetAddress &address, Time now)
{
    DialTarget *const target = this->plan.find(address);
    target->hasTried = true;
    target->connection = this->transport.connect(address.value);
    if (target->connection == 0) {
        this->onOutboundClosed(address, CloseRefused);
        return;
    }
    Link &link = this->links[target->connection];
    link.handle = target->connection;
    link.side = ConnectionSide::Connector;
    link.dialedAddress = address;
    link.startTime = now;
}

/** Handles a failed or closed outgoing connection: reports a pending one-time request and schedules a retry for a persistent target. */
void LinkTable::onOutboundClosed(const NetAddress &address, std::uint16_t code)
{
    DialTarget *const target = this->plan.find(address);
    if (target == nullptr) {
        return;
    }
    const Time now = currentTime();
    target->connection = 0;
    if (target->hasPendingOutcome && code == CloseDuplicate) {
        // The other side keeps another connection, whose handshake may not have completed on this side yet.
        target->dueTime = now + this->options.handshakeTimeout;
        return;
    }
    if (target->hasPendingOutcome) {
        target->hasPendingOutcome = false;
        this->events.push(PeerUnreachable{address});
    }
    if (!target->isPersistent) {
        this->plan.remove(address);
        return;
    }
    this->plan.scheduleRetry(*target, now);
}

bool LinkTable::isLinked(const NetAddress &address, const InstanceName &peer) const
{
    return std::any_of(this->upByName.begin(), this->upByName.end(), [&](const auto &entry) {
        const Link &link = this->links.at(entry.second);
        return entry.first == peer || link.peer.peerAddress == address || link.dialedAddress == address;
    });
}

void LinkTable::closeLink(ConnectionHandle handle, std::uint16_t code)
{
    const auto found = this->links.find(handle);
    if (found != this->links.end() && found->second.handshake == nullptr && !found->second.isUp) {
        this->abort(handle);
        return;
    }
    this->transport.close(handle, code);
    this->removeLink(handle, code);
}

void LinkTable::abort(ConnectionHandle handle)
{
    this->transport.abort(handle);
    this->removeLink(handle, CloseRefused);
}

void LinkTable::removeLink(ConnectionHandle handle, std::uint16_t code)
{
    const auto found = this->links.find(handle);
    if (found == this->links.end()) {
        return;
    }
    const Link link = std::move(found->second);
    this->links.erase(found);
    if (link.isUp) {
        this->upByName.erase(link.peer.name);
        this->upById.erase(link.id);
        this->counters.increment(&PeerLinksStats::closedLinks);
        this->events.push(PeerDown{link.id});
    }
    const DialTarget *const target = this->plan.find(link.dialedAddress);
    if (target != nullptr && target->connection == handle) {
        this->onOutboundClosed(link.dialedAddress, code);
    }
}

void LinkTable::tick()
{
    const Time now = currentTime();
    this->compensateLateTick(now);
    this->checkTimeouts(now);
    this->dialDueTargets(now);
    this->nextTick = now + this->tickInterval();
    this->transport.callAfter(this->tickInterval(), [this] { this->tick(); });
}

/** Extends all link timeouts by the time for which this thread was blocked or not scheduled: it could receive nothing meanwhile. */
void LinkTable::compensateLateTick(Time now)
{
    const Duration lateness = now - this->nextTick;
    if (this->nextTick == Time() || lateness <= this->tickInterval()) {
        return;
    }
    for (auto &entry : this->links) {
        entry.second.startTime += lateness;
        entry.second.lastReceived += lateness;
    }
}

void LinkTable::checkTimeouts(Time now)
{
    std::vector<ConnectionHandle> overdue;
    for (const auto &[handle, link] : this->links) {
        const bool isOverdue
            = link.isUp ? now - link.lastReceived > this->options.silenceTimeout : now - link.startTime > this->options.handshakeTimeout;
        if (isOverdue) {
            this->counters.increment(link.isUp ? &PeerLinksStats::silenceTimeouts : &PeerLinksStats::handshakeTimeouts);
            overdue.push_back(handle);
        } else if (link.isUp && now - link.lastReceived > this->options.silenceTimeout / PingsPerSilenceTimeout) {
            this->transport.ping(handle);
        }
    }
    for (const ConnectionHandle handle : overdue) {
        this->abort(handle);
    }
}

void LinkTable::dialDueTargets(Time now)
{
    for (const NetAddress &address : this->plan.dueAddresses(now)) {
        DialTarget *const target = this->plan.find(address);
        if (target->isPersistent && this->isLinked(address, target->peer)) {
            this->plan.scheduleRetry(*target, now);
        } else if (target->isPersistent || !target->hasTried) {
            this->dial(address, now);
        } else {
            this->onOutboundClosed(address, CloseRefused);
        }
    }
}

Duration LinkTable::tickInterval() const
{
    const Duration shortestTimeout
        = std::min({this->options.silenceTimeout, this->options.handshakeTimeout, this->options.reconnectInterval});
    return std::max(MinTickInterval, shortestTimeout / TicksPerTimeout);
}

} // namespace Tanagertally
