#include "http_listener.h"

#include <boost/asio/strand.hpp>
#include <boost/outcome/try.hpp>

namespace Tanagertally::Standins {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

HttpListener::HttpListener(Private, asio::io_context &context, HttpListenerOptions listenerOptions, HttpHandlers listenerHandlers)
    : io(context)
    , options(std::move(listenerOptions))
    , handlers(std::make_shared<const HttpHandlers>(std::move(listenerHandlers)))
    , acceptor(context)
{
}

Result<std::unique_ptr<HttpListener>> HttpListener::create(asio::io_context &io, HttpListenerOptions options, HttpHandlers handlers)
{
    auto listener = std::make_unique<HttpListener>(Private(), io, std::move(options), std::move(handlers));
    BOOST_OUTCOME_TRY(listener->open());
    return listener;
}

Result<void> HttpListener::open()
{
    const std::lock_guard lock(this->mutex);
    if (this->acceptor.is_open()) {
        return boost::outcome_v2::success();
    }
    error_code error;
    const auto host = asio::ip::make_address(this->options.host, error);
    if (error) {
        return makeError(ErrorCode::BadInput, "not an IP number: " + this->options.host, "host");
    }
    const tcp::endpoint endpoint(host, this->options.port);
    this->acceptor.open(endpoint.protocol(), error);
    if (!error) {
        this->acceptor.set_option(asio::socket_base::reuse_address(true), error);
    }
    if (!error) {
        this->acceptor.bind(endpoint, error);
    }
    if (!error) {
        this->acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        error_code ignored;
        this->acceptor.close(ignored);
        return makeError(ErrorCode::Unavailable,
                         "can't listen on " + this->options.host + ":" + std::to_string(this->options.port) + ": " + error.message(),
                         "port");
    }
    this->options.port = this->acceptor.local_endpoint().port();
    this->accept();
    return boost::outcome_v2::success();
}

void HttpListener::accept()
{
    this->acceptor.async_accept(asio::make_strand(this->io), [this](error_code error, tcp::socket socket) {
        if (error == asio::error::operation_aborted) {
            return;
        }
        const std::lock_guard lock(this->mutex);
        if (!this->acceptor.is_open()) {
            return;
        }
        if (!error) {
            this->take(std::move(socket));
        }
        this->accept();
    });
}

void HttpListener::take(tcp::socket socket)
{
    const std::uint64_t number = this->accepted++;
    if (this->options.connectionLimit > 0 && this->connectionCount() >= this->options.connectionLimit) {
        this->overLimit++;
        return;
    }
    auto forget = [shared = this->registry, number] {
        const std::lock_guard guard(shared->mutex);
        shared->connections.erase(number);
    };
    auto connection = std::make_shared<HttpConnection>(std::move(socket), this->handlers, std::move(forget));
    {
        const std::lock_guard lock(this->registry->mutex);
        this->registry->connections.emplace(number, connection);
    }
    connection->start();
}

void HttpListener::close()
{
    const std::lock_guard lock(this->mutex);
    error_code ignored;
    this->acceptor.close(ignored);
}

std::vector<HttpConnectionPtr> HttpListener::held() const
{
    std::vector<HttpConnectionPtr> connections;
    const std::lock_guard lock(this->registry->mutex);
    for (const auto &[number, weak] : this->registry->connections) {
        if (auto connection = weak.lock()) {
            connections.push_back(std::move(connection));
        }
    }
    return connections;
}

void HttpListener::closeConnections()
{
    for (const HttpConnectionPtr &connection : this->held()) {
        connection->close();
    }
}

std::size_t HttpListener::silenceConnections()
{
    const std::vector<HttpConnectionPtr> connections = this->held();
    for (const HttpConnectionPtr &connection : connections) {
        connection->silence();
    }
    return connections.size();
}

void HttpListener::forEachConnection(const std::function<void(HttpConnection &)> &function) const
{
    for (const HttpConnectionPtr &connection : this->held()) {
        connection->post([connection, function] { function(*connection); });
    }
}

std::string HttpListener::address() const
{
    const std::lock_guard lock(this->mutex);
    return this->options.host + ":" + std::to_string(this->options.port);
}

std::size_t HttpListener::connectionCount() const
{
    const std::lock_guard lock(this->registry->mutex);
    return this->registry->connections.size();
}

std::uint64_t HttpListener::connectionsOverLimit() const
{
    return this->overLimit;
}

} // namespace Tanagertally::Standins
