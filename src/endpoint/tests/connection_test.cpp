#include "endpoint/connection_lifecycle.h"
#include "endpoint/http_connection.h"
#include "endpoint/net_address_func.h"
#include "endpoint/tests/endpoint_fixture.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <netinet/tcp.h>

using namespace Tanagertally;
using namespace std::chrono_literals;

namespace {

/** Listening socket with a full backlog, so that further connection attempts never complete. */
struct FullListener {
    FullListener()
        : acceptor(io, boost::asio::ip::tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
    {
        this->acceptor.listen(0);
        for (int i = 0; i < 4; ++i) {
            auto &filler = this->fillers.emplace_back(this->io, boost::asio::ip::tcp::v4());
            filler.native_non_blocking(true);
            const auto target = this->acceptor.local_endpoint();
            ::connect(filler.native_handle(), target.data(), static_cast<socklen_t>(target.size()));
        }
    }
    NetAddress address() const
    {
        return NetAddress("127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port()));
    }

    boost::asio::io_context io;
    boost::asio::ip::tcp::acceptor acceptor;
    std::list<boost::asio::ip::tcp::socket> fillers;
};

} // namespace

BOOST_AUTO_TEST_CASE(ConnectTimeoutAndAbandonWhileConnectingAreNotDelivered)
{
    FullListener listener;
    EndpointPoolOptions options;
    options.connectTimeout = 1s;
    EndpointFixture fixture(listener.address(), options);
    const AttemptEnded timedOut = fixture.run(1);
    BOOST_TEST(timedOut.outcome == AttemptOutcome::NotDelivered);
    BOOST_TEST(timedOut.error == "timeout while connecting");
    fixture.start(2);
    fixture.abandon(2);
    const AttemptEnded abandoned = fixture.await<AttemptEnded>();
    BOOST_TEST(abandoned.outcome == AttemptOutcome::NotDelivered);
    BOOST_TEST(abandoned.error == "abandoned");
    BOOST_TEST(fixture.hasNoMoreEvents());
}

// Guards against reuse of the connection of an abandoned attempt: its late response would be taken for that of the next attempt.
BOOST_AUTO_TEST_CASE(LateResponseIsNotReadByNextRequest)
{
    Signal received;
    Signal abandoned;
    TestServer server([&](ServerConnection &connection, int number) {
        connection.readRequest();
        if (number == 0) {
            received.set();
            abandoned.await();
        }
        connection.answer("200 OK", std::to_string(number));
        connection.awaitClose();
    });
    EndpointFixture fixture(server.address());
    fixture.start(1);
    BOOST_TEST(received.await());
    fixture.abandon(1);
    BOOST_TEST(fixture.await<AttemptEnded>().outcome == AttemptOutcome::Lost);
    abandoned.set();
    BOOST_TEST(*fixture.run(2).output == "1");
    fixture.abandon(1);
    BOOST_TEST(fixture.hasNoMoreEvents());
}

// Guards against reuse of an idle connection with pending data: an unsolicited response would be taken for that of the next attempt.
BOOST_AUTO_TEST_CASE(UnsolicitedResponseOnIdleConnectionIsNotReadByNextRequest)
{
    Signal sent;
    TestServer server([&](ServerConnection &connection, int number) {
        connection.readRequest();
        connection.answer("200 OK", std::to_string(number));
        std::this_thread::sleep_for(50ms);
        connection.answer("200 OK", "\"unasked\"");
        if (number == 0) {
            sent.set();
        }
        connection.awaitClose();
    });
    EndpointFixture fixture(server.address());
    BOOST_TEST(*fixture.run(1).output == "0");
    BOOST_TEST(sent.await());
    std::this_thread::sleep_for(50ms);
    BOOST_TEST(*fixture.run(2).output == "1");
}

BOOST_AUTO_TEST_CASE(ConnectionClosedWhileIdleIsReplacedWithoutFailure)
{
    constexpr int Attempts = 3;
    std::atomic<int> requests = 0;
    std::atomic<int> closed = 0;
    TestServer server([&](ServerConnection &connection, int number) {
        connection.readRequest();
        ++requests;
        connection.answer("200 OK", std::to_string(number));
        std::this_thread::sleep_for(20ms); // lets the client read the response before the close
        connection.shutDown();
        ++closed;
        closed.notify_all();
    });
    EndpointFixture fixture(server.address());
    for (int attempt = 0; attempt < Attempts; ++attempt) {
        BOOST_REQUIRE(fixture.run(static_cast<std::uint64_t>(attempt) + 1).outcome == AttemptOutcome::Succeeded);
        closed.wait(attempt);
    }
    BOOST_TEST(requests == Attempts);
    BOOST_TEST(server.accepted == Attempts);
}

BOOST_AUTO_TEST_CASE(ConnectionIdleBeyondLimitIsNotReused)
{
    TestServer server(answerAll);
    EndpointPoolOptions options;
    options.maxConnectionsPerEndpoint = 2;
    EndpointFixture fixture(server.address(), options);
    BOOST_TEST(*fixture.run(1).output == "0");
    std::this_thread::sleep_for(30ms);
    BOOST_TEST(*fixture.run(2, 10ms).output == "1");
    BOOST_TEST(*fixture.run(3).output == "1"); // the connection that became idle last is reused first
    std::this_thread::sleep_for(30ms);
    BOOST_TEST(*fixture.run(4, 10ms).output == "2"); // replaces the connection that has been idle longest
    BOOST_TEST(*fixture.run(5).output == "2");
}

BOOST_AUTO_TEST_CASE(IdleTimeoutClosesConnection)
{
    Signal closed;
    TestServer server([&](ServerConnection &connection, int number) {
        answerAll(connection, number);
        closed.set();
    });
    EndpointPoolOptions options;
    options.idleTimeout = 100ms;
    EndpointFixture fixture(server.address(), options);
    fixture.run(1);
    BOOST_TEST(closed.await());
}

BOOST_AUTO_TEST_CASE(AbandonDuringWriteIsLost)
{
    Signal received;
    Signal abandoned;
    TestServer server([&](ServerConnection &connection, int) {
        connection.readFirstByte();
        received.set();
        abandoned.await();
    });
    EndpointFixture fixture(server.address());
    fixture.start(1, AnyIdle, std::string(std::size_t(64) << 20, ' '));
    BOOST_TEST(received.await());
    fixture.abandon(1);
    BOOST_TEST(fixture.await<AttemptEnded>().outcome == AttemptOutcome::Lost);
    BOOST_TEST(fixture.hasNoMoreEvents());
    abandoned.set();
}

BOOST_AUTO_TEST_CASE(SocketOptionsDetectUnresponsivePeer)
{
    boost::asio::io_context io;
    HttpSocket socket(boost::asio::make_strand(io.get_executor()));
    socket.open(boost::asio::ip::tcp::v4());
    BOOST_TEST(!setClientSocketOptions(socket));
    const auto option = [&socket](int level, int name) {
        int value = 0;
        socklen_t size = sizeof value;
        BOOST_TEST(::getsockopt(socket.native_handle(), level, name, &value, &size) == 0);
        return value;
    };
    BOOST_TEST(option(IPPROTO_TCP, TCP_NODELAY) == 1);
    BOOST_TEST(option(SOL_SOCKET, SO_KEEPALIVE) == 1);
    BOOST_TEST(option(IPPROTO_TCP, TCP_KEEPIDLE) == 1);
    BOOST_TEST(option(IPPROTO_TCP, TCP_KEEPINTVL) == 1);
    BOOST_TEST(option(IPPROTO_TCP, TCP_KEEPCNT) == 3);
    BOOST_TEST(option(IPPROTO_TCP, TCP_USER_TIMEOUT) == 4000);
}

// Guards against attempts that never end when the network drops all packets, before or after the server has acknowledged the request.
BOOST_AUTO_TEST_CASE(UnresponsiveNetworkEndsAttempts)
{
    Signal silent;
    TestServer server([&](ServerConnection &connection, int number) {
        connection.readRequest();
        if (number == 0) {
            connection.answer("200 OK", "0");
            std::this_thread::sleep_for(50ms);
        }
        connection.dropIncomingPackets();
        if (number == 0) {
            silent.set();
        }
        connection.awaitClose();
    });
    EndpointFixture fixture(server.address());
    BOOST_TEST(fixture.run(1).outcome == AttemptOutcome::Succeeded);
    BOOST_TEST(silent.await());
    const auto begin = std::chrono::steady_clock::now();
    fixture.start(2); // sent on the first connection, never acknowledged
    fixture.start(3); // sent on a second connection, read by the server, then no more packets
    for (int i = 0; i < 2; ++i) {
        const AttemptEnded ended = fixture.await<AttemptEnded>();
        BOOST_TEST(ended.outcome == AttemptOutcome::Lost);
        BOOST_TEST(ended.error == "Connection timed out");
    }
    BOOST_TEST((std::chrono::steady_clock::now() - begin < 9s));
    BOOST_TEST(server.accepted == 2);
}

BOOST_AUTO_TEST_CASE(DeliveryFollowsFromState)
{
    ConnectionLifecycle lifecycle;
    lifecycle.startConnecting();
    lifecycle.finishConnecting();
    lifecycle.finishWriting();
    lifecycle.finishResponse(true);
    BOOST_TEST((lifecycle.state() == ConnectionState::Idle));
    BOOST_TEST((lifecycle.delivery() == Delivery::Answered));
    lifecycle.startWriting();
    BOOST_TEST((lifecycle.state() == ConnectionState::Writing));
    lifecycle.closeAfterFailure(0);
    BOOST_TEST((lifecycle.delivery() == Delivery::NotSent));
    BOOST_TEST((lifecycle.state() == ConnectionState::Closed));
    lifecycle.startWriting();
    BOOST_TEST((lifecycle.state() == ConnectionState::Closed));
    ConnectionLifecycle partial;
    partial.startConnecting();
    partial.finishConnecting();
    partial.closeAfterFailure(1);
    BOOST_TEST((partial.delivery() == Delivery::Lost));
}

BOOST_AUTO_TEST_CASE(OnlyNumericAddressesAreParsed)
{
    BOOST_TEST(toSocketAddress(NetAddress("127.0.0.1:80")).value().port() == 80);
    BOOST_TEST(toSocketAddress(NetAddress("[::1]:80")).value().address().is_v6());
    for (const char *bad : {"", "127.0.0.1", "localhost:80", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:8x"}) {
        BOOST_TEST(toSocketAddress(NetAddress(bad)).has_error(), bad);
    }
}
