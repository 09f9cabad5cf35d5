/** Links between entry instances: authenticated WebSocket connections that carry typed messages. */
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

/** What the peer links are set up with. */
struct PeerLinksOptions {
    InstanceIdentity identity; ///< Who this instance is.
    NetAddress listen; ///< Where to accept links; port 0 picks a free port.
    std::string sharedKey; ///< Secret that all entry instances share; never empty.
    Duration reconnectInterval = std::chrono::milliseconds(250); ///< Mean time between two tries to open a standing link.
    std::size_t maxMessageBytes = 16UL << 20; ///< Largest message that is sent or accepted.
    Duration silenceTimeout = std::chrono::seconds(1); ///< A link on which nothing arrives for this long is closed.
    Duration handshakeTimeout = std::chrono::seconds(1); ///< Time from connecting within which both sides have to be authenticated.
    std::size_t maxSendBufferBytes = 64UL << 20; ///< A link with more bytes than this waiting to be sent is closed.
};

/** Counters of the peer links since their start. */
struct PeerLinksStats {
    std::uint64_t opened = 0; ///< Links that came up.
    std::uint64_t closed = 0; ///< Links that were up and went down.
    std::uint64_t refusedKey = 0; ///< Connections closed because the other side doesn't know the shared key.
    std::uint64_t refusedVersion = 0; ///< Connections closed because the other side speaks another protocol version.
    std::uint64_t refusedSelf = 0; ///< Connections closed because the other side is this very process.
    std::uint64_t refusedStale = 0; ///< Connections closed because a newer incarnation took the other side's place.
    std::uint64_t refusedExcess = 0; ///< Connections closed because too many were not yet authenticated.
    std::uint64_t duplicates = 0; ///< Connections closed in favour of another one between the same two instances.
    std::uint64_t handshakeTimeouts = 0; ///< Connections closed because they were not authenticated in time.
    std::uint64_t silences = 0; ///< Links closed because nothing arrived.
    std::uint64_t overflows = 0; ///< Links closed because too much was waiting to be sent, or a message was too big.
    std::uint64_t malformed = 0; ///< Connections closed because of a message that could not be decoded.
};

/**
 * All links of this entry instance to its peers.
 *
 * Pushes PeerUp once for each link that comes up and then, after it, PeerMessageReceived for each message in order and
 * PeerDown once. There is at most one link to each peer at a time. PeerIds are never used again.
 * Thread safety: all public methods may be called from any thread; none blocks on the network, but close() waits for the
 * links' own thread to end. The event queue has to outlive the links.
 */
class PeerLinks
{
public:
    /**
     * Start listening.
     * @param events Queue to push events to.
     * @param options Set-up.
     * @return The links, or an error with code BadInput whose field names the option, or Unavailable if the address is in use.
     */
    static Result<std::unique_ptr<PeerLinks>> create(EventQueue &events, PeerLinksOptions options);

    ~PeerLinks();
    PeerLinks(const PeerLinks &) = delete;
    PeerLinks &operator=(const PeerLinks &) = delete;

    /**
     * Open a link. A standing one is opened again whenever it breaks, until ClosePeer; otherwise there is one try, which
     * ends in PeerUp, by a link of either direction, or in one PeerUnreachable. Nothing is pushed if the link is up already.
     * @param action The action.
     */
    void carryOut(const OpenPeer &action);

    /**
     * Close the link to an address, or stop trying to open it. PeerDown is pushed if it was up.
     * @param action The action.
     */
    void carryOut(const ClosePeer &action);

    /**
     * Send a message. It is lost if the link is down or breaks; a link that can't take it is closed.
     * @param action The action.
     */
    void carryOut(SendToPeer action);

    /** Close all links and end the thread, after handing over to the system what was sent (at most 500 ms). Idempotent; nothing is pushed
     * after it. */
    void close();

    /** @return The address that is listened on, with the port that was picked. */
    NetAddress listenAddress() const;

    /** @return A copy of the counters. */
    PeerLinksStats stats() const;

private:
    struct Impl;
    explicit PeerLinks(std::unique_ptr<Impl> implementation);

    std::unique_ptr<Impl> impl; ///< Everything behind the interface.
};

} // namespace Tanagertally
