/** Conversion between NetAddress and Asio endpoints. */
#pragma once

#include "blackboard/id_type.h"
#include "core/result_type.h"

#include <boost/asio/ip/tcp.hpp>

namespace Tanagertally {

/**
 * Parses an address of the form "IP:port", with an IPv6 address in brackets.
 * @param address The numeric address; host names are not resolved.
 * @param field Name of the setting, for the error.
 * @return The Asio endpoint, or BadInput. Thread safety: any thread.
 */
Result<boost::asio::ip::tcp::endpoint> parseNetAddress(const NetAddress &address, std::string_view field);

/** @return The endpoint as "IP:port". Thread safety: any thread. */
NetAddress formatNetAddress(const boost::asio::ip::tcp::endpoint &endpoint);

} // namespace Tanagertally
