#include "peer/peer_links.h"

#include "peer/link_table.h"

#include <atomic>
#include <utility>

namespace Tanagertally {

struct PeerLinks::Impl {
    std::unique_ptr<LinkTable>
        table; ///< Created before the transport's thread starts; then used on that thread only, except for its counters.
    std::unique_ptr<WebsocketTransport> transport; ///< Declared after `table` to be destroyed first, which joins the thread.
    std::mutex closeMutex; ///< Serializes calls of close().
    std::atomic<bool> isClosed{false}; ///< Whether close() was called.

    /** Calls a function with the table on the transport's thread; does nothing after close(). */
    template<typename Function>
    void post(Function function)
    {
        if (!this->isClosed) {
            this->transport->post([this, function = std::move(function)] { function(*this->table); });
        }
    }

    WebsocketTransportHandlers makeHandlers()
    {
        WebsocketTransportHandlers handlers;
        handlers.onOpened = [this](ConnectionHandle handle, ConnectionSide side) { this->table->onConnectionOpened(handle, side); };
        handlers.onMessage = [this](ConnectionHandle handle, const std::string &bytes) { this->table->onMessageReceived(handle, bytes); };
        handlers.onControlFrame = [this](ConnectionHandle handle) { this->table->onControlFrameReceived(handle); };
        handlers.onClosed = [this](ConnectionHandle handle, std::uint16_t code) { this->table->onConnectionClosed(handle, code); };
        return handlers;
    }
};

namespace {

/** Validates the options. @return An error with code BadInput for the first invalid option. */
Result<void> checkOptions(const PeerLinksOptions &options)
{
    if (options.identity.name.empty()) {
        return makeError(ErrorCode::BadInput, "the instance name of the peer links must not be empty", "identity.name");
    }
    if (options.sharedKey.empty()) {
        return makeError(ErrorCode::BadInput, "the shared key of the peer links must not be empty", "sharedKey");
    }
    if (!WebsocketTransport::isNumericAddress(options.listen.value)) {
        return makeError(ErrorCode::BadInput, "expected a numeric IP:port to listen on for peer links", "listen");
    }
    if (options.reconnectInterval <= Duration::zero() || options.silenceTimeout <= Duration::zero()
        || options.handshakeTimeout <= Duration::zero()) {
        return makeError(ErrorCode::BadInput, "reconnectInterval, silenceTimeout and handshakeTimeout of peer links must be positive",
                         "reconnectInterval");
    }
    return boost::outcome_v2::success();
}

WebsocketTransportOptions makeTransportOptions(const PeerLinksOptions &options)
{
    WebsocketTransportOptions result;
    result.listenAddress = options.listen.value;
    result.maxMessageBytes = options.maxMessageBytes;
    // Longer than handshakeTimeout, so that LinkTable's own timer expires first on outgoing connections and counts them.
    result.openTimeout = std::chrono::ceil<std::chrono::milliseconds>(2 * options.handshakeTimeout);
    return result;
}

} // namespace

PeerLinks::PeerLinks(std::unique_ptr<Impl> implementation)
    : impl(std::move(implementation))
{
}

PeerLinks::~PeerLinks()
{
    this->close();
}

Result<std::unique_ptr<PeerLinks>> PeerLinks::create(EventQueue &events, PeerLinksOptions options)
{
    const auto checked = checkOptions(options);
    if (checked.has_error()) {
        return checked.error();
    }
    auto implementation = std::make_unique<Impl>();
    std::string failure;
    implementation->transport = WebsocketTransport::create(makeTransportOptions(options), implementation->makeHandlers(), failure);
    if (!implementation->transport) {
        return makeError(ErrorCode::Unavailable, "peer links: " + failure, "listen");
    }
    if (options.identity.peerAddress.empty()) {
        options.identity.peerAddress = NetAddress(implementation->transport->listenAddress());
    }
    implementation->table = std::make_unique<LinkTable>(events, std::move(options), *implementation->transport);
    implementation->transport->start();
    implementation->post([](LinkTable &table) { table.tick(); });
    return std::unique_ptr<PeerLinks>(new PeerLinks(std::move(implementation)));
}

void PeerLinks::execute(const OpenPeer &action)
{
    this->impl->post([action](LinkTable &table) { table.open(action); });
}

void PeerLinks::execute(const ClosePeer &action)
{
    this->impl->post([action](LinkTable &table) { table.close(action); });
}

void PeerLinks::execute(SendToPeer action)
{
    this->impl->post([action = std::move(action)](LinkTable &table) { table.send(action); });
}

void PeerLinks::close()
{
    const std::lock_guard lock(this->impl->closeMutex);
    this->impl->isClosed = true;
    this->impl->transport->shutDown();
}

NetAddress PeerLinks::listenAddress() const
{
    return NetAddress(this->impl->transport->listenAddress());
}

PeerLinksStats PeerLinks::stats() const
{
    return this->impl->table->counters.snapshot();
}

} // namespace Tanagertally
