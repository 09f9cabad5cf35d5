#include "link_rig.h"
#include "peer/link_table.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

using namespace Tanagertally;
using namespace Tanagertally::PeerTests;

namespace {

/** A port that accepts connections into the backlog and never says a word. */
struct SilentServer {
    boost::asio::io_context io; ///< Not run.
    boost::asio::ip::tcp::acceptor acceptor{io, {boost::asio::ip::make_address("127.0.0.1"), 0}}; ///< Its port.

    NetAddress address() const
    {
        return NetAddress("127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port()));
    }
};

/** An address at which nothing listens. */
NetAddress closedAddress()
{
    return SilentServer().address();
}

} // namespace

BOOST_AUTO_TEST_SUITE(PeerLinksSuite)

BOOST_AUTO_TEST_CASE(BothSidesLearnWhoTheOtherIs)
{
    Node first("a", 11);
    Node second("b", 22);
    linkUp(first, second);
    const Hello atFirst = first.all<PeerUp>().front().hello;
    const Hello atSecond = second.all<PeerUp>().front().hello;
    BOOST_TEST(atFirst.identity.name.value == "b");
    BOOST_TEST(atFirst.identity.domain.value == "dc1");
    BOOST_TEST(atFirst.identity.incarnation.value == 22U);
    BOOST_TEST(atFirst.identity.peerAddress.value == second.address().value);
    BOOST_TEST(atSecond.identity.name.value == "a");
    BOOST_TEST(atSecond.identity.incarnation.value == 11U);
    first.settle();
    BOOST_TEST(first.seen.size() == 1U);
}

BOOST_AUTO_TEST_CASE(AWrongKeyIsRefusedOnBothSides)
{
    Node first("a");
    auto options = makeOptions("b", 2);
    options.sharedKey = "another key";
    Node second(options);
    first.open(second, false);
    BOOST_TEST(first.awaitCount<PeerUnreachable>(1));
    BOOST_TEST(second.await([&] { return second.links->stats().refusedKey == 1; }));
    BOOST_TEST(first.links->stats().refusedKey == 1U);
    first.settle();
    second.settle();
    BOOST_TEST(first.seen.size() == 1U);
    BOOST_TEST(second.seen.empty());
}

BOOST_AUTO_TEST_CASE(AnotherProtocolVersionIsRefused)
{
    Node node("a");
    FakePeer fake(FakeGreeting::OtherVersion);
    node.links->carryOut(OpenPeer{fake.address(), false});
    BOOST_TEST(node.awaitCount<PeerUnreachable>(1));
    BOOST_TEST(node.links->stats().refusedVersion == 1U);
    BOOST_TEST(node.all<PeerUp>().empty());
}

BOOST_AUTO_TEST_CASE(GarbageInsteadOfAGreetingIsRefused)
{
    Node node("a");
    FakePeer fake(FakeGreeting::Garbage);
    fake.transport->post([&] { fake.transport->connect(node.address().value); });
    BOOST_TEST(node.await([&] { return node.links->stats().malformed == 1; }));
    BOOST_TEST(node.await([&] { return fake.closes == 1; }));
    BOOST_TEST(node.seen.empty());
}

BOOST_AUTO_TEST_CASE(ALinkToItselfIsRefused)
{
    Node node("a");
    node.open(node, false);
    BOOST_TEST(node.awaitCount<PeerUnreachable>(1));
    BOOST_TEST(node.await([&] { return node.links->stats().refusedSelf > 0; }));
    BOOST_TEST(node.all<PeerUp>().empty());
}

BOOST_AUTO_TEST_CASE(WhenBothConnectAtOnceOneLinkIsLeft)
{
    constexpr int Rounds = 20;
    for (int round = 0; round < Rounds; ++round) {
        Node first("a");
        Node second("b");
        first.open(second, true);
        second.open(first, true);
        BOOST_TEST_REQUIRE(first.awaitCount<PeerUp>(1));
        BOOST_TEST_REQUIRE(second.awaitCount<PeerUp>(1));
        first.settle(60ms);
        second.settle(10ms);
        BOOST_TEST_REQUIRE(first.upNow() == 1U);
        BOOST_TEST_REQUIRE(second.upNow() == 1U);
        first.send(first.all<PeerUp>().back().peer, SlotRequest{1});
        second.send(second.all<PeerUp>().back().peer, SlotRequest{2});
        BOOST_TEST_REQUIRE(first.awaitCount<PeerMessageReceived>(1));
        BOOST_TEST_REQUIRE(second.awaitCount<PeerMessageReceived>(1));
        BOOST_TEST_REQUIRE(first.links->stats().opened < 5U);
    }
}

BOOST_AUTO_TEST_CASE(TwoAddressesOfOnePeerMakeOneLink)
{
    Node first("a");
    auto options = makeOptions("b", 1);
    options.listen = NetAddress("0.0.0.0:0");
    options.identity.peerAddress = NetAddress("127.0.0.1:1");
    Node second(options);
    const std::string port = second.address().value.substr(second.address().value.rfind(':'));
    first.links->carryOut(OpenPeer{NetAddress("127.0.0.1" + port), true});
    first.links->carryOut(OpenPeer{NetAddress("127.0.0.2" + port), true});
    BOOST_TEST_REQUIRE(first.awaitCount<PeerUp>(1));
    first.settle(300ms);
    second.settle(10ms);
    BOOST_TEST(first.seen.size() == 1U);
    BOOST_TEST(second.seen.size() == 1U);
}

BOOST_AUTO_TEST_CASE(ANewIncarnationTakesThePlaceOfTheOld)
{
    Node node("a");
    Node old("b", 1);
    linkUp(old, node);
    Node fresh("b", 2);
    fresh.open(node, true);
    BOOST_TEST_REQUIRE(node.awaitCount<PeerUp>(2));
    BOOST_TEST(node.all<PeerDown>().size() == 1U);
    BOOST_TEST((node.all<PeerDown>().front().peer == node.all<PeerUp>().front().peer));
    BOOST_TEST((node.all<PeerUp>().back().peer != node.all<PeerUp>().front().peer));
    BOOST_TEST(node.all<PeerUp>().back().hello.identity.incarnation.value == 2U);
    BOOST_TEST(node.await([&] { return node.links->stats().refusedStale > 1; }));
    BOOST_TEST(node.upNow() == 1U);
}

BOOST_AUTO_TEST_CASE(AServerThatStaysSilentIsGivenUp)
{
    auto options = makeOptions("a", 1);
    options.handshakeTimeout = 200ms;
    Node node(options);
    const SilentServer server;
    const auto start = SteadyClock::now();
    node.links->carryOut(OpenPeer{server.address(), false});
    BOOST_TEST(node.awaitCount<PeerUnreachable>(1));
    BOOST_TEST((SteadyClock::now() - start < 1s));
    BOOST_TEST(node.links->stats().handshakeTimeouts == 1U);
}

BOOST_AUTO_TEST_CASE(AnAcceptedConnectionThatNeverGreetsIsClosed)
{
    auto options = makeOptions("a", 1);
    options.handshakeTimeout = 200ms;
    Node node(options);
    FakePeer fake(FakeGreeting::None);
    fake.transport->post([&] { fake.transport->connect(node.address().value); });
    BOOST_TEST(node.await([&] { return fake.closes == 1; }));
    BOOST_TEST(node.links->stats().handshakeTimeouts == 1U);
    BOOST_TEST(node.seen.empty());
}

BOOST_AUTO_TEST_CASE(ALinkThatFallsSilentIsClosedWithoutWaiting)
{
    auto options = makeOptions("a", 1);
    options.silenceTimeout = 200ms;
    Node node(options);
    FakePeer fake(FakeGreeting::Proper);
    node.links->carryOut(OpenPeer{fake.address(), false});
    BOOST_TEST_REQUIRE(node.awaitCount<PeerUp>(1));
    node.settle(600ms);
    BOOST_TEST(node.upNow() == 1U); // Pongs alone keep it up.
    const auto start = SteadyClock::now();
    fake.block(3s);
    BOOST_TEST(node.awaitCount<PeerDown>(1));
    BOOST_TEST((SteadyClock::now() - start < 1500ms));
    BOOST_TEST(node.links->stats().silences == 1U);
}

BOOST_AUTO_TEST_CASE(APauseOfTheLinksThreadIsNoSilence)
{
    auto options = makeOptions("a", 1);
    options.silenceTimeout = 200ms;
    FakePeer fake(FakeGreeting::Proper);
    EventQueue events;
    std::unique_ptr<LinkTable> table;
    WebsocketTransportHandlers handlers;
    handlers.opened = [&](ConnectionHandle handle, ConnectionSide side) { table->connectionOpened(handle, side); };
    handlers.received = [&](ConnectionHandle handle, const std::string &bytes) { table->connectionReceived(handle, bytes); };
    handlers.heard = [&](ConnectionHandle handle) { table->connectionHeard(handle); };
    handlers.closed = [&](ConnectionHandle handle, std::uint16_t code) { table->connectionClosed(handle, code); };
    WebsocketTransportOptions transportOptions;
    transportOptions.listenAddress = options.listen.value;
    std::string failure;
    const auto transport = WebsocketTransport::create(transportOptions, std::move(handlers), failure);
    table = std::make_unique<LinkTable>(events, options, *transport);
    transport->start();
    transport->post([&] {
        table->tick();
        table->open({fake.address(), false});
    });
    std::vector<Event> batch;
    events.drain(SteadyClock::now() + Patience, batch);
    BOOST_TEST_REQUIRE(batch.size() == 1U);
    BOOST_TEST(std::holds_alternative<PeerUp>(batch.front()));
    for (int pause = 0; pause < 3; ++pause) {
        transport->post([] { std::this_thread::sleep_for(500ms); });
        events.drain(SteadyClock::now() + 700ms, batch);
        BOOST_TEST(batch.empty());
    }
}

BOOST_AUTO_TEST_CASE(AStandingLinkComesBackUnderANewNumber)
{
    Node first("a");
    auto options = makeOptions("b", 1);
    auto second = std::make_unique<Node>(options);
    options.listen = second->address();
    const PeerId before = linkUp(first, *second).first;
    second.reset();
    BOOST_TEST_REQUIRE(first.awaitCount<PeerDown>(1));
    options.identity.incarnation = Incarnation(2);
    Node again(options);
    BOOST_TEST_REQUIRE(first.awaitCount<PeerUp>(2));
    BOOST_TEST((first.all<PeerUp>().back().peer != before));
    BOOST_TEST(first.all<PeerUnreachable>().empty());
}

BOOST_AUTO_TEST_CASE(AClosedLinkStaysClosed)
{
    Node first("a");
    Node second("b");
    linkUp(first, second);
    first.links->carryOut(ClosePeer{second.address()});
    BOOST_TEST(first.awaitCount<PeerDown>(1));
    BOOST_TEST(second.awaitCount<PeerDown>(1));
    first.settle();
    second.settle();
    BOOST_TEST(first.seen.size() == 2U);
    BOOST_TEST(second.seen.size() == 2U);
}

BOOST_AUTO_TEST_CASE(ASingleTryIsReportedUnreachableOnce)
{
    Node node("a");
    const NetAddress address = closedAddress();
    node.links->carryOut(OpenPeer{address, false});
    BOOST_TEST_REQUIRE(node.awaitCount<PeerUnreachable>(1));
    node.settle(300ms);
    BOOST_TEST_REQUIRE(node.seen.size() == 1U);
    BOOST_TEST(node.all<PeerUnreachable>().front().address.value == address.value);
    node.links->carryOut(OpenPeer{NetAddress("no address"), false});
    BOOST_TEST(node.awaitCount<PeerUnreachable>(2));
}

BOOST_AUTO_TEST_CASE(ASingleTryOnAStandingAddressIsReportedOnce)
{
    Node node("a");
    const NetAddress address = closedAddress();
    node.links->carryOut(OpenPeer{address, true});
    node.settle();
    BOOST_TEST(node.seen.empty());
    node.links->carryOut(OpenPeer{address, false});
    BOOST_TEST_REQUIRE(node.awaitCount<PeerUnreachable>(1));
    node.settle(300ms);
    BOOST_TEST(node.seen.size() == 1U);
}

BOOST_AUTO_TEST_CASE(ASingleTryWhileALinkIsUpPushesNothing)
{
    Node first("a");
    Node second("b");
    linkUp(second, first);
    first.open(second, false);
    first.settle();
    BOOST_TEST(first.seen.size() == 1U);
}

BOOST_AUTO_TEST_CASE(BigMessagesArriveAndTooBigOnesEndTheLink)
{
    auto options = makeOptions("a", 1);
    options.silenceTimeout = 1min; // So that a slow build ends the link for the message's size only.
    Node first(options);
    options.identity.name = InstanceName("b");
    Node second(options);
    const PeerId link = linkUp(first, second, false).first;
    std::string json(15U << 20, 'x');
    json.back() = '!';
    first.send(link, QueryRows{ForwardId(5), json});
    BOOST_TEST_REQUIRE(second.awaitCount<PeerMessageReceived>(1));
    const auto received = second.all<PeerMessageReceived>().front();
    BOOST_TEST((std::get<QueryRows>(received.message).json == json));
    first.send(link, QueryRows{ForwardId(6), std::string(16U << 20, 'x')});
    BOOST_TEST(first.awaitCount<PeerDown>(1));
    BOOST_TEST(second.awaitCount<PeerDown>(1));
    BOOST_TEST(first.links->stats().overflows == 1U);
}

BOOST_AUTO_TEST_CASE(ALinkThatTakesNothingIsClosedAtTheSendLimit)
{
    auto options = makeOptions("a", 1);
    options.silenceTimeout = 1min;
    options.maxSendBufferBytes = 4U << 20;
    Node node(options);
    FakePeer fake(FakeGreeting::Proper);
    node.links->carryOut(OpenPeer{fake.address(), false});
    BOOST_TEST_REQUIRE(node.awaitCount<PeerUp>(1));
    fake.block(2s);
    const PeerId link = node.all<PeerUp>().front().peer;
    for (int message = 0; message < 32; ++message) {
        node.send(link, QueryRows{ForwardId(1), std::string(1U << 20, 'x')});
    }
    BOOST_TEST(node.awaitCount<PeerDown>(1, 1500ms));
    BOOST_TEST(node.links->stats().overflows == 1U);
}

BOOST_AUTO_TEST_CASE(MessagesKeepTheirOrder)
{
    constexpr std::uint32_t Messages = 3'000;
    Node first("a");
    Node second("b");
    const auto [atFirst, atSecond] = linkUp(first, second);
    for (std::uint32_t number = 0; number < Messages; ++number) {
        first.send(atFirst, SlotRequest{number});
        second.send(atSecond, SlotRequest{number});
    }
    for (Node *node : {&first, &second}) {
        BOOST_TEST_REQUIRE(node->awaitCount<PeerMessageReceived>(Messages));
        const auto received = node->all<PeerMessageReceived>();
        for (std::uint32_t number = 0; number < Messages; ++number) {
            BOOST_TEST_REQUIRE(std::get<SlotRequest>(received[number].message).slots == number);
        }
    }
}

BOOST_AUTO_TEST_CASE(WhatWasSentBeforeClosingArrives)
{
    Node first("a");
    Node second("b");
    const PeerId link = linkUp(first, second).first;
    for (std::uint32_t number = 0; number < 100; ++number) {
        first.send(link, SlotRequest{number});
    }
    first.links->close();
    BOOST_TEST(second.awaitCount<PeerDown>(1));
    BOOST_TEST(second.all<PeerMessageReceived>().size() == 100U);
    first.links->close();
    first.send(link, SlotRequest{1});
}

BOOST_AUTO_TEST_SUITE_END()
