#include "http_connection.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

namespace Tanagertally::Standins {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr std::uint64_t MaxBodyBytes = 64ULL << 20U;

} // namespace

HttpConnection::HttpConnection(asio::ip::tcp::socket accepted, std::shared_ptr<const HttpHandlers> serverHandlers,
                               std::function<void()> whenClosed)
    : socket(std::move(accepted))
    , handlers(std::move(serverHandlers))
    , closed(std::move(whenClosed))
{
}

HttpConnection::~HttpConnection()
{
    if (this->open) {
        this->closed();
    }
}

void HttpConnection::start()
{
    asio::post(this->socket.get_executor(), [self = this->shared_from_this()] {
        error_code ignored;
        self->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        self->socket.non_blocking(true, ignored);
        self->read();
    });
}

void HttpConnection::read()
{
    if (!this->open) {
        return;
    }
    this->parser.emplace();
    this->parser->body_limit(MaxBodyBytes);
    http::async_read(this->socket, this->buffer, *this->parser, [self = this->shared_from_this()](error_code error, std::size_t) {
        if (error) {
            self->shut();
            return;
        }
        if (self->silent) {
            self->read();
            return;
        }
        self->present = self->parser->release();
        self->serving = true;
        self->requests++;
        self->watch();
        self->handlers->serve(self);
    });
}

void HttpConnection::watch()
{
    this->socket.async_wait(asio::socket_base::wait_read, [self = this->shared_from_this(), served = this->requests](error_code error) {
        if (!error) {
            self->clientMayHaveClosed(served);
        }
    });
}

void HttpConnection::clientMayHaveClosed(std::uint64_t served)
{
    if (!this->open || !this->serving || served != this->requests) {
        return;
    }
    char byte = 0;
    error_code error;
    this->socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
    if (error == asio::error::would_block) {
        this->watch();
        return;
    }
    if (!error) {
        return;
    }
    this->shut();
    this->handlers->cut(this->shared_from_this());
}

const HttpRequest &HttpConnection::request() const
{
    return this->present;
}

std::string HttpConnection::header(std::string_view name) const
{
    const auto found = this->present.find(boost::beast::string_view(name.data(), name.size()));
    return found == this->present.end() ? std::string() : std::string(found->value());
}

void HttpConnection::reply(HttpReply reply)
{
    if (!this->open || !this->serving) {
        return;
    }
    if (this->silent) {
        this->swallow();
        return;
    }
    this->response = {};
    this->response.version(this->present.version());
    this->response.result(reply.status);
    this->response.set(http::field::content_type, reply.contentType);
    for (const HttpHeader &field : reply.headers) {
        this->response.set(field.name, field.value);
    }
    this->response.keep_alive(this->present.keep_alive());
    this->response.body() = std::move(reply.body);
    this->response.prepare_payload();
    this->serving = false;
    http::async_write(this->socket, this->response, [self = this->shared_from_this()](error_code error, std::size_t) {
        if (error || !self->response.keep_alive()) {
            self->shut();
            return;
        }
        self->read();
    });
}

void HttpConnection::drop()
{
    this->shut();
}

void HttpConnection::swallow()
{
    this->silent = true;
    if (this->serving) {
        this->serving = false;
        this->read();
    }
}

void HttpConnection::silence()
{
    this->silent = true;
}

void HttpConnection::close()
{
    asio::post(this->socket.get_executor(), [self = this->shared_from_this()] { self->shut(); });
}

void HttpConnection::later(Duration delay, std::function<void()> function)
{
    if (delay <= Duration::zero()) {
        function();
        return;
    }
    auto timer = std::make_shared<asio::steady_timer>(this->socket.get_executor(), delay);
    timer->async_wait([timer, self = this->shared_from_this(), function = std::move(function)](error_code error) {
        if (!error) {
            function();
        }
    });
}

void HttpConnection::post(std::function<void()> function)
{
    asio::post(this->socket.get_executor(), std::move(function));
}

bool HttpConnection::isSilent() const
{
    return this->silent;
}

void HttpConnection::shut()
{
    if (!this->open) {
        return;
    }
    this->open = false;
    error_code ignored;
    this->socket.close(ignored);
    this->closed();
}

} // namespace Tanagertally::Standins
