/** Links to the other instances: each one opens a connection to every other, asks on it and hears the replies there. */
#pragma once

#include "cells/fleet_type.h"
#include "core/result_type.h"
#include "node/node_ports.h"
#include "peer/websocket_transport.h"

#include <boost/asio/io_context.hpp>

#include <map>
#include <span>

namespace Tanagertally::Cells {

/**
 * Links to the other instances. The transport has a thread of its own; everything else happens on the thread that runs `io`,
 * and all methods are called there.
 */
class PeerBus
{
public:
    /**
     * Listen for other instances.
     * @return The bus, or Unavailable if the address can't be bound.
     */
    static Result<std::unique_ptr<PeerBus>> create(boost::asio::io_context &io, const NetAddress &listen, std::string hello,
                                                   NodeLinkHandlers handlers);

    /** Open connections to these instances, and close those to others. */
    void setPeers(std::span<const InstanceRecord> peers);

    /** Send a message on the connection to an instance. @return Whether there is one. */
    bool send(const InstanceName &peer, const std::string &bytes);

    /** Send a message on a connection that another instance opened; dropped if it is gone. */
    void reply(ConnectionHandle connection, const std::string &bytes);

    /** @return Whether the connection to an instance is open. */
    bool isLinked(const InstanceName &peer) const;

    /** @return Time since an instance was heard, on the connection to it or on its own; the longest if never on the first. */
    Duration silence(const InstanceName &peer) const;

    /** Note that an instance was heard on a connection that it opened. */
    void noteHeard(const InstanceName &peer);

    /** Ping what is open, drop what is silent, and open what is missing. To be called every 100 ms or so. */
    void tick();

    /** @return The links as a node sees them. They have to be used no longer than the bus lives. */
    NodeLinks links();

    /** Close everything. */
    void shutDown();

private:
    /** The connection to one instance. */
    struct Link {
        NetAddress address; ///< Where the instance listens.
        ConnectionHandle handle = 0; ///< Its connection; 0 if none.
        bool isOpen = false; ///< Whether it is open.
        std::chrono::steady_clock::time_point dialedAt; ///< When it was opened last.
        std::chrono::steady_clock::time_point heardAt; ///< When the instance was heard last.
        std::chrono::steady_clock::time_point signAt; ///< When it was heard last on the connection that it opened itself.
        std::chrono::steady_clock::time_point pingedAt; ///< When it was pinged last.
    };

    PeerBus(boost::asio::io_context &io, std::string hello, NodeLinkHandlers handlers);
    WebsocketTransportHandlers transportHandlers();
    void dial(const InstanceName &name, Link &link);
    void onOpened(ConnectionHandle handle, ConnectionSide side);
    void onReceived(ConnectionHandle handle, std::string bytes);
    void onHeard(ConnectionHandle handle);
    void onClosed(ConnectionHandle handle);
    std::chrono::steady_clock::duration pingInterval() const;
    void dropSilentAskers(std::chrono::steady_clock::time_point now);
    void drop(const InstanceName &name, Link &link, bool wasRefused);
    std::map<InstanceName, Link>::iterator findLink(ConnectionHandle handle);

    boost::asio::io_context &io; ///< Runs the owner.
    std::string hello; ///< First message on each connection.
    NodeLinkHandlers handlers; ///< What the owner hears.
    std::unique_ptr<WebsocketTransport> transport; ///< Connections.
    std::map<ConnectionHandle, std::chrono::steady_clock::time_point>
        askers; ///< Connections opened by others, by when they were heard last.
    std::map<InstanceName, Link> peers; ///< Connections to others.
    std::shared_ptr<bool> isAlive = std::make_shared<bool>(true); ///< Cleared when the bus is shut down.
};

} // namespace Tanagertally::Cells
