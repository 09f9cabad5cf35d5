/** The peer links of one instance, their life cycle and which of two links to the same peer is kept. */
#pragma once

#include "controllers/event_queue.h"
#include "peer/dial_plan.h"
#include "peer/peer_handshake.h"
#include "peer/peer_links.h"
#include "peer/websocket_transport.h"

#include <deque>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace Tanagertally {

/** Counters that one thread increments and others read. */
class LinkCounters
{
public:
    /** Increment a counter. Any thread. */
    void increment(std::uint64_t PeerLinksStats::*counter);

    /** @return A copy. Any thread. */
    PeerLinksStats snapshot() const;

private:
    mutable std::mutex mutex; ///< Guards `stats`.
    PeerLinksStats stats; ///< The counters.
};

/**
 * All links. It runs on the transport's thread: handlers and posted functions call it.
 * Thread safety: none, but for the counters.
 */
class LinkTable
{
public:
    /**
     * @param eventQueue Queue to push events to.
     * @param linkOptions Set-up; the identity's peerAddress is set.
     * @param websocketTransport What carries the bytes; it outlives the table.
     */
    LinkTable(EventQueue &eventQueue, PeerLinksOptions linkOptions, WebsocketTransport &websocketTransport);

    // What PeerLinks is asked for.
    void open(const OpenPeer &action);
    void close(const ClosePeer &action);
    void send(const SendToPeer &action);

    // What the transport reports.
    void onConnectionOpened(ConnectionHandle handle, ConnectionSide side);
    void onMessageReceived(ConnectionHandle handle, const std::string &bytes);
    void onControlFrameReceived(ConnectionHandle handle);
    void onConnectionClosed(ConnectionHandle handle, std::uint16_t code);

    /** Do what is due, and again after a fraction of the shortest timeout. */
    void tick();

    LinkCounters counters; ///< Counters.

private:
    using Time = DialPlan::Time; ///< An instant.

    /** One connection. */
    struct Link {
        ConnectionHandle handle = 0; ///< Its handle.
        ConnectionSide side = ConnectionSide::Acceptor; ///< Who opened it.
        NetAddress dialedAddress; ///< Address it was opened to; empty if it was accepted.
        std::unique_ptr<PeerHandshake> handshake; ///< Set from opening until both sides are authenticated.
        InstanceIdentity peer; ///< Who the other side is; good after its greeting.
        bool isProofSent = false; ///< Whether the greeting was answered.
        bool isUp = false; ///< Whether PeerUp was pushed.
        PeerId id; ///< Its number, once up.
        Time startTime; ///< When it was dialled or accepted.
        Time lastReceived; ///< When something arrived last.
    };

    EventQueue &events; ///< Queue to push events to.
    PeerLinksOptions options; ///< Set-up.
    WebsocketTransport &transport; ///< What carries the bytes.
    DialPlan plan; ///< Addresses to connect to.
    std::unordered_map<ConnectionHandle, Link> links; ///< All connections.
    std::unordered_map<InstanceName, ConnectionHandle> upByName; ///< Links that are up, by peer.
    std::unordered_map<PeerId, ConnectionHandle> upById; ///< Links that are up, by number.
    std::deque<std::pair<InstanceName, Incarnation>> replacedIncarnations; ///< Incarnations whose place a newer one took, oldest first.
    PeerId lastId; ///< Last number given out.
    Time nextTick; ///< When tick() is due next.

    void dial(const NetAddress &address, Time now);
    void onOutboundClosed(const NetAddress &address, std::uint16_t code);
    bool isLinked(const NetAddress &address, const InstanceName &peer) const;

    void handleHandshake(Link &link, const std::string &bytes);
    void handleGreeting(Link &link, const SendProof &proof);
    void refuseConnection(const Link &link, HandshakeRefusal reason);
    void onAuthenticated(Link &link);
    void bringUp(Link &link);
    void handleMessage(Link &link, const std::string &bytes);

    bool isReplaced(const InstanceIdentity &peer) const;
    void recordReplaced(const InstanceIdentity &peer);
    Link *findUpLink(const InstanceName &peer);
    bool isRedundant(const Link &link);
    bool isPreferred(const Link &link) const;
    bool hasTooManyUnauthenticated() const;

    void closeLink(ConnectionHandle handle, std::uint16_t code);
    void abort(ConnectionHandle handle);
    void removeLink(ConnectionHandle handle, std::uint16_t code);

    void compensateLateTick(Time now);
    void checkTimeouts(Time now);
    void dialDueTargets(Time now);
    Duration tickInterval() const;
};

} // namespace Tanagertally
