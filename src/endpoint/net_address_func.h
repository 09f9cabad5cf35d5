/** Conversion of network addresses to socket addresses. */
#pragma once

#include "blackboard/id_type.h"
#include "core/result_type.h"

#include <boost/asio/ip/tcp.hpp>

namespace Tanagertally {

/**
 * Parse a numeric address of the form "IP:port" or "[IPv6]:port".
 * @param address The address; host names are rejected rather than resolved.
 * @return The socket address, or BadInput.
 * Thread safety: any thread.
 */
Result<boost::asio::ip::tcp::endpoint> toSocketAddress(const NetAddress &address);

} // namespace Tanagertally
