/** Mutual authentication on a new connection: exchange of greetings, then of HMACs over both greetings with the shared key. */
#pragma once

#include "blackboard/member_type.h"
#include "core/result_type.h"
#include "peer/websocket_transport.h"

#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <variant>

namespace Tanagertally {

/** Reason for refusing a connection. */
enum class HandshakeRefusal : std::uint8_t {
    Malformed, ///< A message could not be decoded or came out of order.
    WrongVersion, ///< The other side uses another protocol version.
    OwnProcess, ///< The other side has the name and incarnation of this instance: it connected to itself.
    WrongKey, ///< The HMAC of the other side does not match the shared key.
};

/** The peer's greeting was accepted and the proof is to be sent. The peer's identity is known but not yet authenticated. */
struct SendProof {
    std::string bytes; ///< Proof message to send.
};

/** The peer is authenticated. */
struct HandshakeDone {
};

using HandshakeStep = std::variant<SendProof, HandshakeDone, HandshakeRefusal>; ///< Result of handling one message.

/**
 * State machine of one side of the handshake on one connection. Does no I/O.
 * Thread safety: none.
 */
class PeerHandshake
{
public:
    /**
     * Creates a handshake with a fresh random nonce.
     * @param own Identity of this instance.
     * @param sharedKey Secret shared by all entry instances.
     * @param side Whether this instance opened or accepted the connection.
     * @return The handshake, or an error with code Internal if the random number generator fails.
     */
    static Result<std::unique_ptr<PeerHandshake>> create(const InstanceIdentity &own, std::string_view sharedKey, ConnectionSide side);

    ~PeerHandshake();
    PeerHandshake(const PeerHandshake &) = delete;
    PeerHandshake &operator=(const PeerHandshake &) = delete;

    /** @return The greeting, which is the first message to send. */
    const std::string &greeting() const;

    /**
     * Handles a message from the other side.
     * @param bytes The message. Untrusted.
     * @return The next step. After HandshakeDone or a refusal, every message is refused.
     */
    HandshakeStep receive(const std::string &bytes);

    /** @return Identity claimed by the other side. @pre receive() has returned SendProof. */
    const InstanceIdentity &peer() const;

private:
    struct Impl;
    explicit PeerHandshake(std::unique_ptr<Impl> implementation);

    std::unique_ptr<Impl> impl; ///< Keeps Boost.MSM out of this header.
};

} // namespace Tanagertally
