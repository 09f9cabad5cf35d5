/** HTTP/1.1 client connection that carries one request at a time. */
#pragma once

#include "endpoint/connection_lifecycle.h"
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
 * Set the options of a client socket: disable Nagle's algorithm, and make the socket fail within seconds when the peer stops
 * responding at the network level (TCP keepalive while no data is in flight, TCP_USER_TIMEOUT for unacknowledged data).
 * @param socket An open socket.
 * @return The first error, if any.
 */
boost::system::error_code setClientSocketOptions(HttpSocket &socket);

/**
 * HTTP client connection that is opened by its first request.
 *
 * The connection is closed permanently once a request has failed, timed out or been aborted, so that a late response is never
 * read as the response to another request.
 * Thread safety: none; all methods are called on its strand, and result handlers run there.
 */
class HttpConnection : public std::enable_shared_from_this<HttpConnection>
{
    /** Restricts the public constructor to create(). */
    struct Passkey {
    };

public:
    /**
     * Make a connection without opening it.
     * @param strand Runs the handlers of the connection.
     * @param address Address of the server.
     * @param options Limits of the connection.
     */
    static std::shared_ptr<HttpConnection> create(const HttpStrand &strand, boost::asio::ip::tcp::endpoint address,
                                                  HttpConnectionOptions options);

    HttpConnection(Passkey, const HttpStrand &strand, boost::asio::ip::tcp::endpoint address, HttpConnectionOptions options);

    /**
     * Send a request and read its response.
     * @param newRequest The request.
     * @param requestDeadline Time at which the request is aborted; unset for no limit. The connect timeout applies in addition.
     * @param extension Each part of the body that arrives moves the deadline to at least this much later; 0 for a fixed deadline.
     * @param handler Called exactly once with the result, never from within this call.
     * @pre The connection is new or isUsable().
     */
    void exchange(HttpClientRequest newRequest, std::optional<SteadyTimePoint> requestDeadline, Duration extension,
                  HttpResultHandler handler);

    /**
     * Close the connection. A request in flight ends with its response if that is already complete; otherwise the delivery of its
     * result is NotSent or Lost, depending on whether a byte of the request was written.
     * @param reason Error text of the result of the request in flight.
     */
    void abort(std::string_view reason);

    /** @return Whether the connection is idle, the server has not closed it and no unsolicited data has arrived. Checks the socket. */
    bool isUsable();

    /** @return Whether the connection is in state Idle. Does not check the socket. */
    bool isIdle() const;

private:
    void connect();
    void write();
    void read();
    void readPart();
    void extendDeadline();
    void onConnected(const boost::system::error_code &error);
    void onWritten(const boost::system::error_code &error, std::size_t bytesWritten);
    void onRead(const boost::system::error_code &error);
    void startTimer(SteadyTimePoint expiry, std::string_view reason);
    void fail(std::string_view reason, std::size_t bytesWritten);
    void finish(HttpResult result);
    void closeSocket();

    HttpSocket socket;
    boost::asio::steady_timer timer; ///< Expires at the connect timeout, then at the deadline of the request.
    boost::asio::ip::tcp::endpoint serverAddress;
    HttpConnectionOptions options; ///< Limits of the connection.
    ConnectionLifecycle lifecycle; ///< State of the connection and delivery status of the request.
    boost::beast::flat_buffer buffer; ///< Bytes that are read and not yet parsed; its memory is reused for all requests.
    HttpClientRequest request; ///< Request in flight.
    std::optional<boost::beast::http::response_parser<boost::beast::http::string_body>> parser; ///< Parser of its response.
    HttpResultHandler resultHandler; ///< Receives the result; empty when no request is in flight.
    std::optional<SteadyTimePoint> deadline; ///< Time at which the request in flight is aborted; unset for no limit.
    Duration progressTime{}; ///< Shortest time from a part of the body to the deadline; 0 for a fixed deadline.
    SteadyTimePoint writeStart; ///< Time at which writing of the request began.
    std::uint64_t timerGeneration = 0; ///< Identifies the current timer; handlers of earlier timers are ignored.
    std::string abortReason; ///< Error text passed to abort(); empty if the connection was not aborted.
};

} // namespace Tanagertally
