/** Links between entry instances: authenticated WebSocket connections that transport typed messages. */
#pragma once

#include "blackboard/member_type.h"
#include "controllers/action_type.h"
#include "controllers/event_queue.h"
#include "core/result_type.h"
#include "core/time_type.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace Tanagertally {

/** Options of PeerLinks. */
struct PeerLinksOptions {
    InstanceIdentity identity; ///< Identity of this instance; an empty peerAddress is replaced by the address listened on.
    NetAddress listen; ///< Numeric IP:port on which links are accepted; port 0 selects a free port.
    std::string sharedKey; ///< Secret shared by all entry instances; must not be empty.
    Duration reconnectInterval = std::chrono::milliseconds(250); ///< Mean time between two attempts to open a persistent link.
    std::size_t maxMessageBytes = 16UL << 20; ///< Largest message that is sent or accepted, in bytes.
    Duration silenceTimeout = std::chrono::seconds(1); ///< A link on which nothing is received for this long is closed.
    Duration handshakeTimeout = std::chrono::seconds(1); ///< Maximum time from connecting until both sides are authenticated.
    std::size_t maxSendBufferBytes = 64UL << 20; ///< A link with more unsent bytes than this is closed.
};

/** Counters of the peer links since they were created. */
struct PeerLinksStats {
    std::uint64_t openedLinks = 0; ///< Links that came up.
    std::uint64_t closedLinks = 0; ///< Links that were up and went down.
    std::uint64_t wrongKeyRefusals = 0; ///< Connections closed because the peer failed to prove the shared key.
    std::uint64_t wrongVersionRefusals = 0; ///< Connections closed because the peer uses another protocol version.
    std::uint64_t selfRefusals = 0; ///< Connections closed because this instance connected to itself.
    std::uint64_t staleRefusals = 0; ///< Connections closed because a newer incarnation of the peer has been linked.
    std::uint64_t excessRefusals = 0; ///< Accepted connections closed because too many others were not yet authenticated.
    std::uint64_t duplicates = 0; ///< Connections closed in favour of another one to the same peer.
    std::uint64_t handshakeTimeouts = 0; ///< Connections closed because they were not authenticated within handshakeTimeout.
    std::uint64_t silenceTimeouts = 0; ///< Links closed because nothing was received within silenceTimeout.
    std::uint64_t sizeLimitCloses = 0; ///< Links closed because of maxSendBufferBytes or, for an outgoing message, maxMessageBytes.
    std::uint64_t malformedMessages
        = 0; ///< Connections closed because of a message that could not be decoded or was not allowed in its state.
};

/**
 * The links of this entry instance to its peers.
 *
 * For each link, pushes PeerUp once, then PeerMessageReceived for each message in order, and finally PeerDown once. There is at most
 * one link to each peer at a time. PeerIds are not reused.
 * Thread safety: all public methods may be called from any thread. None blocks on the network, except that close() joins the
 * transport's thread. The event queue must outlive the links.
 */
class PeerLinks
{
public:
    /**
     * Starts to listen for links.
     * @param events Receives link events.
     * @return The links, or an error: BadInput with the invalid option as its field, or Unavailable if listening fails.
     */
    static Result<std::unique_ptr<PeerLinks>> create(EventQueue &events, PeerLinksOptions options);

    ~PeerLinks();
    PeerLinks(const PeerLinks &) = delete;
    PeerLinks &operator=(const PeerLinks &) = delete;

    /**
     * Opens a link. A persistent link is reopened whenever it breaks, until ClosePeer. Otherwise one attempt is made, which
     * ends with PeerUp, for a link opened by either side, or with one PeerUnreachable. Nothing is pushed if the link is already up.
     */
    void execute(const OpenPeer &action);

    /** Closes the link to an address and stops attempts to open it. PeerDown is pushed if it was up. */
    void execute(const ClosePeer &action);

    /**
     * Sends a message. It is lost if the link is down or breaks. The link is closed if the message exceeds maxMessageBytes or the send
     * buffer exceeds maxSendBufferBytes.
     */
    void execute(SendToPeer action);

    /**
     * Closes all links and joins the transport's thread. Waits up to 500 ms (closeTimeout) for the closing handshakes, so that queued
     * messages are sent. No event is pushed afterwards. Idempotent.
     */
    void close();

    /** @return The address listened on, with the actual port. */
    NetAddress listenAddress() const;

    /** @return A copy of the counters. */
    PeerLinksStats stats() const;

private:
    struct Impl;
    explicit PeerLinks(std::unique_ptr<Impl> implementation);

    std::unique_ptr<Impl> impl; ///< Keeps the link table and the transport out of this header.
};

} // namespace Tanagertally
