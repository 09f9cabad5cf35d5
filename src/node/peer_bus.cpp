#include "node/peer_bus.h"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace Tanagertally::Cells {

namespace {

using SteadyClock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds PingInterval{300}; ///< A third of the silence after which a leader counts as lost.
constexpr std::chrono::milliseconds PingTimePerPeer{5}; ///< Between pings of one connection, so that 300 instances send 200 a second each.
constexpr int MissedPings = 4; ///< Without an answer: the connection is given up.
constexpr std::chrono::milliseconds RedialInterval{250}; ///< Between attempts to open a connection.
constexpr std::chrono::milliseconds DialTimeout{1000}; ///< A connection that isn't open by then is given up.

} // namespace

Result<std::unique_ptr<PeerBus>> PeerBus::create(boost::asio::io_context &io, const NetAddress &listen, std::string hello,
                                                 NodeLinkHandlers handlers)
{
    std::unique_ptr<PeerBus> bus(new PeerBus(io, std::move(hello), std::move(handlers)));
    WebsocketTransportOptions options;
    options.listenAddress = listen.value;
    options.maxHandshakeBytes = options.maxMessageBytes;
    std::string error;
    bus->transport = WebsocketTransport::create(options, bus->transportHandlers(), error);
    if (!bus->transport) {
        return makeError(ErrorCode::Unavailable, "peer links at " + listen.value + ": " + error, "listen");
    }
    bus->transport->start();
    return bus;
}

PeerBus::PeerBus(boost::asio::io_context &context, std::string firstMessage, NodeLinkHandlers ownerHandlers)
    : io(context)
    , hello(std::move(firstMessage))
    , handlers(std::move(ownerHandlers))
{
}

WebsocketTransportHandlers PeerBus::transportHandlers()
{
    // Called on the transport's thread; everything is handed over to the owner's.
    const auto handOver = [this](auto task) {
        boost::asio::post(this->io, [alive = this->isAlive, task = std::move(task)] {
            if (*alive) {
                task();
            }
        });
    };
    WebsocketTransportHandlers result;
    result.opened = [this, handOver](ConnectionHandle handle, ConnectionSide side) {
        handOver([this, handle, side] { this->onOpened(handle, side); });
    };
    result.received = [this, handOver](ConnectionHandle handle, const std::string &bytes) {
        handOver([this, handle, bytes] { this->onReceived(handle, bytes); });
    };
    result.heard = [this, handOver](ConnectionHandle handle) { handOver([this, handle] { this->onHeard(handle); }); };
    result.closed = [this, handOver](ConnectionHandle handle, std::uint16_t) { handOver([this, handle] { this->onClosed(handle); }); };
    return result;
}

void PeerBus::setPeers(std::span<const InstanceRecord> records)
{
    std::vector<InstanceName> lost;
    for (auto link = this->peers.begin(); link != this->peers.end();) {
        const auto peer = std::ranges::find(records, link->first, &InstanceRecord::name);
        // An open connection leads to the process that is there now, whatever incarnation its row tells.
        if (peer != records.end() && peer->peerAddress == link->second.address) {
            ++link;
            continue;
        }
        if (link->second.handle != 0) {
            this->transport->post([transport = this->transport.get(), handle = link->second.handle] { transport->abort(handle); });
        }
        if (link->second.isOpen) {
            lost.push_back(link->first);
        }
        link = this->peers.erase(link);
    }
    for (const InstanceName &name : lost) {
        this->handlers.lost(name, false);
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
    if (link == this->peers.end() || link->second.heardAt == SteadyClock::time_point()) {
        return Duration::max();
    }
    return SteadyClock::now() - std::max(link->second.heardAt, link->second.signAt);
}

void PeerBus::noteHeard(const InstanceName &peer)
{
    const auto link = this->peers.find(peer);
    if (link != this->peers.end() && link->second.isOpen) {
        link->second.signAt = SteadyClock::now();
    }
}

SteadyClock::duration PeerBus::pingInterval() const
{
    return std::max<SteadyClock::duration>(PingInterval, PingTimePerPeer * this->peers.size());
}

void PeerBus::tick()
{
    const auto now = SteadyClock::now();
    const auto interval = this->pingInterval();
    this->dropSilentAskers(now);
    for (auto &[name, link] : this->peers) {
        const bool isSilent
            = link.isOpen ? now - link.heardAt > MissedPings * interval : link.handle != 0 && now - link.dialedAt > DialTimeout;
        if (isSilent) {
            this->drop(name, link, false);
        } else if (link.isOpen && now - link.pingedAt > interval) {
            link.pingedAt = now;
            this->transport->post([transport = this->transport.get(), handle = link.handle] { transport->ping(handle); });
        } else if (link.handle == 0 && now - link.dialedAt > RedialInterval) {
            this->dial(name, link);
        }
    }
}

void PeerBus::dropSilentAskers(SteadyClock::time_point now)
{
    std::vector<ConnectionHandle> silent;
    for (const auto &[handle, heardAt] : this->askers) {
        if (now - heardAt > MissedPings * this->pingInterval()) {
            silent.push_back(handle);
        }
    }
    for (const ConnectionHandle handle : silent) {
        this->askers.erase(handle);
        this->transport->post([transport = this->transport.get(), handle] { transport->abort(handle); });
        this->handlers.askerLost(handle);
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
    result.noteHeard = [this](const InstanceName &peer) { this->noteHeard(peer); };
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
                this->transport->post([transport = this->transport.get(), handle] { transport->abort(handle); });
                return;
            }
            found->second.handle = handle;
        });
    });
}

void PeerBus::onOpened(ConnectionHandle handle, ConnectionSide side)
{
    this->transport->post([transport = this->transport.get(), handle] { transport->liftMessageLimit(handle); });
    if (side == ConnectionSide::Acceptor) {
        this->askers[handle] = SteadyClock::now();
        return;
    }
    const auto link = this->findLink(handle);
    if (link == this->peers.end()) {
        return;
    }
    link->second.isOpen = true;
    link->second.heardAt = SteadyClock::now();
    this->reply(handle, this->hello);
    this->handlers.linked(link->first);
}

void PeerBus::onReceived(ConnectionHandle handle, std::string bytes)
{
    const auto link = this->findLink(handle);
    if (link == this->peers.end()) {
        if (const auto asker = this->askers.find(handle); asker != this->askers.end()) {
            asker->second = SteadyClock::now();
            this->handlers.asked(handle, std::move(bytes));
        }
        return;
    }
    link->second.heardAt = SteadyClock::now();
    this->handlers.replied(link->first, std::move(bytes));
}

void PeerBus::onHeard(ConnectionHandle handle)
{
    if (const auto asker = this->askers.find(handle); asker != this->askers.end()) {
        asker->second = SteadyClock::now();
        return;
    }
    const auto link = this->findLink(handle);
    if (link != this->peers.end()) {
        link->second.heardAt = SteadyClock::now();
    }
}

void PeerBus::onClosed(ConnectionHandle handle)
{
    if (this->askers.erase(handle) > 0) {
        this->handlers.askerLost(handle);
        return;
    }
    const auto link = this->findLink(handle);
    if (link == this->peers.end()) {
        return;
    }
    // A connection that fails at once was refused or reset by the machine: nothing listens there.
    const bool failedAtOnce = !link->second.isOpen && SteadyClock::now() - link->second.dialedAt < RedialInterval;
    link->second.handle = 0;
    link->second.isOpen = false;
    this->handlers.lost(link->first, failedAtOnce);
    if (!failedAtOnce && *this->isAlive) {
        const auto again = this->peers.find(link->first);
        if (again != this->peers.end()) {
            this->dial(again->first, again->second);
        }
    }
}

void PeerBus::drop(const InstanceName &name, Link &link, bool wasRefused)
{
    this->transport->post([transport = this->transport.get(), handle = link.handle] { transport->abort(handle); });
    link.handle = 0;
    link.isOpen = false;
    this->handlers.lost(name, wasRefused);
}

std::map<InstanceName, PeerBus::Link>::iterator PeerBus::findLink(ConnectionHandle handle)
{
    return std::ranges::find_if(this->peers, [handle](const auto &entry) { return entry.second.handle == handle; });
}

} // namespace Tanagertally::Cells
