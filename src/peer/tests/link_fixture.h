/** Test fixtures: entry instances that consist of peer links only, and a peer that can violate the protocol. */
#pragma once

#include "peer/cbor_document.h"
#include "peer/peer_codec.h"
#include "peer/peer_handshake.h"
#include "peer/peer_links.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <functional>
#include <thread>

namespace Tanagertally::PeerTests {

using namespace std::chrono_literals;
using SteadyClock = std::chrono::steady_clock;

constexpr Duration MaxWait = 10s; ///< Longest wait for an expected event.
inline const std::string SharedKey = "shared key of the tests";

/** @return Options with a short reconnect interval and a free port on the loopback interface. */
inline PeerLinksOptions makeOptions(const std::string &name, std::uint64_t incarnation)
{
    PeerLinksOptions options;
    options.identity.name = InstanceName(name);
    options.identity.domain = FailureDomain("dc1");
    options.identity.incarnation = Incarnation(incarnation);
    options.listen = NetAddress("127.0.0.1:0");
    options.sharedKey = SharedKey;
    options.reconnectInterval = 20ms;
    return options;
}

/** Peer links of one instance and the events that they pushed. */
struct TestInstance {
    EventQueue events; ///< Receives the link events.
    std::vector<Event> receivedEvents; ///< All events collected so far, in order.
    std::unique_ptr<PeerLinks> links;

    explicit TestInstance(const PeerLinksOptions &options)
    {
        auto created = PeerLinks::create(this->events, options);
        BOOST_TEST_REQUIRE(created.has_value());
        this->links = std::move(created.value());
    }
    explicit TestInstance(const std::string &name, std::uint64_t incarnation = 1)
        : TestInstance(makeOptions(name, incarnation))
    {
    }

    NetAddress address() const
    {
        return this->links->listenAddress();
    }
    void open(const TestInstance &other, bool isPersistent)
    {
        this->links->execute(OpenPeer{other.address(), isPersistent});
    }
    void send(PeerId peer, PeerMessage message)
    {
        this->links->execute(SendToPeer{peer, std::move(message)});
    }

    /** Moves events from the queue to `receivedEvents`, waiting up to a time for the first one. */
    void collectEvents(Duration time)
    {
        std::vector<Event> batch;
        this->events.popAll(SteadyClock::now() + time, batch);
        std::move(batch.begin(), batch.end(), std::back_inserter(this->receivedEvents));
    }
    /** Collects events until a condition is met or maxWait has passed. @return Whether the condition is met. */
    bool waitUntil(const std::function<bool()> &isMet, Duration maxWait = MaxWait)
    {
        const auto deadline = SteadyClock::now() + maxWait;
        while (!isMet() && SteadyClock::now() < deadline) {
            this->collectEvents(5ms);
        }
        return isMet();
    }
    template<typename T>
    std::vector<T> eventsOf() const
    {
        std::vector<T> found;
        for (const Event &event : this->receivedEvents) {
            if (const T *match = std::get_if<T>(&event)) {
                found.push_back(*match);
            }
        }
        return found;
    }
    template<typename T>
    bool waitForCount(std::size_t count, Duration maxWait = MaxWait)
    {
        return this->waitUntil([&] { return this->eventsOf<T>().size() >= count; }, maxWait);
    }
    /** Collects events until none arrives for a time, or until MaxWait has passed. */
    void waitUntilQuiet(Duration quiet = 150ms)
    {
        const auto deadline = SteadyClock::now() + MaxWait;
        std::size_t before = 0;
        do {
            before = this->receivedEvents.size();
            this->collectEvents(quiet);
        } while (this->receivedEvents.size() != before && SteadyClock::now() < deadline);
    }
    std::size_t upLinkCount() const
    {
        return this->eventsOf<PeerUp>().size() - this->eventsOf<PeerDown>().size();
    }
};

/** Links two instances. @return The link ids at the opener and at the other instance. */
inline std::pair<PeerId, PeerId> connectInstances(TestInstance &opener, TestInstance &other, bool isPersistent = true)
{
    opener.open(other, isPersistent);
    BOOST_TEST_REQUIRE(opener.waitForCount<PeerUp>(1));
    BOOST_TEST_REQUIRE(other.waitForCount<PeerUp>(1));
    return {opener.eventsOf<PeerUp>().back().peer, other.eventsOf<PeerUp>().back().peer};
}

/** First message that a fake peer sends on a connection. */
enum class FakeGreeting : std::uint8_t {
    Valid, ///< A valid greeting, followed by the rest of the handshake.
    OtherVersion, ///< A greeting with another protocol version.
    None, ///< No message.
    Garbage, ///< Bytes that are not a CBOR array.
};

/** A peer with a configurable greeting, whose transport thread can be blocked. */
struct FakePeer {
    FakeGreeting greeting; ///< First message on each connection.
    std::unique_ptr<PeerHandshake> handshake; ///< Handshake on its only connection.
    std::unique_ptr<WebsocketTransport> transport;
    std::atomic<bool> isAuthenticated{false}; ///< Whether the handshake succeeded.
    std::atomic<int> closedConnections{0}; ///< Number of connections that closed or failed to open.

    explicit FakePeer(FakeGreeting first)
        : greeting(first)
    {
        WebsocketTransportOptions options;
        options.listenAddress = "127.0.0.1:0";
        WebsocketTransportHandlers handlers;
        handlers.onOpened = [this](ConnectionHandle handle, ConnectionSide side) { this->onOpened(handle, side); };
        handlers.onMessage = [this](ConnectionHandle handle, const std::string &bytes) { this->onReceived(handle, bytes); };
        handlers.onControlFrame = [](ConnectionHandle) {};
        handlers.onClosed = [this](ConnectionHandle, std::uint16_t) { ++this->closedConnections; };
        std::string failure;
        this->transport = WebsocketTransport::create(options, std::move(handlers), failure);
        BOOST_TEST_REQUIRE(this->transport != nullptr);
        this->transport->start();
    }

    NetAddress address() const
    {
        return NetAddress(this->transport->listenAddress());
    }
    void onOpened(ConnectionHandle handle, ConnectionSide side)
    {
        const auto identity = makeOptions("fake", 77).identity;
        this->handshake = std::move(PeerHandshake::create(identity, SharedKey, side).value());
        if (this->greeting == FakeGreeting::Valid) {
            this->transport->send(handle, this->handshake->greeting());
        } else if (this->greeting == FakeGreeting::OtherVersion) {
            this->transport->send(handle, writeCbor(nlohmann::json::array({"tanagertally", PeerProtocolVersion + 1, 0, 0, "later"})));
        } else if (this->greeting == FakeGreeting::Garbage) {
            this->transport->send(handle, "hello there");
        }
    }
    void onReceived(ConnectionHandle handle, const std::string &bytes)
    {
        if (this->greeting != FakeGreeting::Valid || this->isAuthenticated) {
            return;
        }
        const HandshakeStep step = this->handshake->receive(bytes);
        if (const auto *proof = std::get_if<SendProof>(&step)) {
            this->transport->send(handle, proof->bytes);
        }
        this->isAuthenticated = std::holds_alternative<HandshakeDone>(step);
    }
    /** Blocks the transport's thread for a time, so that not even pings are answered. */
    void blockThread(Duration time)
    {
        this->transport->post([time] { std::this_thread::sleep_for(time); });
    }
};

} // namespace Tanagertally::PeerTests
