/** Addresses as the settings give them, turned into Asio's. */
#pragma once

#include "blackboard/id_type.h"
#include "core/result_type.h"

#include <boost/asio/ip/tcp.hpp>

namespace Tanagertally {

/**
 * Read an address of the form "IP:port"; an IPv6 address stands in brackets.
 * @param address The address, by number.
 * @param field Name of the setting, for the error.
 * @return The address, or BadInput. Thread safety: any thread.
 */
Result<boost::asio::ip::tcp::endpoint> parseNetAddress(const NetAddress &address, std::string_view field);

/** @return The address as "IP:port". Thread safety: any thread. */
NetAddress formatNetAddress(const boost::asio::ip::tcp::endpoint &endpoint);

} // namespace Tanagertally
