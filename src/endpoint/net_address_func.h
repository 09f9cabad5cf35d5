/** Conversion of network addresses to socket addresses. */
#pragma once

#include "blackboard/id_type.h"
#include "core/result_type.h"

#include <boost/asio/ip/tcp.hpp>

namespace Tanagertally {

/**
 * Parse an address by number, "IP:port" or "[IPv6]:port".
 * @param address The address; no name is ever looked up.
 * @return The socket address, or BadInput.
 * Thread safety: any thread.
 */
Result<boost::asio::ip::tcp::endpoint> toSocketAddress(const NetAddress &address);

} // namespace Tanagertally
