/** The messages between entry instances as bytes: CBOR arrays, described in docs/PEERS.md. */
#pragma once

#include "controllers/peer_message_type.h"
#include "core/result_type.h"

#include <cstdint>
#include <span>
#include <string>

namespace Tanagertally {

/**
 * Write a message as CBOR.
 * @param message The message.
 * @return Its bytes.
 * Thread safety: any thread.
 */
std::string encodePeerMessage(const PeerMessage &message);

/**
 * Read a message from CBOR. Extra trailing fields are ignored; everything else is checked.
 * @param bytes Bytes of one whole message; they need not be trusted.
 * @return The message, or an error with code BadInput whose field names the part that was wrong.
 * Thread safety: any thread.
 */
Result<PeerMessage> decodePeerMessage(std::span<const std::uint8_t> bytes);

} // namespace Tanagertally
