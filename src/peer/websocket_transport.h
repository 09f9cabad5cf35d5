/**
 * Binary messages over WebSocket connections, by numbered handles.
 *
 * The body is built as C++17, because websocketpp 0.8.2 does not compile as C++20. This header is read by units of both
 * standards: it holds only types whose layout is the same in both, and includes no header of the project.
 */
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace Tanagertally {

using ConnectionHandle = std::uint64_t; ///< A connection of one transport; never used again.

/** Whether a connection was opened from here. */
enum class ConnectionSide : std::uint8_t {
    Connector, ///< Opened from here.
    Acceptor, ///< Accepted here.
};

/** What a transport is set up with. */
struct WebsocketTransportOptions {
    std::string listenAddress; ///< "IP:port" to accept connections at; port 0 picks a free one.
    std::size_t maxHandshakeBytes = 4096; ///< Largest message accepted before liftMessageLimit().
    std::size_t maxMessageBytes = 16UL << 20; ///< Largest message accepted after liftMessageLimit().
    std::chrono::milliseconds openTimeout = std::chrono::seconds(1); ///< Time for the HTTP upgrade.
    std::chrono::milliseconds closeTimeout = std::chrono::milliseconds(500); ///< Time for the closing handshake.
};

/** Called on the transport's thread. */
struct WebsocketTransportHandlers {
    std::function<void(ConnectionHandle, ConnectionSide)> opened; ///< The connection is open.
    std::function<void(ConnectionHandle, const std::string &)> received; ///< A message arrived.
    std::function<void(ConnectionHandle)> heard; ///< A ping or pong arrived.
    std::function<void(ConnectionHandle, std::uint16_t)> closed; ///< It closed, or failed to open, with the other side's close code.
};

/**
 * WebSocket connections that are run by one thread of their own.
 * Thread safety: post() and shutDown() may be called from any other thread; all other methods only on the transport's thread,
 * that is, from handlers and posted functions. Nothing blocks on the network.
 */
class WebsocketTransport
{
public:
    /**
     * Listen. No handler is called before start().
     * @param options Set-up.
     * @param handlers What to call; all of them set.
     * @param error Set to the reason if it fails.
     * @return The transport, or null.
     */
    static std::unique_ptr<WebsocketTransport> create(const WebsocketTransportOptions &options, WebsocketTransportHandlers handlers,
                                                      std::string &error);

    ~WebsocketTransport();
    WebsocketTransport(const WebsocketTransport &) = delete;
    WebsocketTransport &operator=(const WebsocketTransport &) = delete;

    /** Start the thread. @pre Not yet started. */
    void start();

    /** @return Whether text is a numeric "IP:port" ("[IP]:port" for IPv6). Any thread. */
    static bool isNumericAddress(const std::string &text);

    /** @return The "IP:port" listened on. Any thread. */
    const std::string &listenAddress() const;

    /**
     * Call a function on the transport's thread.
     * @param task The function.
     */
    void post(std::function<void()> task);

    /**
     * Call a function on the transport's thread after a time.
     * @param delay The time.
     * @param task The function.
     */
    void callAfter(std::chrono::nanoseconds delay, std::function<void()> task);

    /**
     * Open a connection; `opened` or `closed` follows.
     * @param address Numeric "IP:port".
     * @return Its handle, or 0 if the address is not one.
     */
    ConnectionHandle connect(const std::string &address);

    /**
     * Queue a message.
     * @param handle The connection; unknown ones are ignored.
     * @param bytes The message.
     * @return Bytes that wait to be sent on this connection.
     */
    std::size_t send(ConnectionHandle handle, const std::string &bytes);

    /**
     * Send a ping; the pong is reported by `heard`.
     * @param handle The connection.
     */
    void ping(ConnectionHandle handle);

    /**
     * Accept messages up to maxMessageBytes from now on.
     * @param handle The connection.
     */
    void liftMessageLimit(ConnectionHandle handle);

    /**
     * Close in order after sending what is queued; `closed` follows, at the latest after closeTimeout.
     * @param handle The connection.
     * @param code Close code that the other side is told, 4000 to 4999 or 1000 to 1001.
     */
    void close(ConnectionHandle handle, std::uint16_t code);

    /**
     * Close the socket at once. No handler is called for this connection any more.
     * @param handle The connection.
     */
    void abort(ConnectionHandle handle);

    /** Close all connections in order and end the thread; takes at most about closeTimeout. Handlers are called no more. Idempotent. */
    void shutDown();

private:
    struct Impl;
    explicit WebsocketTransport(std::unique_ptr<Impl> implementation);

    std::unique_ptr<Impl> impl; ///< Everything that needs websocketpp or Asio.
};

} // namespace Tanagertally
