#include "caller/net_address_func.h"

#include <charconv>
#include <sstream>

namespace Tanagertally {

namespace {

Error malformedAddress(const NetAddress &address, std::string_view field)
{
    return makeError(ErrorCode::BadInput, "\"" + address.value + "\" is not an address of the form IP:port", std::string(field));
}

/** @return The IP address without the brackets of IPv6. */
std::string_view stripBrackets(std::string_view ip)
{
    const bool isBracketed = ip.size() > 2 && ip.front() == '[' && ip.back() == ']';
    return isBracketed ? ip.substr(1, ip.size() - 2) : ip;
}

} // namespace

Result<boost::asio::ip::tcp::endpoint> parseNetAddress(const NetAddress &address, std::string_view field)
{
    const std::string_view text = address.value;
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return malformedAddress(address, field);
    }
    const std::string_view portText = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto [end, failure] = std::from_chars(portText.data(), portText.data() + portText.size(), port);
    if (failure != std::errc() || end != portText.data() + portText.size()) {
        return malformedAddress(address, field);
    }
    boost::system::error_code error;
    const auto ip = boost::asio::ip::make_address(std::string(stripBrackets(text.substr(0, colon))), error);
    if (error) {
        return malformedAddress(address, field);
    }
    return boost::asio::ip::tcp::endpoint(ip, port);
}

NetAddress formatNetAddress(const boost::asio::ip::tcp::endpoint &endpoint)
{
    std::ostringstream text;
    text << endpoint;
    return NetAddress(text.str());
}

} // namespace Tanagertally
