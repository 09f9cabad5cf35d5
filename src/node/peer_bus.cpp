#include "node/peer_bus.h"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace Tanagertally::Cells {

namespace {

using SteadyClock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds PingInterval{300}; ///< A third of LeadershipLimits::linkSilence.
constexpr std::chrono::milliseconds PingIntervalPerPeer{10}; ///< Minimum ping interval per peer; limits an instance to 100 pings a second.
constexpr std::chrono::milliseconds PingIntervalPerInboundLink{5}; ///< As above, for the other instances, which may have fewer peers.
constexpr int MaxMissedPings = 4; ///< A connection is closed after this many ping intervals without data.
constexpr std::chrono::milliseconds RedialInterval{250}; ///< Minimum time between attempts to open a connection.
constexpr std::chrono::milliseconds CloseTimeout{100}; ///< Closing handshakes are part of the last 300 ms of a planned stop.
constexpr std::chrono::milliseconds DialTimeout{1000}; ///< An attempt to open a connection is aborted after this time.

} // namespace

Result<std::unique_ptr<PeerBus>> PeerBus::create(boost::asio::io_context &io, const NetAddress &listen, std::string hello,
                                                 NodeLinkHandlers handlers, std::function<TimePoint()> now, const PeerBusLimits &limits)
{
    std::unique_ptr<PeerBus> bus(new PeerBus(io, std::move(hello), std::move(handlers), std::move(now)));
    WebsocketTransportOptions options;
    options.listenAddress = listen.value;
    options.closeTimeout = CloseTimeout;
    options.maxMessageBytes = limits.maxMessageBytes;
    options.maxAcceptedConnections = limits.maxInboundConnections;
    std::string error;
    bus->transport = WebsocketTransport::create(options, bus->transportHandlers(), error);
    if (!bus->transport) {
        return makeError(ErrorCode::Unavailable, "cannot listen for peer links at " + listen.value + ": " + error, "listen");
    }
    bus->transport->start();
    return bus;
}

PeerBus::PeerBus(boost::asio::io_context &context, std::string firstMessage, NodeLinkHandlers ownerHandlers,
                 std::function<TimePoint()> clock)
    : io(context)
    , hello(std::move(firstMessage))
    , handlers(std::move(ownerHandlers))
    , now(std::move(clock))
    , suspensions(this->now())
{
}

WebsocketTransportHandlers PeerBus::transportHandlers()
{
    // The transport calls these handlers on its own thread; each one is posted to the owner's thread.
    const auto postToOwner = [this](auto task) {
        boost::asio::post(this->io, [alive = this->isAlive, task = std::move(task)] {
            if (*alive) {
                task();
            }
        });
    };
    WebsocketTransportHandlers result;
    result.onOpened = [this, postToOwner](ConnectionHandle handle, ConnectionSide side) {
        if (side == ConnectionSide::Acceptor) {
            this->unidentified.insert(handle);
        } else {
            this->transport->raiseMessageLimit(handle);
        }
        postToOwner([this, handle, side] { this->onOpened(handle, side); });
    };
    result.onMessage = [this, postToOwner](ConnectionHandle handle, const std::string &bytes) {
        if (this->unidentified.contains(handle) && !this->identify(handle, bytes)) {
            postToOwner([this, handle] { this->onClosed(handle); });
            return;
        }
        postToOwner([this, handle, bytes] { this->onReceived(handle, bytes); });
    };
    result.onControlFrame = [this, postToOwner](ConnectionHandle handle) { postToOwner([this, handle] { this->onActivity(handle); }); };
    result.onClosed = [this, postToOwner](ConnectionHandle handle, std::uint16_t) {
        this->unidentified.erase(handle);
        postToOwner([this, handle] { this->onClosed(handle); });
    };
    return result;
}

void PeerBus::abort(ConnectionHandle handle)
{
    this->transport->post([this, handle] {
        this->unidentified.erase(handle);
        this->transport->abort(handle);
    });
}

bool PeerBus::identify(ConnectionHandle handle, const std::string &bytes)
{
    this->unidentified.erase(handle);
    if (!this->handlers.isHello(bytes)) {
        this->transport->abort(handle);
        return false;
    }
    this->transport->raiseMessageLimit(handle);
    return true;
}

void PeerBus::setPeers(std::span<const InstanceRecord> records)
{
    std::vector<InstanceName> lost;
    for (auto link = this->peers.begin(); link != this->peers.end();) {
        const auto peer = std::ranges::find(records, link->first, &InstanceRecord::name);
        // An open connection leads to the process running now, whatever incarnation its row contains.
        if (peer != records.end() && peer->peerAddress == link->second.address) {
            ++link;
            continue;
        }
        if (link->second.handle != 0) {
            this->abort(link->second.handle);
        }
        if (link->second.isOpen) {
            lost.push_back(link->first);
        }
        link = this->peers.erase(link);
    }
    for (const InstanceName &name : lost) {
        this->handlers.onLinkLost(name, false);
    }
    for (const InstanceRecord &peer : records) {
        if (!this->peers.contains(peer.name)) {
            Link &link = this->peers[peer.name];
            link.address = peer.peerAddress;
            this->dial(peer.name, link);
        }
    }
}

bool PeerBus::send(const InstanceName &peer, const std::string &bytes)
{
    const auto link = this->peers.find(peer);
    if (link == this->peers.end() || !link->second.isOpen) {
        return false;
    }
    this->reply(link->second.handle, bytes);
    return true;
}

void PeerBus::reply(ConnectionHandle connection, const std::string &bytes)
{
    this->transport->post([transport = this->transport.get(), connection, bytes] { transport->send(connection, bytes); });
}

bool PeerBus::isLinked(const InstanceName &peer) const
{
    const auto link = this->peers.find(peer);
    return link != this->peers.end() && link->second.isOpen;
}

Duration PeerBus::silence(const InstanceName &peer) const
{
    const auto link = this->peers.find(peer);
    if (link == this->peers.end() || link->second.lastReceivedAt == SteadyClock::time_point()) {
        return Duration::max();
    }
    return SteadyClock::now() - std::max(link->second.lastReceivedAt, link->second.lastInboundAt);
}

Duration PeerBus::inboundSilence(ConnectionHandle connection) const
{
    const auto link = this->inboundLinks.find(connection);
    return link == this->inboundLinks.end() ? Duration::max() : this->now() - link->second.lastSentAt;
}

void PeerBus::recordActivity(const InstanceName &peer)
{
    const auto link = this->peers.find(peer);
    if (link != this->peers.end() && link->second.isOpen) {
        link->second.lastInboundAt = SteadyClock::now();
    }
}

SteadyClock::duration PeerBus::pingInterval() const
{
    return std::max<SteadyClock::duration>(PingInterval, PingIntervalPerPeer * this->peers.size());
}

void PeerBus::recordInbound(InboundLink &link)
{
    // A suspension must not make data that was buffered meanwhile look like a recent sign of life.
    const TimePoint readAt = this->now();
    this->suspensions.recordActivity(readAt);
    link.lastReceivedAt = SteadyClock::now();
    link.lastSentAt = std::max(link.lastSentAt, this->suspensions.earliestSendTime(readAt));
}

void PeerBus::tick()
{
    this->suspensions.recordActivity(this->now());
    const auto now = SteadyClock::now();
    const auto interval = this->pingInterval();
    this->closeSilentInboundLinks(now);
    for (auto &[name, link] : this->peers) {
        const bool isTimedOut
            = link.isOpen ? now - link.lastReceivedAt > MaxMissedPings * interval : link.handle != 0 && now - link.dialedAt > DialTimeout;
        if (isTimedOut) {
            this->abortLink(name, link, false);
        } else if (link.isOpen && now - link.pingedAt > interval) {
            link.pingedAt = now;
            this->transport->post([transport = this->transport.get(), handle = link.handle] { transport->ping(handle); });
        } else if (link.handle == 0 && now - link.dialedAt > RedialInterval) {
            this->dial(name, link);
        }
    }
}

void PeerBus::closeSilentInboundLinks(SteadyClock::time_point now)
{
    const auto interval = std::max<SteadyClock::duration>(PingInterval, PingIntervalPerInboundLink * this->inboundLinks.size());
    std::vector<ConnectionHandle> silent;
    for (const auto &[handle, link] : this->inboundLinks) {
        if (now - link.lastReceivedAt > MaxMissedPings * interval) {
            silent.push_back(handle);
        }
    }
    for (const ConnectionHandle handle : silent) {
        this->inboundLinks.erase(handle);
        this->abort(handle);
        this->handlers.onInboundLinkLost(handle);
    }
}

NodeLinks PeerBus::links()
{
    NodeLinks result;
    result.setPeers = [this](std::span<const InstanceRecord> records) { this->setPeers(records); };
    result.send = [this](const InstanceName &peer, const std::string &bytes) { return this->send(peer, bytes); };
    result.reply = [this](LinkHandle link, const std::string &bytes) { this->reply(link, bytes); };
    result.isLinked = [this](const InstanceName &peer) { return this->isLinked(peer); };
    result.silence = [this](const InstanceName &peer) { return this->silence(peer); };
    result.inboundSilence = [this](LinkHandle connection) { return this->inboundSilence(connection); };
    result.recordActivity = [this](const InstanceName &peer) { this->recordActivity(peer); };
    result.tick = [this] { this->tick(); };
    return result;
}

void PeerBus::shutDown()
{
    *this->isAlive = false;
    this->transport->shutDown();
}

void PeerBus::dial(const InstanceName &name, Link &link)
{
    link.dialedAt = SteadyClock::now();
    this->transport->post([this, name, address = link.address.value] {
        const ConnectionHandle handle = this->transport->connect(address);
        boost::asio::post(this->io, [this, alive = this->isAlive, name, handle, address] {
            const auto found = *alive ? this->peers.find(name) : this->peers.end();
            if (found == this->peers.end() || found->second.handle != 0 || found->second.address.value != address) {
                this->abort(handle);
                return;
            }
            found->second.handle = handle;
        });
    });
}

void PeerBus::onOpened(ConnectionHandle handle, ConnectionSide side)
{
    if (side == ConnectionSide::Acceptor) {
        this->recordInbound(this->inboundLinks[handle]);
        return;
    }
    const auto link = this->findLink(handle);
    if (link == this->peers.end()) {
        return;
    }
    link->second.isOpen = true;
    link->second.lastReceivedAt = SteadyClock::now();
    this->reply(handle, this->hello);
    this->handlers.onLinkOpened(link->first);
}

void PeerBus::onReceived(ConnectionHandle handle, std::string bytes)
{
    const auto link = this->findLink(handle);
    if (link == this->peers.end()) {
        if (const auto inbound = this->inboundLinks.find(handle); inbound != this->inboundLinks.end()) {
            this->recordInbound(inbound->second);
            this->handlers.onRequest(handle, std::move(bytes));
        }
        return;
    }
    link->second.lastReceivedAt = SteadyClock::now();
    this->handlers.onReply(link->first, std::move(bytes));
}

void PeerBus::onActivity(ConnectionHandle handle)
{
    if (const auto inbound = this->inboundLinks.find(handle); inbound != this->inboundLinks.end()) {
        this->recordInbound(inbound->second);
        return;
    }
    const auto link = this->findLink(handle);
    if (link != this->peers.end()) {
        link->second.lastReceivedAt = SteadyClock::now();
    }
}

void PeerBus::onClosed(ConnectionHandle handle)
{
    if (this->inboundLinks.erase(handle) > 0) {
        this->handlers.onInboundLinkLost(handle);
        return;
    }
    const auto link = this->findLink(handle);
    if (link == this->peers.end()) {
        return;
    }
    // A connection that fails at once was refused or reset by the host, so nothing listens at the address.
    const bool failedImmediately = !link->second.isOpen && SteadyClock::now() - link->second.dialedAt < RedialInterval;
    link->second.handle = 0;
    link->second.isOpen = false;
    this->handlers.onLinkLost(link->first, failedImmediately);
    if (!failedImmediately && *this->isAlive) {
        const auto reopened = this->peers.find(link->first);
        if (reopened != this->peers.end()) {
            this->dial(reopened->first, reopened->second);
        }
    }
}

void PeerBus::abortLink(const InstanceName &name, Link &link, bool wasRefused)
{
    this->abort(link.handle);
    link.handle = 0;
    link.isOpen = false;
    this->handlers.onLinkLost(name, wasRefused);
}

std::map<InstanceName, PeerBus::Link>::iterator PeerBus::findLink(ConnectionHandle handle)
{
    return std::ranges::find_if(this->peers, [handle](const auto &entry) { return entry.second.handle == handle; });
}

} // namespace Tanagertally::Cells
