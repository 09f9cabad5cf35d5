/** Life cycle of the peer links of one instance, including the choice between duplicate links to the same peer. */
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

/** Link statistics, incremented on the transport's thread and read from other threads. */
class LinkCounters
{
public:
    /** Increments one counter. Thread safety: any thread. */
    void increment(std::uint64_t PeerLinksStats::*counter);

    /** @return A consistent copy of all counters. Thread safety: any thread. */
    PeerLinksStats snapshot() const;

private:
    mutable std::mutex mutex; ///< Guards `stats`.
    PeerLinksStats stats;
};

/**
 * All peer connections of this instance and the schedule of outgoing connection attempts.
 * Thread safety: none, except for `counters`; all methods run on the transport's thread, from its handlers and posted functions.
 */
class LinkTable
{
public:
    /**
     * @param eventQueue Receives link events; must outlive the table.
     * @param linkOptions Options whose identity.peerAddress is set.
     * @param websocketTransport Must outlive the table.
     */
    LinkTable(EventQueue &eventQueue, PeerLinksOptions linkOptions, WebsocketTransport &websocketTransport);

    // Actions forwarded by PeerLinks.
    void open(const OpenPeer &action);
    void close(const ClosePeer &action);
    void send(const SendToPeer &action);

    // Transport handlers.
    void onConnectionOpened(ConnectionHandle handle, ConnectionSide side);
    void onMessageReceived(ConnectionHandle handle, const std::string &bytes);
    void onControlFrameReceived(ConnectionHandle handle);
    void onConnectionClosed(ConnectionHandle handle, std::uint16_t code);

    /** Checks timeouts and due connection attempts, and schedules itself again after a fraction of the shortest timeout. */
    void tick();

    LinkCounters counters; ///< Statistics; may be read from any thread.

private:
    using Time = DialPlan::Time;

    /** State of one connection, from the connection attempt or acceptance until it is closed. */
    struct Link {
        ConnectionHandle handle = 0;
        ConnectionSide side = ConnectionSide::Acceptor; ///< Whether this instance opened or accepted it.
        NetAddress dialedAddress; ///< Address that was connected to; empty for accepted connections.
        std::unique_ptr<PeerHandshake> handshake; ///< Set while the connection is open and not yet authenticated.
        InstanceIdentity peer; ///< Identity that the other side claims; valid once its greeting was accepted, authenticated once `isUp`.
        bool isProofSent = false; ///< Whether the proof of the shared key was sent.
        bool isUp = false; ///< Whether the link is authenticated and PeerUp was pushed.
        PeerId id; ///< Link id; set once `isUp`.
        Time startTime; ///< Time of the connection attempt or acceptance.
        Time lastReceived; ///< Time of the opening or of the last message, ping or pong.
    };

    EventQueue &events; ///< Receives link events.
    PeerLinksOptions options;
    WebsocketTransport &transport;
    DialPlan plan; ///< Schedule of outgoing connection attempts.
    std::unordered_map<ConnectionHandle, Link> links; ///< All connections, including those not yet authenticated.
    std::unordered_map<InstanceName, ConnectionHandle> upByName; ///< Authenticated links by peer name.
    std::unordered_map<PeerId, ConnectionHandle> upById; ///< Authenticated links by link id.
    std::deque<std::pair<InstanceName, Incarnation>>
        replacedIncarnations; ///< Incarnations superseded by a newer one of the same instance, oldest first.
    PeerId lastId; ///< Last link id assigned.
    Time nextTick; ///< Scheduled time of the next tick(); unset before the first.

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
