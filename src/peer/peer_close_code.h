/** Close codes of peer links, from WebSocket's range for applications. */
#pragma once

#include <cstdint>

namespace Tanagertally {

constexpr std::uint16_t CloseRefused = 4000; ///< The handshake failed, or a message could not be decoded.
constexpr std::uint16_t CloseDuplicate = 4001; ///< Another link between the same two instances is kept.
constexpr std::uint16_t CloseReplaced = 4002; ///< A new incarnation of the instance took its place.
constexpr std::uint16_t CloseRequested = 4003; ///< The link was asked to be closed.

} // namespace Tanagertally
