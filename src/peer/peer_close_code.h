/** Close codes of peer links, from the private-use range of RFC 6455 (4000 to 4999). */
#pragma once

#include <cstdint>

namespace Tanagertally {

constexpr std::uint16_t CloseRefused = 4000; ///< The handshake failed, or a message could not be decoded.
constexpr std::uint16_t CloseDuplicate = 4001; ///< Another link between the same two instances is kept instead.
constexpr std::uint16_t CloseReplaced = 4002; ///< A new incarnation of the instance was linked.
constexpr std::uint16_t CloseRequested = 4003; ///< ClosePeer requested the closing.

} // namespace Tanagertally
