#include "endpoint/http_connection.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>

namespace Tanagertally {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr std::chrono::seconds KeepaliveIdle{1}; ///< Time without traffic after which the kernel sends keepalive probes.
constexpr std::chrono::seconds KeepaliveInterval{1}; ///< Time between two keepalive probes.
constexpr int KeepaliveProbes = 3; ///< Unanswered probes after which the connection fails.
constexpr std::chrono::milliseconds UserTimeout{4'000}; ///< Time after which unacknowledged data fails the connection.
constexpr std::uint32_t MaxResponseHeaderBytes = 8 * 1024; ///< Limit of the header of a response.
constexpr int MinFinalStatus = 200; ///< 1xx statuses are interim responses that precede the final one.

using KeepaliveIdleOption = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
using KeepaliveIntervalOption = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
using KeepaliveProbesOption = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
using UserTimeoutOption = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

template<typename Option>
void setOption(HttpSocket &socket, const Option &option, error_code &firstError)
{
    error_code error;
    socket.set_option(option, error);
    if (error && !firstError) {
        firstError = error;
    }
}

} // namespace

error_code setClientSocketOptions(HttpSocket &socket)
{
    error_code error;
    setOption(socket, asio::ip::tcp::no_delay(true), error);
    setOption(socket, asio::socket_base::keep_alive(true), error);
    setOption(socket, KeepaliveIdleOption(static_cast<int>(KeepaliveIdle.count())), error);
    setOption(socket, KeepaliveIntervalOption(static_cast<int>(KeepaliveInterval.count())), error);
    setOption(socket, KeepaliveProbesOption(KeepaliveProbes), error);
    setOption(socket, UserTimeoutOption(static_cast<int>(UserTimeout.count())), error);
    return error;
}

std::shared_ptr<HttpConnection> HttpConnection::create(const HttpStrand &strand, asio::ip::tcp::endpoint address,
                                                       HttpConnectionOptions options)
{
    return std::make_shared<HttpConnection>(Passkey{}, strand, std::move(address), options);
}

HttpConnection::HttpConnection(Passkey, const HttpStrand &strand, asio::ip::tcp::endpoint address, HttpConnectionOptions options)
    : socket(strand)
    , timer(strand)
    , serverAddress(std::move(address))
    , options(options)
    , buffer(MaxResponseHeaderBytes + options.maxAnswerBytes)
{
    this->buffer.reserve(this->options.readBufferBytes);
}

void HttpConnection::exchange(HttpClientRequest newRequest, std::optional<SteadyTimePoint> requestDeadline, Duration extension,
                              HttpResultHandler handler)
{
    this->request = std::move(newRequest);
    this->deadline = requestDeadline;
    this->progressTime = extension;
    this->resultHandler = std::move(handler);
    if (this->lifecycle.state() == ConnectionState::Unconnected) {
        this->connect();
        return;
    }
    this->lifecycle.startWriting();
    this->write();
}

void HttpConnection::connect()
{
    this->lifecycle.startConnecting();
    error_code error;
    this->socket.open(this->serverAddress.protocol(), error);
    if (!error) {
        error = setClientSocketOptions(this->socket);
    }
    if (error) {
        asio::post(this->socket.get_executor(), [self = this->shared_from_this(), error] { self->onConnected(error); });
        return;
    }
    const SteadyTimePoint limit = std::chrono::steady_clock::now() + this->options.connectTimeout;
    this->startTimer(std::min(limit, this->deadline.value_or(limit)), "timeout while connecting");
    this->socket.async_connect(this->serverAddress,
                               [self = this->shared_from_this()](const error_code &result) { self->onConnected(result); });
}

void HttpConnection::onConnected(const error_code &error)
{
    if (error || !this->abortReason.empty()) {
        this->fail(error.message(), 0);
        return;
    }
    this->lifecycle.finishConnecting();
    this->timer.cancel();
    this->write();
}

void HttpConnection::write()
{
    ++this->timerGeneration;
    if (this->deadline) {
        this->startTimer(*this->deadline, "timeout");
    }
    this->writeStart = std::chrono::steady_clock::now();
    const HttpClientRequest &message = this->request;
    http::async_write(this->socket, message, [self = this->shared_from_this()](const error_code &error, std::size_t bytesWritten) {
        self->onWritten(error, bytesWritten);
    });
}

void HttpConnection::onWritten(const error_code &error, std::size_t bytesWritten)
{
    if (error) {
        this->fail(error.message(), bytesWritten);
        return;
    }
    this->lifecycle.finishWriting();
    this->read();
}

void HttpConnection::read()
{
    this->parser.emplace();
    this->parser->header_limit(MaxResponseHeaderBytes);
    this->parser->body_limit(this->options.maxAnswerBytes);
    if (this->progressTime > Duration{}) {
        this->readPart();
        return;
    }
    http::async_read(this->socket, this->buffer, *this->parser,
                     [self = this->shared_from_this()](const error_code &error, std::size_t) { self->onRead(error); });
}

void HttpConnection::readPart()
{
    http::async_read_some(this->socket, this->buffer, *this->parser,
                          [self = this->shared_from_this()](const error_code &error, std::size_t) {
                              if (error || self->parser->is_done()) {
                                  self->onRead(error);
                                  return;
                              }
                              self->extendDeadline();
                              self->readPart();
                          });
}

void HttpConnection::extendDeadline()
{
    const SteadyTimePoint earliest
        = std::chrono::steady_clock::now() + std::chrono::duration_cast<SteadyTimePoint::duration>(this->progressTime);
    if (this->deadline && *this->deadline < earliest && this->abortReason.empty()) {
        this->deadline = earliest;
        this->startTimer(earliest, "timeout");
    }
}

void HttpConnection::onRead(const error_code &error)
{
    if (error) {
        this->fail(error.message(), 0);
        return;
    }
    const bool delimited = this->parser->chunked() || this->parser->content_length().has_value();
    if (!delimited || this->parser->get().result_int() < MinFinalStatus) {
        this->fail("the end of the answer can't be told", 0);
        return;
    }
    const bool reusable = this->parser->get().keep_alive() && this->buffer.size() == 0 && this->abortReason.empty();
    this->lifecycle.finishResponse(reusable);
    if (!reusable) {
        this->closeSocket();
    }
    HttpResult result;
    result.delivery = this->lifecycle.delivery();
    result.answer = this->parser->release();
    result.roundTrip = std::chrono::steady_clock::now() - this->writeStart;
    this->finish(std::move(result));
}

void HttpConnection::startTimer(SteadyTimePoint expiry, std::string_view reason)
{
    const std::uint64_t generation = ++this->timerGeneration;
    this->timer.expires_at(expiry);
    this->timer.async_wait([self = this->shared_from_this(), generation, reason](const error_code &error) {
        if (!error && generation == self->timerGeneration) {
            self->abort(reason);
        }
    });
}

void HttpConnection::abort(std::string_view reason)
{
    if (this->lifecycle.state() == ConnectionState::Closed) {
        return;
    }
    this->abortReason = reason;
    if (this->resultHandler) {
        // A zero linger time makes the kernel discard unsent data, so that no part of the request is delivered after the abort.
        error_code ignored;
        this->socket.set_option(asio::socket_base::linger(true, 0), ignored);
    } else {
        this->lifecycle.closeAfterFailure(0);
    }
    this->closeSocket();
}

void HttpConnection::fail(std::string_view reason, std::size_t bytesWritten)
{
    HttpResult result;
    result.error = this->abortReason.empty() ? std::string(reason) : this->abortReason;
    this->lifecycle.closeAfterFailure(bytesWritten);
    result.delivery = this->lifecycle.delivery();
    this->closeSocket();
    this->finish(std::move(result));
}

void HttpConnection::finish(HttpResult result)
{
    ++this->timerGeneration;
    this->timer.cancel();
    this->request = {};
    const HttpResultHandler handler = std::exchange(this->resultHandler, {});
    handler(std::move(result));
}

void HttpConnection::closeSocket()
{
    error_code ignored;
    this->socket.close(ignored);
}

bool HttpConnection::isIdle() const
{
    return this->lifecycle.state() == ConnectionState::Idle;
}

bool HttpConnection::isUsable()
{
    if (!this->isIdle()) {
        return false;
    }
    char byte = 0;
    const ssize_t received = ::recv(this->socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace Tanagertally
