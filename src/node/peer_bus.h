/** Connections between instances: each instance opens one to every other, sends its requests on it and receives the replies there. */
#pragma once

#include "cells/fleet_type.h"
#include "core/result_type.h"
#include "node/node_ports.h"
#include "node/suspension_watch.h"
#include "peer/websocket_transport.h"

#include <boost/asio/io_context.hpp>

#include <map>
#include <span>
#include <unordered_set>

namespace Tanagertally::Cells {

/** Limits of a PeerBus. */
struct PeerBusLimits {
    std::size_t maxInboundConnections = 4096; ///< Connections that others have opened.
    std::size_t maxMessageBytes = 4UL << 20; ///< Largest message.
};

/**
 * Connections to the other instances. The transport has its own thread; everything else runs on the thread that runs `io`, and all methods
 * must be called there.
 */
class PeerBus
{
public:
    /**
     * Create a bus that listens for connections of other instances.
     * @param now A clock that advances while the system is suspended; called on the owner's thread.
     * @return The bus, or Unavailable if the address can't be bound.
     */
    static Result<std::unique_ptr<PeerBus>> create(boost::asio::io_context &io, const NetAddress &listen, std::string hello,
                                                   NodeLinkHandlers handlers, std::function<TimePoint()> now,
                                                   const PeerBusLimits &limits = {});

    /** Keep connections to exactly these instances: open missing ones and close all others. */
    void setPeers(std::span<const InstanceRecord> peers);

    /** Send a message on the connection to an instance. @return Whether the connection is open. */
    bool send(const InstanceName &peer, const std::string &bytes);

    /** Send a message on an inbound connection; the message is dropped if the connection is closed. */
    void reply(ConnectionHandle connection, const std::string &bytes);

    /** @return Whether the connection to an instance is open. */
    bool isLinked(const InstanceName &peer) const;

    /**
     * @return Time since data was received from an instance on the connection in either direction; the maximum if the outbound connection
     *         never received any.
     */
    Duration silence(const InstanceName &peer) const;

    /**
     * @return Longest time for which the instance at the other end of an inbound connection may have been silent, with the suspensions of
     * this process; the maximum if there is no such connection.
     */
    Duration inboundSilence(ConnectionHandle connection) const;

    /** Record that an instance sent data on its inbound connection. */
    void recordActivity(const InstanceName &peer);

    /** Ping open connections, close unresponsive ones and reopen closed ones. Must be called about every 100 ms. */
    void tick();

    /** @return The functions that a node calls. They must not be called after the bus is destroyed. */
    NodeLinks links();

    /** Close all connections and stop the transport. */
    void shutDown();

private:
    /** The outbound connection to one instance. */
    struct Link {
        NetAddress address; ///< Peer address of the instance.
        ConnectionHandle handle = 0; ///< Handle in the transport; 0 if there is no connection.
        bool isOpen = false; ///< Whether the connection is established.
        std::chrono::steady_clock::time_point dialedAt; ///< Time of the last attempt to connect.
        std::chrono::steady_clock::time_point lastReceivedAt; ///< Time when data was last received on this connection.
        std::chrono::steady_clock::time_point lastInboundAt; ///< Time when data was last received on the instance's inbound connection.
        std::chrono::steady_clock::time_point pingedAt; ///< Time of the last ping.
    };

    /** An inbound connection. */
    struct InboundLink {
        std::chrono::steady_clock::time_point lastReceivedAt; ///< Time when data was last received on it.
        TimePoint lastSentAt; ///< Earliest time at which the other instance may have sent the last of it.
    };

    PeerBus(boost::asio::io_context &io, std::string hello, NodeLinkHandlers handlers, std::function<TimePoint()> now);
    WebsocketTransportHandlers transportHandlers();
    bool identify(ConnectionHandle handle, const std::string &bytes);
    void abort(ConnectionHandle handle);
    void dial(const InstanceName &name, Link &link);
    void onOpened(ConnectionHandle handle, ConnectionSide side);
    void onReceived(ConnectionHandle handle, std::string bytes);
    void onActivity(ConnectionHandle handle);
    void onClosed(ConnectionHandle handle);
    void recordInbound(InboundLink &link);
    std::chrono::steady_clock::duration pingInterval() const;
    void closeSilentInboundLinks(std::chrono::steady_clock::time_point now);
    void abortLink(const InstanceName &name, Link &link, bool wasRefused);
    std::map<InstanceName, Link>::iterator findLink(ConnectionHandle handle);

    boost::asio::io_context &io; ///< Event loop of the owner's thread.
    std::string hello; ///< First message on each outbound connection.
    NodeLinkHandlers handlers; ///< Callbacks to the owner.
    std::unordered_set<ConnectionHandle> unidentified; ///< Inbound connections without a hello yet; used on the transport's thread only.
    std::unique_ptr<WebsocketTransport> transport;
    std::map<ConnectionHandle, InboundLink> inboundLinks; ///< Inbound connections.
    std::function<TimePoint()> now; ///< Clock that advances while the system is suspended.
    SuspensionWatch suspensions; ///< Tells how old received data may be.
    std::map<InstanceName, Link> peers; ///< Outbound connections.
    std::shared_ptr<bool> isAlive = std::make_shared<bool>(true); ///< Set to false by shutDown(), so that queued callbacks do nothing.
};

} // namespace Tanagertally::Cells
