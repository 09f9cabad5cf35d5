#include "link_fixture.h"
#include "peer/link_table.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

using namespace Tanagertally;
using namespace Tanagertally::PeerTests;

namespace {

/** A listening socket that never accepts: TCP connections to it stay in the backlog and nothing is ever sent on them. */
struct SilentServer {
    boost::asio::io_context io; ///< Never run.
    boost::asio::ip::tcp::acceptor acceptor{io, {boost::asio::ip::make_address("127.0.0.1"), 0}}; ///< Listens on a free port.

    NetAddress address() const
    {
        return NetAddress("127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port()));
    }
};

/** @return An address on which nothing listens. */
NetAddress unusedAddress()
{
    return SilentServer().address();
}

} // namespace

BOOST_AUTO_TEST_SUITE(PeerLinksSuite)

BOOST_AUTO_TEST_CASE(TheHandshakeExchangesIdentities)
{
    TestInstance first("a", 11);
    TestInstance second("b", 22);
    connectInstances(first, second);
    const Hello atFirst = first.eventsOf<PeerUp>().front().hello;
    const Hello atSecond = second.eventsOf<PeerUp>().front().hello;
    BOOST_TEST(atFirst.identity.name.value == "b");
    BOOST_TEST(atFirst.identity.domain.value == "dc1");
    BOOST_TEST(atFirst.identity.incarnation.value == 22U);
    BOOST_TEST(atFirst.identity.peerAddress.value == second.address().value);
    BOOST_TEST(atSecond.identity.name.value == "a");
    BOOST_TEST(atSecond.identity.incarnation.value == 11U);
    first.waitUntilQuiet();
    BOOST_TEST(first.receivedEvents.size() == 1U);
}

BOOST_AUTO_TEST_CASE(AWrongKeyIsRefusedOnBothSides)
{
    TestInstance first("a");
    auto options = makeOptions("b", 2);
    options.sharedKey = "another key";
    TestInstance second(options);
    first.open(second, false);
    BOOST_TEST(first.waitForCount<PeerUnreachable>(1));
    BOOST_TEST(second.waitUntil([&] { return second.links->stats().wrongKeyRefusals == 1; }));
    BOOST_TEST(first.links->stats().wrongKeyRefusals == 1U);
    first.waitUntilQuiet();
    second.waitUntilQuiet();
    BOOST_TEST(first.receivedEvents.size() == 1U);
    BOOST_TEST(second.receivedEvents.empty());
}

BOOST_AUTO_TEST_CASE(AnotherProtocolVersionIsRefused)
{
    TestInstance instance("a");
    FakePeer fake(FakeGreeting::OtherVersion);
    instance.links->execute(OpenPeer{fake.address(), false});
    BOOST_TEST(instance.waitForCount<PeerUnreachable>(1));
    BOOST_TEST(instance.links->stats().wrongVersionRefusals == 1U);
    BOOST_TEST(instance.eventsOf<PeerUp>().empty());
}

BOOST_AUTO_TEST_CASE(GarbageInsteadOfAGreetingIsRefused)
{
    TestInstance instance("a");
    FakePeer fake(FakeGreeting::Garbage);
    fake.transport->post([&] { fake.transport->connect(instance.address().value); });
    BOOST_TEST(instance.waitUntil([&] { return instance.links->stats().malformedMessages == 1; }));
    BOOST_TEST(instance.waitUntil([&] { return fake.closedConnections == 1; }));
    BOOST_TEST(instance.receivedEvents.empty());
}

BOOST_AUTO_TEST_CASE(ALinkToItselfIsRefused)
{
    TestInstance instance("a");
    instance.open(instance, false);
    BOOST_TEST(instance.waitForCount<PeerUnreachable>(1));
    BOOST_TEST(instance.waitUntil([&] { return instance.links->stats().selfRefusals > 0; }));
    BOOST_TEST(instance.eventsOf<PeerUp>().empty());
}

BOOST_AUTO_TEST_CASE(SimultaneousConnectsLeaveOneLink)
{
    constexpr int Rounds = 20;
    for (int round = 0; round < Rounds; ++round) {
        TestInstance first("a");
        TestInstance second("b");
        first.open(second, true);
        second.open(first, true);
        BOOST_TEST_REQUIRE(first.waitForCount<PeerUp>(1));
        BOOST_TEST_REQUIRE(second.waitForCount<PeerUp>(1));
        first.waitUntilQuiet(60ms);
        second.waitUntilQuiet(10ms);
        BOOST_TEST_REQUIRE(first.upLinkCount() == 1U);
        BOOST_TEST_REQUIRE(second.upLinkCount() == 1U);
        first.send(first.eventsOf<PeerUp>().back().peer, SlotRequest{1});
        second.send(second.eventsOf<PeerUp>().back().peer, SlotRequest{2});
        BOOST_TEST_REQUIRE(first.waitForCount<PeerMessageReceived>(1));
        BOOST_TEST_REQUIRE(second.waitForCount<PeerMessageReceived>(1));
        BOOST_TEST_REQUIRE(first.links->stats().openedLinks < 5U);
    }
}

BOOST_AUTO_TEST_CASE(TwoAddressesOfOnePeerMakeOneLink)
{
    TestInstance first("a");
    auto options = makeOptions("b", 1);
    options.listen = NetAddress("0.0.0.0:0");
    options.identity.peerAddress = NetAddress("127.0.0.1:1");
    TestInstance second(options);
    const std::string port = second.address().value.substr(second.address().value.rfind(':'));
    first.links->execute(OpenPeer{NetAddress("127.0.0.1" + port), true});
    first.links->execute(OpenPeer{NetAddress("127.0.0.2" + port), true});
    BOOST_TEST_REQUIRE(first.waitForCount<PeerUp>(1));
    first.waitUntilQuiet(300ms);
    second.waitUntilQuiet(10ms);
    BOOST_TEST(first.receivedEvents.size() == 1U);
    BOOST_TEST(second.receivedEvents.size() == 1U);
}

BOOST_AUTO_TEST_CASE(ANewIncarnationReplacesTheOldOne)
{
    TestInstance instance("a");
    TestInstance old("b", 1);
    connectInstances(old, instance);
    TestInstance restarted("b", 2);
    restarted.open(instance, true);
    BOOST_TEST_REQUIRE(instance.waitForCount<PeerUp>(2));
    BOOST_TEST(instance.eventsOf<PeerDown>().size() == 1U);
    BOOST_TEST((instance.eventsOf<PeerDown>().front().peer == instance.eventsOf<PeerUp>().front().peer));
    BOOST_TEST((instance.eventsOf<PeerUp>().back().peer != instance.eventsOf<PeerUp>().front().peer));
    BOOST_TEST(instance.eventsOf<PeerUp>().back().hello.identity.incarnation.value == 2U);
    BOOST_TEST(instance.waitUntil([&] { return instance.links->stats().staleRefusals > 1; }));
    BOOST_TEST(instance.upLinkCount() == 1U);
}

BOOST_AUTO_TEST_CASE(ConnectingToASilentServerTimesOut)
{
    auto options = makeOptions("a", 1);
    options.handshakeTimeout = 200ms;
    TestInstance instance(options);
    const SilentServer server;
    const auto start = SteadyClock::now();
    instance.links->execute(OpenPeer{server.address(), false});
    BOOST_TEST(instance.waitForCount<PeerUnreachable>(1));
    BOOST_TEST((SteadyClock::now() - start < 1s));
    BOOST_TEST(instance.links->stats().handshakeTimeouts == 1U);
}

BOOST_AUTO_TEST_CASE(AnAcceptedConnectionWithoutAGreetingTimesOut)
{
    auto options = makeOptions("a", 1);
    options.handshakeTimeout = 200ms;
    TestInstance instance(options);
    FakePeer fake(FakeGreeting::None);
    fake.transport->post([&] { fake.transport->connect(instance.address().value); });
    BOOST_TEST(instance.waitUntil([&] { return fake.closedConnections == 1; }));
    BOOST_TEST(instance.links->stats().handshakeTimeouts == 1U);
    BOOST_TEST(instance.receivedEvents.empty());
}

BOOST_AUTO_TEST_CASE(AnUnresponsiveLinkIsClosedAfterTheSilenceTimeout)
{
    auto options = makeOptions("a", 1);
    options.silenceTimeout = 200ms;
    TestInstance instance(options);
    FakePeer fake(FakeGreeting::Valid);
    instance.links->execute(OpenPeer{fake.address(), false});
    BOOST_TEST_REQUIRE(instance.waitForCount<PeerUp>(1));
    instance.waitUntilQuiet(600ms);
    BOOST_TEST(instance.upLinkCount() == 1U); // Pongs alone prevent the silence timeout.
    const auto start = SteadyClock::now();
    fake.blockThread(3s);
    BOOST_TEST(instance.waitForCount<PeerDown>(1));
    BOOST_TEST((SteadyClock::now() - start < 1500ms));
    BOOST_TEST(instance.links->stats().silenceTimeouts == 1U);
}

BOOST_AUTO_TEST_CASE(APausedTransportThreadTimesOutNoLink)
{
    auto options = makeOptions("a", 1);
    options.silenceTimeout = 200ms;
    FakePeer fake(FakeGreeting::Valid);
    EventQueue events;
    std::unique_ptr<LinkTable> table;
    WebsocketTransportHandlers handlers;
    handlers.onOpened = [&](ConnectionHandle handle, ConnectionSide side) { table->onConnectionOpened(handle, side); };
    handlers.onMessage = [&](ConnectionHandle handle, const std::string &bytes) { table->onMessageReceived(handle, bytes); };
    handlers.onControlFrame = [&](ConnectionHandle handle) { table->onControlFrameReceived(handle); };
    handlers.onClosed = [&](ConnectionHandle handle, std::uint16_t code) { table->onConnectionClosed(handle, code); };
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
    events.popAll(SteadyClock::now() + MaxWait, batch);
    BOOST_TEST_REQUIRE(batch.size() == 1U);
    BOOST_TEST(std::holds_alternative<PeerUp>(batch.front()));
    for (int pause = 0; pause < 3; ++pause) {
        transport->post([] { std::this_thread::sleep_for(500ms); });
        events.popAll(SteadyClock::now() + 700ms, batch);
        BOOST_TEST(batch.empty());
    }
}

BOOST_AUTO_TEST_CASE(APersistentLinkReconnectsUnderANewId)
{
    TestInstance first("a");
    auto options = makeOptions("b", 1);
    auto second = std::make_unique<TestInstance>(options);
    options.listen = second->address();
    const PeerId before = connectInstances(first, *second).first;
    second.reset();
    BOOST_TEST_REQUIRE(first.waitForCount<PeerDown>(1));
    options.identity.incarnation = Incarnation(2);
    TestInstance restarted(options);
    BOOST_TEST_REQUIRE(first.waitForCount<PeerUp>(2));
    BOOST_TEST((first.eventsOf<PeerUp>().back().peer != before));
    BOOST_TEST(first.eventsOf<PeerUnreachable>().empty());
}

BOOST_AUTO_TEST_CASE(AClosedLinkStaysClosed)
{
    TestInstance first("a");
    TestInstance second("b");
    connectInstances(first, second);
    first.links->execute(ClosePeer{second.address()});
    BOOST_TEST(first.waitForCount<PeerDown>(1));
    BOOST_TEST(second.waitForCount<PeerDown>(1));
    first.waitUntilQuiet();
    second.waitUntilQuiet();
    BOOST_TEST(first.receivedEvents.size() == 2U);
    BOOST_TEST(second.receivedEvents.size() == 2U);
}

BOOST_AUTO_TEST_CASE(AOneTimeAttemptReportsUnreachableOnce)
{
    TestInstance instance("a");
    const NetAddress address = unusedAddress();
    instance.links->execute(OpenPeer{address, false});
    BOOST_TEST_REQUIRE(instance.waitForCount<PeerUnreachable>(1));
    instance.waitUntilQuiet(300ms);
    BOOST_TEST_REQUIRE(instance.receivedEvents.size() == 1U);
    BOOST_TEST(instance.eventsOf<PeerUnreachable>().front().address.value == address.value);
    instance.links->execute(OpenPeer{NetAddress("no address"), false});
    BOOST_TEST(instance.waitForCount<PeerUnreachable>(2));
}

BOOST_AUTO_TEST_CASE(AOneTimeAttemptOnAPersistentAddressReportsUnreachableOnce)
{
    TestInstance instance("a");
    const NetAddress address = unusedAddress();
    instance.links->execute(OpenPeer{address, true});
    instance.waitUntilQuiet();
    BOOST_TEST(instance.receivedEvents.empty());
    instance.links->execute(OpenPeer{address, false});
    BOOST_TEST_REQUIRE(instance.waitForCount<PeerUnreachable>(1));
    instance.waitUntilQuiet(300ms);
    BOOST_TEST(instance.receivedEvents.size() == 1U);
}

BOOST_AUTO_TEST_CASE(AOneTimeAttemptWhileALinkIsUpPushesNoEvent)
{
    TestInstance first("a");
    TestInstance second("b");
    connectInstances(second, first);
    first.open(second, false);
    first.waitUntilQuiet();
    BOOST_TEST(first.receivedEvents.size() == 1U);
}

BOOST_AUTO_TEST_CASE(LargeMessagesArriveAndOversizedOnesCloseTheLink)
{
    auto options = makeOptions("a", 1);
    options.silenceTimeout = 1min; // A slow (sanitizer) build must close the link because of the message size, not of the silence timeout.
    TestInstance first(options);
    options.identity.name = InstanceName("b");
    TestInstance second(options);
    const PeerId link = connectInstances(first, second, false).first;
    std::string json(15U << 20, 'x');
    json.back() = '!';
    first.send(link, QueryRows{ForwardId(5), json});
    BOOST_TEST_REQUIRE(second.waitForCount<PeerMessageReceived>(1));
    const auto received = second.eventsOf<PeerMessageReceived>().front();
    BOOST_TEST((std::get<QueryRows>(received.message).json == json));
    first.send(link, QueryRows{ForwardId(6), std::string(16U << 20, 'x')});
    BOOST_TEST(first.waitForCount<PeerDown>(1));
    BOOST_TEST(second.waitForCount<PeerDown>(1));
    BOOST_TEST(first.links->stats().sizeLimitCloses == 1U);
}

BOOST_AUTO_TEST_CASE(ABlockedLinkIsClosedAtTheSendBufferLimit)
{
    auto options = makeOptions("a", 1);
    options.silenceTimeout = 1min;
    options.maxSendBufferBytes = 4U << 20;
    TestInstance instance(options);
    FakePeer fake(FakeGreeting::Valid);
    instance.links->execute(OpenPeer{fake.address(), false});
    BOOST_TEST_REQUIRE(instance.waitForCount<PeerUp>(1));
    fake.blockThread(2s);
    const PeerId link = instance.eventsOf<PeerUp>().front().peer;
    for (int message = 0; message < 32; ++message) {
        instance.send(link, QueryRows{ForwardId(1), std::string(1U << 20, 'x')});
    }
    BOOST_TEST(instance.waitForCount<PeerDown>(1, 1500ms));
    BOOST_TEST(instance.links->stats().sizeLimitCloses == 1U);
}

BOOST_AUTO_TEST_CASE(MessagesArriveInOrder)
{
    constexpr std::uint32_t Messages = 3'000;
    TestInstance first("a");
    TestInstance second("b");
    const auto [atFirst, atSecond] = connectInstances(first, second);
    for (std::uint32_t number = 0; number < Messages; ++number) {
        first.send(atFirst, SlotRequest{number});
        second.send(atSecond, SlotRequest{number});
    }
    for (TestInstance *instance : {&first, &second}) {
        BOOST_TEST_REQUIRE(instance->waitForCount<PeerMessageReceived>(Messages));
        const auto received = instance->eventsOf<PeerMessageReceived>();
        for (std::uint32_t number = 0; number < Messages; ++number) {
            BOOST_TEST_REQUIRE(std::get<SlotRequest>(received[number].message).slots == number);
        }
    }
}

BOOST_AUTO_TEST_CASE(MessagesSentBeforeCloseArrive)
{
    TestInstance first("a");
    TestInstance second("b");
    const PeerId link = connectInstances(first, second).first;
    for (std::uint32_t number = 0; number < 100; ++number) {
        first.send(link, SlotRequest{number});
    }
    first.links->close();
    BOOST_TEST(second.waitForCount<PeerDown>(1));
    BOOST_TEST(second.eventsOf<PeerMessageReceived>().size() == 100U);
    first.links->close();
    first.send(link, SlotRequest{1});
}

BOOST_AUTO_TEST_SUITE_END()
