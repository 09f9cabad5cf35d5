#include "endpoint/connection_life.h"
#include "endpoint/http_connection.h"
#include "endpoint/net_address_func.h"
#include "endpoint/tests/endpoint_rig.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <netinet/tcp.h>

using namespace Tanagertally;
using namespace std::chrono_literals;

namespace {

/** A listening socket that completes no further handshake: its backlog is full. */
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
    EndpointRig rig(listener.address(), options);
    const AttemptEnded timedOut = rig.run(1);
    BOOST_TEST(timedOut.outcome == AttemptOutcome::NotDelivered);
    BOOST_TEST(timedOut.error == "timeout while connecting");
    rig.start(2);
    rig.abandon(2);
    const AttemptEnded abandoned = rig.await<AttemptEnded>();
    BOOST_TEST(abandoned.outcome == AttemptOutcome::NotDelivered);
    BOOST_TEST(abandoned.error == "abandoned");
    BOOST_TEST(rig.isQuiet());
}

BOOST_AUTO_TEST_CASE(LateAnswerMeetsNoOtherRequest)
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
    EndpointRig rig(server.address());
    rig.start(1);
    BOOST_TEST(received.await());
    rig.abandon(1);
    BOOST_TEST(rig.await<AttemptEnded>().outcome == AttemptOutcome::Lost);
    abandoned.set();
    BOOST_TEST(*rig.run(2).output == "1");
    rig.abandon(1);
    BOOST_TEST(rig.isQuiet());
}

BOOST_AUTO_TEST_CASE(UnaskedAnswerOnIdleConnectionMeetsNoRequest)
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
    EndpointRig rig(server.address());
    BOOST_TEST(*rig.run(1).output == "0");
    BOOST_TEST(sent.await());
    std::this_thread::sleep_for(50ms);
    BOOST_TEST(*rig.run(2).output == "1");
}

BOOST_AUTO_TEST_CASE(ConnectionClosedWhileIdleIsReplacedSilently)
{
    constexpr int Attempts = 3;
    std::atomic<int> requests = 0;
    std::atomic<int> closed = 0;
    TestServer server([&](ServerConnection &connection, int number) {
        connection.readRequest();
        ++requests;
        connection.answer("200 OK", std::to_string(number));
        std::this_thread::sleep_for(20ms); // the answer is read before the close
        connection.shutDown();
        ++closed;
        closed.notify_all();
    });
    EndpointRig rig(server.address());
    for (int attempt = 0; attempt < Attempts; ++attempt) {
        BOOST_REQUIRE(rig.run(static_cast<std::uint64_t>(attempt) + 1).outcome == AttemptOutcome::Succeeded);
        closed.wait(attempt);
    }
    BOOST_TEST(requests == Attempts);
    BOOST_TEST(server.accepted == Attempts);
}

BOOST_AUTO_TEST_CASE(ConnectionIdleForTooLongIsNotUsed)
{
    TestServer server(answerAll);
    EndpointPoolOptions options;
    options.maxConnectionsPerEndpoint = 2;
    EndpointRig rig(server.address(), options);
    BOOST_TEST(*rig.run(1).output == "0");
    std::this_thread::sleep_for(30ms);
    BOOST_TEST(*rig.run(2, 10ms).output == "1");
    BOOST_TEST(*rig.run(3).output == "1"); // idle last, reused first
    std::this_thread::sleep_for(30ms);
    BOOST_TEST(*rig.run(4, 10ms).output == "2"); // takes the place of the oldest
    BOOST_TEST(*rig.run(5).output == "2");
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
    EndpointRig rig(server.address(), options);
    rig.run(1);
    BOOST_TEST(closed.await());
}

BOOST_AUTO_TEST_CASE(AbandonMidWriteIsLost)
{
    Signal received;
    Signal abandoned;
    TestServer server([&](ServerConnection &connection, int) {
        connection.awaitByte();
        received.set();
        abandoned.await();
    });
    EndpointRig rig(server.address());
    rig.start(1, AnyIdle, std::string(std::size_t(64) << 20, ' '));
    BOOST_TEST(received.await());
    rig.abandon(1);
    BOOST_TEST(rig.await<AttemptEnded>().outcome == AttemptOutcome::Lost);
    BOOST_TEST(rig.isQuiet());
    abandoned.set();
}

BOOST_AUTO_TEST_CASE(SocketOptionsBoundSilence)
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

BOOST_AUTO_TEST_CASE(SilentNetworkEndsAttempts)
{
    Signal silent;
    TestServer server([&](ServerConnection &connection, int number) {
        connection.readRequest();
        if (number == 0) {
            connection.answer("200 OK", "0");
            std::this_thread::sleep_for(50ms);
        }
        connection.goSilent();
        if (number == 0) {
            silent.set();
        }
        connection.awaitClose();
    });
    EndpointRig rig(server.address());
    BOOST_TEST(rig.run(1).outcome == AttemptOutcome::Succeeded);
    BOOST_TEST(silent.await());
    const auto begin = std::chrono::steady_clock::now();
    rig.start(2); // on the first connection; never acknowledged
    rig.start(3); // on the second connection; read, and then silence
    for (int i = 0; i < 2; ++i) {
        const AttemptEnded ended = rig.await<AttemptEnded>();
        BOOST_TEST(ended.outcome == AttemptOutcome::Lost);
        BOOST_TEST(ended.error == "Connection timed out");
    }
    BOOST_TEST((std::chrono::steady_clock::now() - begin < 9s));
    BOOST_TEST(server.accepted == 2);
}

BOOST_AUTO_TEST_CASE(EvidenceFollowsFromState)
{
    ConnectionLife life;
    life.open();
    life.connected();
    life.written();
    life.answered(true);
    BOOST_TEST((life.state() == ConnectionState::Idle));
    BOOST_TEST((life.delivery() == Delivery::Answered));
    life.reuse();
    BOOST_TEST((life.state() == ConnectionState::Writing));
    life.failed(0);
    BOOST_TEST((life.delivery() == Delivery::NotSent));
    BOOST_TEST((life.state() == ConnectionState::Closed));
    life.reuse();
    BOOST_TEST((life.state() == ConnectionState::Closed));
    ConnectionLife partial;
    partial.open();
    partial.connected();
    partial.failed(1);
    BOOST_TEST((partial.delivery() == Delivery::Lost));
}

BOOST_AUTO_TEST_CASE(AddressesAreNumbers)
{
    BOOST_TEST(toSocketAddress(NetAddress("127.0.0.1:80")).value().port() == 80);
    BOOST_TEST(toSocketAddress(NetAddress("[::1]:80")).value().address().is_v6());
    for (const char *bad : {"", "127.0.0.1", "localhost:80", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:8x"}) {
        BOOST_TEST(toSocketAddress(NetAddress(bad)).has_error(), bad);
    }
}
