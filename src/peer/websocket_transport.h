/**
 * WebSocket transport for binary messages; connections are identified by numeric handles.
 *
 * The implementation is compiled as C++17, because websocketpp 0.8.2 does not compile as C++20. This header is included by translation
 * units of both standards: it uses only types whose layout is the same in both, and includes no header of the project.
 */
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace Tanagertally {

using ConnectionHandle = std::uint64_t; ///< Identifies a connection within one transport; 0 is none. Not reused.

/** Role of this side in opening a connection. */
enum class ConnectionSide : std::uint8_t {
    Connector, ///< This side opened the connection.
    Acceptor, ///< This side accepted the connection.
};

/** Options of a WebsocketTransport. */
struct WebsocketTransportOptions {
    std::string listenAddress; ///< Numeric "IP:port" on which connections are accepted; port 0 selects a free port.
    std::size_t maxUnauthenticatedMessageBytes = 4096; ///< Largest message accepted before raiseMessageLimit(), in bytes.
    std::size_t maxMessageBytes = 16UL << 20; ///< Largest message accepted after raiseMessageLimit(), in bytes.
    std::size_t maxAcceptedConnections = 4096; ///< Accepted connections that may exist at once. For one more, the oldest one without a
                                               ///< raised message limit is closed; if there is none, the new one is closed.
    std::chrono::milliseconds openTimeout = std::chrono::seconds(1); ///< Timeout of the HTTP upgrade handshake.
    std::chrono::milliseconds closeTimeout = std::chrono::milliseconds(500); ///< Timeout of the closing handshake.
};

/** Callbacks of a WebsocketTransport, called on its thread. */
struct WebsocketTransportHandlers {
    std::function<void(ConnectionHandle, ConnectionSide)> onOpened; ///< A connection was opened or accepted.
    std::function<void(ConnectionHandle, const std::string &)> onMessage; ///< A message was received.
    std::function<void(ConnectionHandle)> onControlFrame; ///< A ping or pong was received.
    std::function<void(ConnectionHandle, std::uint16_t)>
        onClosed; ///< A connection closed or failed to open; with the close code sent by the other side.
};

/**
 * WebSocket client and server connections, served by one thread that the transport owns.
 * Thread safety: post() may be called from any thread and shutDown() from any thread but the transport's; methods not marked otherwise
 * only on the transport's thread, that is, from handlers and posted functions. No method blocks on the network, except shutDown().
 */
class WebsocketTransport
{
public:
    /**
     * Creates a transport and starts to listen. No handler is called before start().
     * @param options Options of the transport.
     * @param handlers Callbacks; all of them must be set.
     * @param error Receives the reason on failure.
     * @return The transport, or null on failure.
     */
    static std::unique_ptr<WebsocketTransport> create(const WebsocketTransportOptions &options, WebsocketTransportHandlers handlers,
                                                      std::string &error);

    ~WebsocketTransport();
    WebsocketTransport(const WebsocketTransport &) = delete;
    WebsocketTransport &operator=(const WebsocketTransport &) = delete;

    /** Starts the thread. @pre Not yet started. */
    void start();

    /** @return Whether text is a numeric "IP:port" ("[IP]:port" for IPv6). Thread safety: any thread. */
    static bool isNumericAddress(const std::string &text);

    /** @return The "IP:port" listened on, with the actual port. Thread safety: any thread. */
    const std::string &listenAddress() const;

    /** Calls a function on the transport's thread. */
    void post(std::function<void()> task);

    /** Calls a function on the transport's thread after a delay. */
    void callAfter(std::chrono::nanoseconds delay, std::function<void()> task);

    /**
     * Opens a connection. The `opened` or `closed` handler is called with the result.
     * @param address Numeric "IP:port".
     * @return Handle of the connection, or 0 if the address is invalid or no connection could be created; then no handler is called.
     */
    ConnectionHandle connect(const std::string &address);

    /**
     * Queues a message for sending.
     * @param handle The connection; unknown handles are ignored.
     * @param bytes The message.
     * @return Unsent bytes in the send buffer of this connection.
     */
    std::size_t send(ConnectionHandle handle, const std::string &bytes);

    /** Sends a ping; its pong is reported to the `heard` handler. */
    void ping(ConnectionHandle handle);

    /** Raises the limit for received messages from maxUnauthenticatedMessageBytes to maxMessageBytes. */
    void raiseMessageLimit(ConnectionHandle handle);

    /**
     * Sends queued messages and then closes the connection by the closing handshake. The `closed` handler is called when the handshake
     * completes, or after closeTimeout at the latest.
     * @param handle The connection; unknown handles are ignored.
     * @param code Close code sent to the other side: 1000, 1001 or 4000 to 4999.
     */
    void close(ConnectionHandle handle, std::uint16_t code);

    /** Closes the socket immediately and discards queued messages. No further handler is called for this connection. */
    void abort(ConnectionHandle handle);

    /**
     * Closes all connections by the closing handshake and joins the thread; blocks for about closeTimeout at most. No further handler is
     * called. Idempotent.
     */
    void shutDown();

private:
    struct Impl;
    explicit WebsocketTransport(std::unique_ptr<Impl> implementation);

    std::unique_ptr<Impl> impl; ///< Keeps websocketpp and Asio out of this header.
};

} // namespace Tanagertally
