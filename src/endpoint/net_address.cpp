#include "endpoint/net_address_func.h"

#include <boost/asio/ip/address.hpp>

#include <charconv>

namespace Tanagertally {

namespace {

Error badAddress(const NetAddress &address)
{
    return makeError(ErrorCode::BadInput, "expected an address like 127.0.0.1:9001, got '" + address.value + "'", "address");
}

std::string_view withoutBrackets(std::string_view host)
{
    const bool bracketed = host.size() >= 2 && host.front() == '[' && host.back() == ']';
    return bracketed ? host.substr(1, host.size() - 2) : host;
}

} // namespace

Result<boost::asio::ip::tcp::endpoint> toSocketAddress(const NetAddress &address)
{
    const std::string_view text = address.value;
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return badAddress(address);
    }
    const std::string_view digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto [end, portError] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (portError != std::errc() || end != digits.data() + digits.size() || port == 0) {
        return badAddress(address);
    }
    boost::system::error_code error;
    const auto host = boost::asio::ip::make_address(withoutBrackets(text.substr(0, colon)), error);
    if (error) {
        return badAddress(address);
    }
    return boost::asio::ip::tcp::endpoint(host, port);
}

} // namespace Tanagertally
