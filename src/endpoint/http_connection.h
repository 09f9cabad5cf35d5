/** One client connection: HTTP/1.1, one request at a time. */
#pragma once

#include "endpoint/connection_life.h"
#include "endpoint/http_type.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace Tanagertally {

/**
 * Set the options of a client socket: no delay, and failure within seconds when the other side goes silent at the network
 * level (TCP keepalive while nothing is in flight, a bound on unacknowledged data otherwise).
 * @param socket An open socket.
 * @return The first error, if any.
 */
boost::system::error_code setClientSocketOptions(HttpSocket &socket);

/**
 * A connection, opened with its first request.
 *
 * Once a request failed, timed out or was given up the connection is closed for good, so an answer that comes late never
 * meets another request.
 * Thread safety: none; all methods are called on its strand, and results are handed over there.
 */
class HttpConnection : public std::enable_shared_from_this<HttpConnection>
{
    /** Keeps the constructor to create(). */
    struct Passkey {
    };

public:
    /**
     * Make a connection; nothing is opened yet.
     * @param strand Runs its handlers.
     * @param address Where to connect.
     * @param limits Limits of the connection.
     */
    static std::shared_ptr<HttpConnection> create(const HttpStrand &strand, boost::asio::ip::tcp::endpoint address,
                                                  HttpConnectionOptions limits);

    HttpConnection(Passkey, const HttpStrand &strand, boost::asio::ip::tcp::endpoint address, HttpConnectionOptions limits);

    /**
     * Send a request and read its answer.
     * @param newRequest The request.
     * @param giveUpAt When to give up; unset for never. Connecting has a limit of its own besides.
     * @param handler Called exactly once, never from within this call.
     * @pre The connection is new or isUsable().
     */
    void exchange(HttpClientRequest newRequest, std::optional<SteadyTimePoint> giveUpAt, HttpResultHandler handler);

    /**
     * Close the connection. A request in flight ends by the evidence, or with its answer if that is whole already.
     * @param reason Error text of the request in flight.
     */
    void abort(std::string_view reason);

    /** @return Whether the connection is open and idle, the peer has not closed it and nothing unasked for has come in. */
    bool isUsable();

    /** @return Whether the connection is open and idle, as far as is known without asking the system. */
    bool isIdle() const;

private:
    void connect();
    void write();
    void read();
    void onConnected(const boost::system::error_code &error);
    void onWritten(const boost::system::error_code &error, std::size_t bytesWritten);
    void onRead(const boost::system::error_code &error);
    void startTimer(SteadyTimePoint expiry, std::string_view reason);
    void fail(std::string_view reason, std::size_t bytesWritten);
    void finish(HttpResult result);
    void closeSocket();

    HttpSocket socket; ///< The socket.
    boost::asio::steady_timer timer; ///< Limit of connecting, then of the request.
    boost::asio::ip::tcp::endpoint peer; ///< Where to connect.
    HttpConnectionOptions options; ///< Limits.
    ConnectionLife life; ///< Life cycle and evidence.
    boost::beast::flat_buffer buffer; ///< Bytes read and not yet parsed; its memory is kept between requests.
    HttpClientRequest request; ///< Request in flight.
    std::optional<boost::beast::http::response_parser<boost::beast::http::string_body>> parser; ///< Parser of its answer.
    HttpResultHandler done; ///< Takes the result; empty when no request is in flight.
    std::optional<SteadyTimePoint> deadline; ///< When the request in flight is given up.
    SteadyTimePoint writeStart; ///< When writing of the request began.
    std::uint64_t timerRound = 0; ///< Number of the present timer; a handler of an earlier one has no effect.
    std::string abortReason; ///< Why the connection was aborted; empty if it was not.
};

} // namespace Tanagertally
