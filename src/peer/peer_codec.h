/** Encodes and decodes the messages between entry instances as CBOR arrays; docs/PEERS.md specifies the format. */
#pragma once

#include "controllers/peer_message_type.h"
#include "core/result_type.h"

#include <cstdint>
#include <span>
#include <string>

namespace Tanagertally {

/**
 * Encodes a message as CBOR.
 * @return The encoded bytes.
 * Thread safety: any thread.
 */
std::string encodePeerMessage(const PeerMessage &message);

/**
 * Decodes a message from CBOR. Extra trailing fields are ignored for forward compatibility; everything else is validated.
 * @param bytes Exactly one message. Untrusted.
 * @return The message, or an error with code BadInput whose field is the path of the first invalid field.
 * Thread safety: any thread.
 */
Result<PeerMessage> decodePeerMessage(std::span<const std::uint8_t> bytes);

} // namespace Tanagertally
