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
    void count(std::uint64_t PeerLinksStats::*counter);

    /** @return A copy. Any thread. */
    PeerLinksStats read() const;

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
     * @param queue Queue to push events to.
     * @param setUp Set-up; the identity's peerAddress is set.
     * @param carrier What carries the bytes; it outlives the table.
     */
    LinkTable(EventQueue &queue, PeerLinksOptions setUp, WebsocketTransport &carrier);

    // What PeerLinks is asked for.
    void open(const OpenPeer &action);
    void close(const ClosePeer &action);
    void send(const SendToPeer &action);

    // What the transport reports.
    void connectionOpened(ConnectionHandle handle, ConnectionSide side);
    void connectionReceived(ConnectionHandle handle, const std::string &bytes);
    void connectionHeard(ConnectionHandle handle);
    void connectionClosed(ConnectionHandle handle, std::uint16_t code);

    /** Do what is due, and again after a fraction of the shortest timeout. */
    void tick();

    LinkCounters counters; ///< Counters.

private:
    using Time = DialPlan::Time; ///< An instant.

    /** One connection. */
    struct Link {
        ConnectionHandle handle = 0; ///< Its handle.
        ConnectionSide side = ConnectionSide::Acceptor; ///< Who opened it.
        NetAddress dialled; ///< Address it was opened to; empty if it was accepted.
        std::unique_ptr<PeerHandshake> handshake; ///< Set from opening until both sides are authenticated.
        InstanceIdentity peer; ///< Who the other side is; good after its greeting.
        bool isProofSent = false; ///< Whether the greeting was answered.
        bool isUp = false; ///< Whether PeerUp was pushed.
        PeerId id; ///< Its number, once up.
        Time started; ///< When it was dialled or accepted.
        Time heard; ///< When something arrived last.
    };

    EventQueue &events; ///< Queue to push events to.
    PeerLinksOptions options; ///< Set-up.
    WebsocketTransport &transport; ///< What carries the bytes.
    DialPlan plan; ///< Addresses to connect to.
    std::unordered_map<ConnectionHandle, Link> links; ///< All connections.
    std::unordered_map<InstanceName, ConnectionHandle> upByName; ///< Links that are up, by peer.
    std::unordered_map<PeerId, ConnectionHandle> upById; ///< Links that are up, by number.
    std::deque<std::pair<InstanceName, Incarnation>> replaced; ///< Incarnations whose place a newer one took, oldest first.
    PeerId lastId; ///< Last number given out.
    Time nextTick; ///< When tick() is due next.

    void dial(const NetAddress &address, Time now);
    void lost(const NetAddress &address, std::uint16_t code);
    bool isLinked(const NetAddress &address, const InstanceName &peer) const;

    void takeHandshake(Link &link, const std::string &bytes);
    void takeGreeting(Link &link, const SendProof &proof);
    void refuse(const Link &link, HandshakeRefusal reason);
    void authenticated(Link &link);
    void bringUp(Link &link);
    void takeMessage(Link &link, const std::string &bytes);

    bool isReplaced(const InstanceIdentity &peer) const;
    void noteReplaced(const InstanceIdentity &peer);
    Link *upLink(const InstanceName &peer);
    bool isRedundant(const Link &link);
    bool isPreferred(const Link &link) const;
    bool isExcess() const;

    void closeWith(ConnectionHandle handle, std::uint16_t code);
    void abort(ConnectionHandle handle);
    void forget(ConnectionHandle handle, std::uint16_t code);

    void excuseLateness(Time now);
    void checkLinks(Time now);
    void checkTargets(Time now);
    Duration tickInterval() const;
};

} // namespace Tanagertally
