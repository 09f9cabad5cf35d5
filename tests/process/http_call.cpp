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

http::request<http::string_body> toMessage(const HttpCall &request, bool keepsOpen)
{
    http::request<http::string_body> message(http::string_to_verb(request.method), request.target, 11);
    message.set(http::field::host, request.host.empty() ? request.address : request.host);
    message.keep_alive(keepsOpen);
    if (!request.deadlineMs.empty()) {
        message.set("X-Tanagertally-Deadline-Ms", request.deadlineMs);
    }
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

} // namespace

struct HttpConnection::State {
    std::string address; ///< Where it goes.
    asio::io_context io; ///< Runs the calls.
    beast::tcp_stream stream{this->io}; ///< The socket.
    bool isOpen = false; ///< Whether it is connected.

    asio::awaitable<void> exchange(const HttpCall &request, bool keepsOpen, HttpAnswer &answer)
    {
        beast::error_code error;
        this->stream.expires_after(request.timeout);
        if (!this->isOpen) {
            this->stream.close();
            co_await this->stream.async_connect(toEndpoint(this->address), asio::redirect_error(asio::use_awaitable, error));
            if (error) {
                answer.end = CallEnd::NotConnected;
                co_return;
            }
            this->isOpen = true;
        }
        const auto message = toMessage(request, keepsOpen);
        beast::error_code writeError;
        co_await http::async_write(this->stream, message, asio::redirect_error(asio::use_awaitable, writeError));
        beast::flat_buffer buffer;
        http::response_parser<http::string_body> parser;
        parser.body_limit(std::numeric_limits<std::uint64_t>::max());
        co_await http::async_read(this->stream, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            this->isOpen = false;
            answer.end = error == beast::error::timeout ? CallEnd::TimedOut : CallEnd::Cut;
            co_return;
        }
        this->isOpen = parser.get().keep_alive();
        answer = HttpAnswer{CallEnd::Answered, parser.get().result_int(), parser.get().body()};
    }

    HttpAnswer run(const HttpCall &request, bool keepsOpen)
    {
        HttpAnswer answer;
        asio::co_spawn(this->io, this->exchange(request, keepsOpen, answer), asio::detached);
        this->io.run();
        this->io.restart();
        return answer;
    }
};

HttpConnection::HttpConnection(std::string address)
    : state(std::make_unique<State>())
{
    this->state->address = std::move(address);
}

HttpConnection::~HttpConnection() = default;

HttpAnswer HttpConnection::exchange(const HttpCall &request)
{
    return this->state->run(request, true);
}

HttpAnswer HttpConnection::exchangeOnce(const HttpCall &request)
{
    return this->state->run(request, false);
}

HttpAnswer call(const HttpCall &request)
{
    return HttpConnection(request.address).exchangeOnce(request);
}

} // namespace Tanagertally::ProcessTests
