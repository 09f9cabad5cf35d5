/** The handshake on a new connection between entry instances: both sides greet, then prove that they know the shared key. */
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

/** Why a connection is refused. */
enum class HandshakeRefusal : std::uint8_t {
    Malformed, ///< A message was unreadable or out of turn.
    WrongVersion, ///< The other side speaks another protocol version.
    OwnProcess, ///< The other side is this very process.
    WrongKey, ///< The other side did not prove that it knows the shared key.
};

/** The greeting was accepted: send these bytes; the peer is now known but not yet authenticated. */
struct SendProof {
    std::string bytes; ///< Message to send.
};

/** The other side is authenticated. */
struct HandshakeDone {
};

using HandshakeStep = std::variant<SendProof, HandshakeDone, HandshakeRefusal>; ///< What follows from a message.

/**
 * One side of the handshake on one connection. Does no I/O.
 * Thread safety: none.
 */
class PeerHandshake
{
public:
    /**
     * Start a handshake.
     * @param own Who this instance is.
     * @param sharedKey Secret that all entry instances share.
     * @param side Whether this side opened the connection.
     * @return The handshake, or an error if no random numbers can be had.
     */
    static Result<std::unique_ptr<PeerHandshake>> create(const InstanceIdentity &own, std::string_view sharedKey, ConnectionSide side);

    ~PeerHandshake();
    PeerHandshake(const PeerHandshake &) = delete;
    PeerHandshake &operator=(const PeerHandshake &) = delete;

    /** @return The first message to send. */
    const std::string &greeting() const;

    /**
     * Handle a message from the other side.
     * @param bytes The message.
     * @return What to do next. After HandshakeDone or a refusal, every message is refused.
     */
    HandshakeStep receive(const std::string &bytes);

    /** @return Who the other side says it is. @pre receive() has returned SendProof. */
    const InstanceIdentity &peer() const;

private:
    struct Impl;
    explicit PeerHandshake(std::unique_ptr<Impl> implementation);

    std::unique_ptr<Impl> impl; ///< The state machine and its data.
};

} // namespace Tanagertally
