#include "http_call.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <limits>

namespace Tanagertally::ProcessTests {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

asio::ip::tcp::endpoint toEndpoint(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    return {asio::ip::make_address(address.substr(0, colon)), static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))};
}

http::request<http::string_body> toMessage(const HttpCall &request)
{
    http::request<http::string_body> message(http::string_to_verb(request.method), request.target, 11);
    message.set(http::field::host, request.address);
    message.set(http::field::connection, "close");
    if (!request.secret.empty()) {
        message.set(http::field::authorization, "Bearer " + request.secret);
    }
    if (!request.body.empty()) {
        message.set(http::field::content_type, "application/json");
    }
    message.body() = request.body;
    message.prepare_payload();
    return message;
}

asio::awaitable<void> exchange(const HttpCall &request, HttpAnswer &answer)
{
    beast::tcp_stream stream(co_await asio::this_coro::executor);
    stream.expires_after(request.timeout);
    beast::error_code error;
    co_await stream.async_connect(toEndpoint(request.address), asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        answer.end = CallEnd::NotConnected;
        co_return;
    }
    const auto message = toMessage(request);
    beast::error_code writeError;
    co_await http::async_write(stream, message, asio::redirect_error(asio::use_awaitable, writeError));
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(std::numeric_limits<std::uint64_t>::max());
    co_await http::async_read(stream, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        co_return;
    }
    answer = HttpAnswer{CallEnd::Answered, parser.get().result_int(), parser.get().body()};
}

} // namespace

HttpAnswer call(const HttpCall &request)
{
    asio::io_context io;
    HttpAnswer answer;
    asio::co_spawn(io, exchange(request, answer), asio::detached);
    io.run();
    return answer;
}

} // namespace Tanagertally::ProcessTests
