// Compiled as C++17; see docs/PEERS.md.
#include "peer/websocket_transport.h"

#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

#include <algorithm>
#include <atomic>
#include <list>
#include <optional>
#include <thread>
#include <unordered_map>
#include <utility>

namespace Tanagertally {

namespace {

constexpr std::size_t MaxHttpBodyBytes = 1024;
constexpr std::size_t SocketReadBufferBytes = 16384;
constexpr std::uint16_t CloseGoingAway = 1001;
constexpr auto ShutDownCheckInterval = std::chrono::milliseconds(2);

/** Configuration of client and server connections; sharing it makes them the same type. */
struct TransportConfig : websocketpp::config::asio_client {
    static const std::size_t connection_read_buffer_size = SocketReadBufferBytes; // NOLINT(readability-identifier-naming)
};

using Server = websocketpp::server<TransportConfig>;
using Client = websocketpp::client<TransportConfig>;
using Connection = websocketpp::connection<TransportConfig>;
using TcpEndpoint = boost::asio::ip::tcp::endpoint;

/** A connection that was accepted and may be closed already. */
struct AcceptedConnection {
    std::weak_ptr<Connection> connection;
    bool hasRaisedLimit = false; ///< Whether raiseMessageLimit() was called for it.
};

/** Parses a numeric "IP:port" or "[IP]:port". */
std::optional<TcpEndpoint> parseAddress(const std::string &text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0 || colon + 1 == text.size() || text.size() - colon > 6) {
        return std::nullopt;
    }
    std::string host = text.substr(0, colon);
    if (host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    unsigned port = 0;
    for (const char digit : text.substr(colon + 1)) {
        if (digit < '0' || digit > '9') {
            return std::nullopt;
        }
        port = port * 10 + static_cast<unsigned>(digit - '0');
    }
    boost::system::error_code failure;
    const auto ip = boost::asio::ip::make_address(host, failure);
    if (failure || port > 65535) {
        return std::nullopt;
    }
    return TcpEndpoint(ip, static_cast<std::uint16_t>(port));
}

/** Makes websocketpp detect the byte order before threads start; it caches the result in a static variable without synchronization. */
void initializeByteOrder()
{
    static const std::uint64_t zero = websocketpp::lib::net::_htonll(0);
    static_cast<void>(zero);
}

std::string formatAddress(const TcpEndpoint &endpoint)
{
    const std::string host = endpoint.address().to_string();
    const std::string port = std::to_string(endpoint.port());
    return endpoint.address().is_v6() ? "[" + host + "]:" + port : host + ":" + port;
}

} // namespace

struct WebsocketTransport::Impl {
    WebsocketTransportOptions options;
    WebsocketTransportHandlers handlers;
    boost::asio::io_context io{1}; ///< Event loop, run by `thread` only.
    Server server; ///< Accepts connections.
    Client client; ///< Opens connections.
    std::unordered_map<ConnectionHandle, Connection::ptr> connections; ///< Opening, open and closing connections.
    std::list<AcceptedConnection> accepted; ///< Accepted connections in the order of acceptance, some of them closed.
    ConnectionHandle lastHandle = 0; ///< Last handle assigned.
    std::string boundAddress; ///< Address listened on, with the actual port.
    std::optional<boost::asio::executor_work_guard<boost::asio::io_context::executor_type>>
        workGuard; ///< Keeps `io` running while it has no work.
    std::thread thread; ///< Runs `io`.
    std::atomic<bool> isShuttingDown{false}; ///< Set by shutDown(); no handler is called afterwards.

    bool listen(std::string &error)
    {
        const auto endpoint = parseAddress(this->options.listenAddress);
        if (!endpoint) {
            error = "listen address is not a numeric IP:port";
            return false;
        }
        this->configure(this->client);
        this->configure(this->server);
        this->server.set_reuse_addr(true);
        websocketpp::lib::error_code failure;
        this->server.listen(*endpoint, failure);
        if (failure) {
            error = "can't listen: " + failure.message();
            return false;
        }
        boost::system::error_code addressError;
        this->boundAddress = formatAddress(this->server.get_local_endpoint(addressError));
        this->server.set_tcp_pre_init_handler(
            [this](websocketpp::connection_hdl hdl) { this->limitAccepted(this->server.get_con_from_hdl(std::move(hdl))); });
        this->server.set_open_handler(
            [this](websocketpp::connection_hdl hdl) { this->onAccepted(this->server.get_con_from_hdl(std::move(hdl))); });
        this->server.start_accept(failure);
        return !failure;
    }

    template<typename Role>
    void configure(Role &role)
    {
        role.clear_access_channels(websocketpp::log::alevel::all);
        role.clear_error_channels(websocketpp::log::elevel::all);
        role.init_asio(&this->io);
        role.set_user_agent("");
        role.set_max_http_body_size(MaxHttpBodyBytes);
        role.set_max_message_size(this->options.maxUnauthenticatedMessageBytes);
        role.set_open_handshake_timeout(static_cast<long>(this->options.openTimeout.count()));
        role.set_close_handshake_timeout(static_cast<long>(this->options.closeTimeout.count()));
    }

    void startThread()
    {
        this->workGuard.emplace(this->io.get_executor());
        this->thread = std::thread([this] { this->runEventLoop(); });
    }

    /** Runs the event loop until it is stopped. An exception thrown by websocketpp ends only the current handler, not the process. */
    void runEventLoop()
    {
        while (!this->io.stopped()) {
            try {
                this->io.run();
            } catch (const std::exception &) {
                continue;
            }
        }
    }

    /** Assigns a handle to a connection and installs its callbacks. */
    ConnectionHandle registerConnection(const Connection::ptr &connection)
    {
        const ConnectionHandle handle = ++this->lastHandle;
        this->connections.emplace(handle, connection);
        connection->set_message_handler([this, handle](const websocketpp::connection_hdl &, const Connection::message_ptr &message) {
            if (this->canNotify(handle)) {
                this->handlers.onMessage(handle, message->get_payload());
            }
        });
        connection->set_ping_handler([this, handle](const websocketpp::connection_hdl &, const std::string &) {
            this->onControlFrame(handle);
            return true;
        });
        connection->set_pong_handler(
            [this, handle](const websocketpp::connection_hdl &, const std::string &) { this->onControlFrame(handle); });
        connection->set_close_handler([this, handle](const websocketpp::connection_hdl &) { this->onClosed(handle); });
        connection->set_fail_handler([this, handle](const websocketpp::connection_hdl &) { this->onClosed(handle); });
        return handle;
    }

    bool canNotify(ConnectionHandle handle) const
    {
        return !this->isShuttingDown && this->connections.count(handle) > 0;
    }

    void onControlFrame(ConnectionHandle handle)
    {
        if (this->canNotify(handle)) {
            this->handlers.onControlFrame(handle);
        }
    }

    /** Counts an accepted connection before its handshake, and closes another one or itself if there are too many. */
    void limitAccepted(const Connection::ptr &connection)
    {
        this->accepted.remove_if([](const AcceptedConnection &entry) { return entry.connection.expired(); });
        if (this->accepted.size() >= this->options.maxAcceptedConnections) {
            const auto oldest = std::find_if(this->accepted.begin(), this->accepted.end(),
                                             [](const AcceptedConnection &entry) { return !entry.hasRaisedLimit; });
            if (oldest == this->accepted.end()) {
                closeSocket(connection);
                return;
            }
            if (const Connection::ptr evicted = oldest->connection.lock()) {
                closeSocket(evicted);
            }
            this->accepted.erase(oldest);
        }
        this->accepted.push_back({connection, false});
    }

    void onAccepted(const Connection::ptr &connection)
    {
        if (this->isShuttingDown) {
            closeSocket(connection);
            return;
        }
        this->onOpened(this->registerConnection(connection), connection, ConnectionSide::Acceptor);
    }

    void onOpened(ConnectionHandle handle, const Connection::ptr &connection, ConnectionSide side)
    {
        boost::system::error_code ignored;
        connection->get_raw_socket().set_option(boost::asio::ip::tcp::no_delay(true), ignored);
        if (this->canNotify(handle)) {
            this->handlers.onOpened(handle, side);
            return;
        }
        closeSocket(connection);
    }

    void onClosed(ConnectionHandle handle)
    {
        const auto found = this->connections.find(handle);
        if (found == this->connections.end()) {
            return;
        }
        const std::uint16_t code = found->second->get_remote_close_code();
        this->connections.erase(found);
        if (!this->isShuttingDown) {
            this->handlers.onClosed(handle, code);
        }
    }

    /** Closes the socket below websocketpp, whose pending operations then fail at once and release the connection. */
    static void closeSocket(const Connection::ptr &connection)
    {
        boost::system::error_code ignored;
        connection->get_raw_socket().close(ignored);
    }

    void startShutDown()
    {
        websocketpp::lib::error_code failure;
        this->server.stop_listening(failure);
        const auto open = this->connections;
        for (const auto &entry : open) {
            entry.second->close(CloseGoingAway, "", failure);
            if (failure) {
                closeSocket(entry.second);
            }
        }
        this->awaitShutDown(std::chrono::steady_clock::now() + this->options.closeTimeout);
    }

    void awaitShutDown(std::chrono::steady_clock::time_point deadline)
    {
        if (this->connections.empty() || std::chrono::steady_clock::now() >= deadline) {
            this->io.stop();
            return;
        }
        this->callAfter(ShutDownCheckInterval, [this, deadline] { this->awaitShutDown(deadline); });
    }

    void callAfter(std::chrono::nanoseconds delay, std::function<void()> task)
    {
        auto timer = std::make_shared<boost::asio::steady_timer>(this->io, delay);
        timer->async_wait([timer, task = std::move(task)](const boost::system::error_code &failure) {
            if (!failure) {
                task();
            }
        });
    }
};

WebsocketTransport::WebsocketTransport(std::unique_ptr<Impl> implementation)
    : impl(std::move(implementation))
{
}

WebsocketTransport::~WebsocketTransport()
{
    this->shutDown();
}

std::unique_ptr<WebsocketTransport> WebsocketTransport::create(const WebsocketTransportOptions &options,
                                                               WebsocketTransportHandlers handlers, std::string &error)
{
    initializeByteOrder();
    auto implementation = std::make_unique<Impl>();
    implementation->options = options;
    implementation->handlers = std::move(handlers);
    if (!implementation->listen(error)) {
        return nullptr;
    }
    return std::unique_ptr<WebsocketTransport>(new WebsocketTransport(std::move(implementation)));
}

void WebsocketTransport::start()
{
    this->impl->startThread();
}

bool WebsocketTransport::isNumericAddress(const std::string &text)
{
    return parseAddress(text).has_value();
}

const std::string &WebsocketTransport::listenAddress() const
{
    return this->impl->boundAddress;
}

void WebsocketTransport::post(std::function<void()> task)
{
    boost::asio::post(this->impl->io, std::move(task));
}

void WebsocketTransport::callAfter(std::chrono::nanoseconds delay, std::function<void()> task)
{
    this->impl->callAfter(delay, std::move(task));
}

ConnectionHandle WebsocketTransport::connect(const std::string &address)
{
    const auto endpoint = parseAddress(address);
    if (!endpoint) {
        return 0;
    }
    websocketpp::lib::error_code failure;
    const Connection::ptr connection = this->impl->client.get_connection("ws://" + formatAddress(*endpoint) + "/", failure);
    if (failure) {
        return 0;
    }
    const ConnectionHandle handle = this->impl->registerConnection(connection);
    connection->set_open_handler([implementation = this->impl.get(), handle](websocketpp::connection_hdl hdl) {
        implementation->onOpened(handle, implementation->client.get_con_from_hdl(std::move(hdl)), ConnectionSide::Connector);
    });
    this->impl->client.connect(connection);
    return handle;
}

std::size_t WebsocketTransport::send(ConnectionHandle handle, const std::string &bytes)
{
    const auto found = this->impl->connections.find(handle);
    if (found == this->impl->connections.end()) {
        return 0;
    }
    found->second->send(bytes.data(), bytes.size(), websocketpp::frame::opcode::binary);
    return found->second->get_buffered_amount();
}

void WebsocketTransport::ping(ConnectionHandle handle)
{
    const auto found = this->impl->connections.find(handle);
    if (found != this->impl->connections.end()) {
        websocketpp::lib::error_code ignored;
        found->second->ping("", ignored);
    }
}

void WebsocketTransport::raiseMessageLimit(ConnectionHandle handle)
{
    const auto found = this->impl->connections.find(handle);
    if (found != this->impl->connections.end()) {
        found->second->set_max_message_size(this->impl->options.maxMessageBytes);
        for (AcceptedConnection &entry : this->impl->accepted) {
            entry.hasRaisedLimit = entry.hasRaisedLimit || entry.connection.lock() == found->second;
        }
    }
}

void WebsocketTransport::close(ConnectionHandle handle, std::uint16_t code)
{
    const auto found = this->impl->connections.find(handle);
    if (found != this->impl->connections.end()) {
        websocketpp::lib::error_code ignored;
        found->second->close(code, "", ignored);
    }
}

void WebsocketTransport::abort(ConnectionHandle handle)
{
    const auto found = this->impl->connections.find(handle);
    if (found == this->impl->connections.end()) {
        return;
    }
    const Connection::ptr connection = found->second;
    this->impl->connections.erase(found);
    Impl::closeSocket(connection);
}

void WebsocketTransport::shutDown()
{
    if (!this->impl->thread.joinable()) {
        return;
    }
    this->impl->isShuttingDown = true;
    this->post([implementation = this->impl.get()] { implementation->startShutDown(); });
    this->impl->thread.join();
    this->impl->connections.clear();
}

} // namespace Tanagertally
