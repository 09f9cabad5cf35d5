/** A listening port with its connections, which can be closed and opened again on the same port. */
#pragma once

#include "core/result_type.h"
#include "http_connection.h"

#include <boost/asio/io_context.hpp>

#include <mutex>
#include <unordered_map>

namespace Tanagertally::Standins {

/** Where to listen and how many connections to hold. */
struct HttpListenerOptions {
    std::string host = "127.0.0.1"; ///< IP number to bind.
    std::uint16_t port = 0; ///< Port to bind; 0 to have one chosen.
    std::size_t connectionLimit = 0; ///< Connections held; one above is closed at once; 0 for no limit.
};

/**
 * A listening port.
 * Thread safety: any thread. The io_context has to be stopped before the listener is destroyed.
 */
class HttpListener
{
    struct Private {
        explicit Private() = default;
    };

public:
    /**
     * Bind and listen.
     * @param io Context that runs the connections, each on a strand.
     * @param options Where to listen.
     * @param handlers What to do with requests.
     * @return The listener, or an error if the port can't be bound.
     */
    static Result<std::unique_ptr<HttpListener>> create(boost::asio::io_context &io, HttpListenerOptions options, HttpHandlers handlers);

    HttpListener(Private, boost::asio::io_context &io, HttpListenerOptions options, HttpHandlers handlers);

    /** Listen again on the port bound at first. @return An error if the port is taken. */
    Result<void> open();

    /** Stop listening; connections are refused from here on. */
    void close();

    /** Close all connections. */
    void closeConnections();

    /** Make all present connections silent. @return Their number. */
    std::size_t silenceConnections();

    /** Call a function for every present connection, each time on the strand of the connection. */
    void forEachConnection(const std::function<void(HttpConnection &)> &function) const;

    /** @return The address bound, as "IP:port". */
    std::string address() const;

    /** @return Connections held now. */
    std::size_t connectionCount() const;

    /** @return Connections closed at once because of the limit. */
    std::uint64_t connectionsOverLimit() const;

private:
    /** Connections held, shared with their closing callbacks. */
    struct Registry {
        mutable std::mutex mutex; ///< Guards the map.
        std::unordered_map<std::uint64_t, std::weak_ptr<HttpConnection>> connections; ///< By number.
    };

    void accept();
    void take(boost::asio::ip::tcp::socket socket);
    std::vector<HttpConnectionPtr> held() const;

    boost::asio::io_context &io; ///< Runs everything.
    HttpListenerOptions options; ///< Options, with the port bound.
    std::shared_ptr<const HttpHandlers> handlers; ///< Shared with the connections.
    std::shared_ptr<Registry> registry = std::make_shared<Registry>(); ///< Connections held.
    mutable std::mutex mutex; ///< Guards the acceptor.
    boost::asio::ip::tcp::acceptor acceptor; ///< The listening socket.
    std::atomic<std::uint64_t> accepted = 0; ///< Connections accepted.
    std::atomic<std::uint64_t> overLimit = 0; ///< Connections closed at once.
};

} // namespace Tanagertally::Standins
