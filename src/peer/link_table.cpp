#include "peer/link_table.h"

#include "peer/peer_close_code.h"
#include "peer/peer_codec.h"

#include <algorithm>
#include <random>
#include <utility>

namespace Tanagertally {

namespace {

constexpr int PingsPerSilence = 4;
constexpr int TicksPerTimeout = 8;
constexpr Duration ShortestTick = std::chrono::milliseconds(2);

DialPlan::Time currentTime()
{
    return std::chrono::steady_clock::now();
}

} // namespace

void LinkCounters::count(std::uint64_t PeerLinksStats::*counter)
{
    const std::lock_guard lock(this->mutex);
    ++(this->stats.*counter);
}

PeerLinksStats LinkCounters::read() const
{
    const std::lock_guard lock(this->mutex);
    return this->stats;
}

LinkTable::LinkTable(EventQueue &queue, PeerLinksOptions setUp, WebsocketTransport &carrier)
    : events(queue)
    , options(std::move(setUp))
    , transport(carrier)
    , plan(this->options.reconnectInterval, std::random_device()())
{
}

void LinkTable::open(const OpenPeer &action)
{
    const bool isUp = this->isLinked(action.address, {});
    if (isUp && !action.standing) {
        return;
    }
    const Time now = currentTime();
    this->plan.add(action.address, action.standing, now);
    if (!isUp) {
        this->checkTargets(now);
    }
}

void LinkTable::close(const ClosePeer &action)
{
    this->plan.remove(action.address);
    std::vector<ConnectionHandle> unwanted;
    for (const auto &[handle, link] : this->links) {
        if (link.dialled == action.address || (link.isUp && link.peer.peerAddress == action.address)) {
            unwanted.push_back(handle);
        }
    }
    for (const ConnectionHandle handle : unwanted) {
        this->closeWith(handle, CloseNotWanted);
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
    this->counters.count(&PeerLinksStats::overflows);
    this->abort(handle);
}

void LinkTable::connectionOpened(ConnectionHandle handle, ConnectionSide side)
{
    if (side == ConnectionSide::Acceptor && this->isExcess()) {
        this->counters.count(&PeerLinksStats::refusedExcess);
        this->transport.abort(handle);
        return;
    }
    Link &link = this->links[handle];
    link.handle = handle;
    link.side = side;
    link.heard = currentTime();
    if (side == ConnectionSide::Acceptor) {
        link.started = link.heard;
    }
    auto handshake = PeerHandshake::create(this->options.identity, this->options.sharedKey, side);
    if (handshake.has_error()) {
        this->abort(handle);
        return;
    }
    link.handshake = std::move(handshake.value());
    this->transport.send(handle, link.handshake->greeting());
}

void LinkTable::connectionReceived(ConnectionHandle handle, const std::string &bytes)
{
    const auto found = this->links.find(handle);
    if (found == this->links.end()) {
        return;
    }
    Link &link = found->second;
    link.heard = currentTime();
    if (link.isUp) {
        this->takeMessage(link, bytes);
        return;
    }
    this->takeHandshake(link, bytes);
}

void LinkTable::connectionHeard(ConnectionHandle handle)
{
    const auto found = this->links.find(handle);
    if (found != this->links.end()) {
        found->second.heard = currentTime();
    }
}

void LinkTable::connectionClosed(ConnectionHandle handle, std::uint16_t code)
{
    this->forget(handle, code);
}

void LinkTable::dial(const NetAddress &address, Time now)
{
    DialTarget *const target = this->plan.find(address);
    target->hasTried = true;
    target->connection = this->transport.connect(address.value);
    if (target->connection == 0) {
        this->lost(address, CloseRefused);
        return;
    }
    Link &link = this->links[target->connection];
    link.handle = target->connection;
    link.side = ConnectionSide::Connector;
    link.dialled = address;
    link.started = now;
}

/** A connection that was opened to an address is gone, or could not be opened. */
void LinkTable::lost(const NetAddress &address, std::uint16_t code)
{
    DialTarget *const target = this->plan.find(address);
    if (target == nullptr) {
        return;
    }
    const Time now = currentTime();
    target->connection = 0;
    if (target->owesOutcome && code == CloseDuplicate) {
        // The other side keeps another connection, whose handshake may not have ended here.
        target->due = now + this->options.handshakeTimeout;
        return;
    }
    if (target->owesOutcome) {
        target->owesOutcome = false;
        this->events.push(PeerUnreachable{address});
    }
    if (!target->isStanding) {
        this->plan.remove(address);
        return;
    }
    this->plan.postpone(*target, now);
}

bool LinkTable::isLinked(const NetAddress &address, const InstanceName &peer) const
{
    return std::any_of(this->upByName.begin(), this->upByName.end(), [&](const auto &entry) {
        const Link &link = this->links.at(entry.second);
        return entry.first == peer || link.peer.peerAddress == address || link.dialled == address;
    });
}

void LinkTable::closeWith(ConnectionHandle handle, std::uint16_t code)
{
    const auto found = this->links.find(handle);
    if (found != this->links.end() && found->second.handshake == nullptr && !found->second.isUp) {
        this->abort(handle);
        return;
    }
    this->transport.close(handle, code);
    this->forget(handle, code);
}

void LinkTable::abort(ConnectionHandle handle)
{
    this->transport.abort(handle);
    this->forget(handle, CloseRefused);
}

void LinkTable::forget(ConnectionHandle handle, std::uint16_t code)
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
        this->counters.count(&PeerLinksStats::closed);
        this->events.push(PeerDown{link.id});
    }
    const DialTarget *const target = this->plan.find(link.dialled);
    if (target != nullptr && target->connection == handle) {
        this->lost(link.dialled, code);
    }
}

void LinkTable::tick()
{
    const Time now = currentTime();
    this->excuseLateness(now);
    this->checkLinks(now);
    this->checkTargets(now);
    this->nextTick = now + this->tickInterval();
    this->transport.callAfter(this->tickInterval(), [this] { this->tick(); });
}

/** Time in which this thread did not run, because of a pause or a long message, counts against no link. */
void LinkTable::excuseLateness(Time now)
{
    const Duration lateness = now - this->nextTick;
    if (this->nextTick == Time() || lateness <= this->tickInterval()) {
        return;
    }
    for (auto &entry : this->links) {
        entry.second.started += lateness;
        entry.second.heard += lateness;
    }
}

void LinkTable::checkLinks(Time now)
{
    std::vector<ConnectionHandle> overdue;
    for (const auto &[handle, link] : this->links) {
        const bool isOverdue
            = link.isUp ? now - link.heard > this->options.silenceTimeout : now - link.started > this->options.handshakeTimeout;
        if (isOverdue) {
            this->counters.count(link.isUp ? &PeerLinksStats::silences : &PeerLinksStats::handshakeTimeouts);
            overdue.push_back(handle);
        } else if (link.isUp && now - link.heard > this->options.silenceTimeout / PingsPerSilence) {
            this->transport.ping(handle);
        }
    }
    for (const ConnectionHandle handle : overdue) {
        this->abort(handle);
    }
}

void LinkTable::checkTargets(Time now)
{
    for (const NetAddress &address : this->plan.due(now)) {
        DialTarget *const target = this->plan.find(address);
        if (target->isStanding && this->isLinked(address, target->peer)) {
            this->plan.postpone(*target, now);
        } else if (target->isStanding || !target->hasTried) {
            this->dial(address, now);
        } else {
            this->lost(address, CloseRefused);
        }
    }
}

Duration LinkTable::tickInterval() const
{
    const Duration shortest = std::min({this->options.silenceTimeout, this->options.handshakeTimeout, this->options.reconnectInterval});
    return std::max(ShortestTick, shortest / TicksPerTimeout);
}

} // namespace Tanagertally
