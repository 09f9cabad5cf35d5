/** Entry instances with links and nothing else, and a peer that can misbehave. */
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

constexpr Duration Patience = 10s; ///< Longest wait for something that has to happen.
inline const std::string SharedKey = "shared key of the tests";

/** Set-up with short timeouts. */
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

/** An instance's links with the events they pushed. */
struct Node {
    EventQueue events; ///< Queue that the links push to.
    std::vector<Event> seen; ///< All events so far.
    std::unique_ptr<PeerLinks> links; ///< The links.

    explicit Node(const PeerLinksOptions &options)
    {
        auto created = PeerLinks::create(this->events, options);
        BOOST_TEST_REQUIRE(created.has_value());
        this->links = std::move(created.value());
    }
    explicit Node(const std::string &name, std::uint64_t incarnation = 1)
        : Node(makeOptions(name, incarnation))
    {
    }

    NetAddress address() const
    {
        return this->links->listenAddress();
    }
    void open(const Node &other, bool isStanding)
    {
        this->links->carryOut(OpenPeer{other.address(), isStanding});
    }
    void send(PeerId peer, PeerMessage message)
    {
        this->links->carryOut(SendToPeer{peer, std::move(message)});
    }

    /** Take the events that come within a time. */
    void collect(Duration time)
    {
        std::vector<Event> batch;
        this->events.drain(SteadyClock::now() + time, batch);
        std::move(batch.begin(), batch.end(), std::back_inserter(this->seen));
    }
    /** Wait until a condition holds. */
    bool await(const std::function<bool()> &holds, Duration patience = Patience)
    {
        const auto deadline = SteadyClock::now() + patience;
        while (!holds() && SteadyClock::now() < deadline) {
            this->collect(5ms);
        }
        return holds();
    }
    template<typename T>
    std::vector<T> all() const
    {
        std::vector<T> found;
        for (const Event &event : this->seen) {
            if (const T *match = std::get_if<T>(&event)) {
                found.push_back(*match);
            }
        }
        return found;
    }
    template<typename T>
    bool awaitCount(std::size_t count, Duration patience = Patience)
    {
        return this->await([&] { return this->all<T>().size() >= count; }, patience);
    }
    /** Wait until nothing has come for a time, or for as long as there is patience. */
    void settle(Duration quiet = 150ms)
    {
        const auto deadline = SteadyClock::now() + Patience;
        std::size_t before = 0;
        do {
            before = this->seen.size();
            this->collect(quiet);
        } while (this->seen.size() != before && SteadyClock::now() < deadline);
    }
    std::size_t upNow() const
    {
        return this->all<PeerUp>().size() - this->all<PeerDown>().size();
    }
};

/** Link two nodes and return the numbers of the link on both sides. */
inline std::pair<PeerId, PeerId> linkUp(Node &opener, Node &other, bool isStanding = true)
{
    opener.open(other, isStanding);
    BOOST_TEST_REQUIRE(opener.awaitCount<PeerUp>(1));
    BOOST_TEST_REQUIRE(other.awaitCount<PeerUp>(1));
    return {opener.all<PeerUp>().back().peer, other.all<PeerUp>().back().peer};
}

/** What a fake peer sends when a connection opens. */
enum class FakeGreeting : std::uint8_t {
    Proper, ///< Goes through the handshake.
    OtherVersion, ///< Says that it speaks another protocol version.
    None, ///< Says nothing.
    Garbage, ///< Sends bytes that are no greeting.
};

/** A peer that goes through the handshake, or doesn't, and whose thread can be blocked. */
struct FakePeer {
    FakeGreeting greeting; ///< What it sends first.
    std::unique_ptr<PeerHandshake> handshake; ///< Handshake on its one connection.
    std::unique_ptr<WebsocketTransport> transport; ///< Its connections.
    std::atomic<bool> isDone{false}; ///< Whether the handshake succeeded.
    std::atomic<int> closes{0}; ///< Connections that ended.

    explicit FakePeer(FakeGreeting first)
        : greeting(first)
    {
        WebsocketTransportOptions options;
        options.listenAddress = "127.0.0.1:0";
        WebsocketTransportHandlers handlers;
        handlers.opened = [this](ConnectionHandle handle, ConnectionSide side) { this->greet(handle, side); };
        handlers.received = [this](ConnectionHandle handle, const std::string &bytes) { this->receive(handle, bytes); };
        handlers.heard = [](ConnectionHandle) {};
        handlers.closed = [this](ConnectionHandle, std::uint16_t) { ++this->closes; };
        std::string failure;
        this->transport = WebsocketTransport::create(options, std::move(handlers), failure);
        BOOST_TEST_REQUIRE(this->transport != nullptr);
        this->transport->start();
    }

    NetAddress address() const
    {
        return NetAddress(this->transport->listenAddress());
    }
    void greet(ConnectionHandle handle, ConnectionSide side)
    {
        const auto identity = makeOptions("fake", 77).identity;
        this->handshake = std::move(PeerHandshake::create(identity, SharedKey, side).value());
        if (this->greeting == FakeGreeting::Proper) {
            this->transport->send(handle, this->handshake->greeting());
        } else if (this->greeting == FakeGreeting::OtherVersion) {
            this->transport->send(handle, writeCbor(nlohmann::json::array({"tanagertally", PeerProtocolVersion + 1, 0, 0, "later"})));
        } else if (this->greeting == FakeGreeting::Garbage) {
            this->transport->send(handle, "hello there");
        }
    }
    void receive(ConnectionHandle handle, const std::string &bytes)
    {
        if (this->greeting != FakeGreeting::Proper || this->isDone) {
            return;
        }
        const HandshakeStep step = this->handshake->receive(bytes);
        if (const auto *proof = std::get_if<SendProof>(&step)) {
            this->transport->send(handle, proof->bytes);
        }
        this->isDone = std::holds_alternative<HandshakeDone>(step);
    }
    /** Answer nothing, not even pings, for a time. */
    void block(Duration time)
    {
        this->transport->post([time] { std::this_thread::sleep_for(time); });
    }
};

} // namespace Tanagertally::PeerTests
