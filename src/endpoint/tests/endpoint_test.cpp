#define BOOST_TEST_MODULE endpoint
#include "endpoint/connection_life.h"
#include "endpoint/endpoint_pool.h"
#include "endpoint/http_connection.h"
#include "endpoint/net_address_func.h"
#include "endpoint/tests/event_reader.h"
#include "endpoint/tests/test_server.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <atomic>
#include <future>
#include <netinet/tcp.h>

using namespace Tanagertally;
using namespace std::chrono_literals;

namespace Tanagertally {

std::ostream &operator<<(std::ostream &out, AttemptOutcome outcome)
{
    return out << static_cast<int>(outcome);
}

} // namespace Tanagertally

namespace {

constexpr EndpointId Endpoint{1};
constexpr Duration AnyIdle = 1h;

/** A pool with one endpoint. */
struct Rig : EventReader {
    explicit Rig(const NetAddress &address, EndpointPoolOptions options = {})
        : pool(EndpointPool::create(io.context, events, options).value())
    {
        this->pool->carryOut(AddEndpoint{Endpoint, address});
    }
    void start(std::uint64_t attempt, Duration maxIdle = AnyIdle, std::string payload = "{}")
    {
        this->pool->carryOut(StartAttempt{AttemptId(attempt), Endpoint, JobKey("job"), static_cast<std::uint32_t>(attempt),
                                          KindName("confirm"), std::make_shared<const std::string>(std::move(payload)), maxIdle});
    }
    void abandon(std::uint64_t attempt)
    {
        this->pool->carryOut(AbandonAttempt{AttemptId(attempt)});
    }
    AttemptEnded run(std::uint64_t attempt, Duration maxIdle = AnyIdle)
    {
        this->start(attempt, maxIdle);
        return this->await<AttemptEnded>();
    }

    RunningIo io{2};
    std::unique_ptr<EndpointPool> pool;
};

/** A condition that one thread sets once and others await. */
class Signal
{
public:
    void set()
    {
        this->promise.set_value();
    }
    /** @return Whether it was set in time. */
    bool await() const
    {
        return this->future.wait_for(EventTimeout) == std::future_status::ready;
    }

private:
    std::promise<void> promise;
    std::shared_future<void> future = promise.get_future().share();
};

void answerAll(ServerConnection &connection, int number)
{
    while (!connection.readRequest().empty()) {
        connection.answer("200 OK", std::to_string(number));
    }
}

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

struct AnswerCase {
    std::string answer;
    AttemptOutcome outcome;
    const char *text; ///< Expected output, or error text if not null.
};
std::ostream &operator<<(std::ostream &out, const AnswerCase &answerCase)
{
    return out << answerCase.answer;
}

const AnswerCase AnswerCases[] = {
    {"HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n{\"a\":1}", AttemptOutcome::Succeeded, "{\"a\":1}"},
    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\n[1,\r\n2\r\n2]\r\n0\r\n\r\n", AttemptOutcome::Succeeded, "[1,2]"},
    {"HTTP/1.1 422 No\r\nContent-Length: 3\r\n\r\nbad", AttemptOutcome::TaskFailed, "bad"},
    {"HTTP/1.1 500 No\r\nContent-Length: 3\r\n\r\nsad", AttemptOutcome::EndpointFailed, "sad"},
    {"HTTP/1.1 503 No\r\nNot-Started: busy\r\nContent-Length: 0\r\n\r\n", AttemptOutcome::RefusedBusy, nullptr},
    {"HTTP/1.1 503 No\r\nNot-Started: leaving\r\nContent-Length: 0\r\n\r\n", AttemptOutcome::RefusedLeaving, nullptr},
    {"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", AttemptOutcome::Lost, nullptr},
    {"HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n", AttemptOutcome::Lost, nullptr},
    {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1", AttemptOutcome::Lost, nullptr},
    {"HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n{\"a\":", AttemptOutcome::Lost, nullptr}, // closed mid-answer
    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n1\r\n", AttemptOutcome::Lost, nullptr}, // closed mid-answer
    {"HTTP/1.1 200 OK\r\n\r\n1", AttemptOutcome::Lost, nullptr}, // no way to tell whether it is whole
    {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nnope", AttemptOutcome::Lost, nullptr}, // not JSON
    {"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n" + std::string(100, '1'), AttemptOutcome::Succeeded, nullptr},
    {"HTTP/1.1 200 OK\r\nContent-Length: 101\r\n\r\n" + std::string(101, '1'), AttemptOutcome::Lost, nullptr}, // over the limit
    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n65\r\n" + std::string(101, '1') + "\r\n0\r\n\r\n", AttemptOutcome::Lost,
     nullptr},
    {"\x16\x03\x01 garbage\r\n\r\n", AttemptOutcome::Lost, nullptr},
    {"", AttemptOutcome::Lost, nullptr},
};

} // namespace

BOOST_DATA_TEST_CASE(AnswerGivesOutcome, boost::unit_test::data::make(AnswerCases), answerCase)
{
    TestServer server([&](ServerConnection &connection, int) {
        connection.readRequest();
        connection.send(answerCase.answer);
    });
    EndpointPoolOptions options;
    options.maxAnswerBytes = 100;
    Rig rig(server.address(), options);
    const AttemptEnded ended = rig.run(1);
    BOOST_TEST(ended.outcome == answerCase.outcome);
    if (answerCase.text) {
        BOOST_TEST((ended.output ? *ended.output : ended.error) == answerCase.text);
    }
    BOOST_TEST(rig.isQuiet());
}

BOOST_AUTO_TEST_CASE(RequestFollowsProtocol)
{
    std::string request;
    TestServer server([&](ServerConnection &connection, int) {
        request = connection.readRequest();
        connection.answer("200 OK", "1");
    });
    Rig rig(server.address());
    rig.pool->carryOut(StartAttempt{AttemptId(1), Endpoint, JobKey("j\r\nX: 1"), 3, KindName("confirm"),
                                    std::make_shared<const std::string>("[5]"), AnyIdle});
    rig.await<AttemptEnded>();
    BOOST_TEST(request.starts_with("POST /run HTTP/1.1\r\n"));
    BOOST_TEST(request.find("Task-Id: j%0D%0AX:%201#3\r\n") != std::string::npos);
    BOOST_TEST(request.find("Task-Kind: confirm\r\n") != std::string::npos);
    BOOST_TEST(request.ends_with("Content-Length: 3\r\n\r\n[5]"));
}

BOOST_AUTO_TEST_CASE(RefusedConnectionIsNotDelivered)
{
    NetAddress address;
    {
        TestServer server(answerAll);
        address = server.address();
    }
    Rig rig(address);
    BOOST_TEST(rig.run(1).outcome == AttemptOutcome::NotDelivered);
    rig.pool->carryOut(ProbeEndpoint{ProbeId(1), Endpoint, 1s});
    BOOST_TEST(!rig.await<ProbeEnded>().answered);
    BOOST_TEST(rig.isQuiet());
}

BOOST_AUTO_TEST_CASE(ConnectTimeoutAndAbandonWhileConnectingAreNotDelivered)
{
    FullListener listener;
    EndpointPoolOptions options;
    options.connectTimeout = 1s;
    Rig rig(listener.address(), options);
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
    Rig rig(server.address());
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
    Rig rig(server.address());
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
    Rig rig(server.address());
    for (int attempt = 0; attempt < Attempts; ++attempt) {
        BOOST_TEST(rig.run(static_cast<std::uint64_t>(attempt) + 1).outcome == AttemptOutcome::Succeeded);
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
    Rig rig(server.address(), options);
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
    Rig rig(server.address(), options);
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
    Rig rig(server.address());
    rig.start(1, AnyIdle, std::string(std::size_t(64) << 20, ' '));
    BOOST_TEST(received.await());
    rig.abandon(1);
    BOOST_TEST(rig.await<AttemptEnded>().outcome == AttemptOutcome::Lost);
    BOOST_TEST(rig.isQuiet());
    abandoned.set();
}

BOOST_AUTO_TEST_CASE(AbandonRacingCompletionGivesOneEventAndNoCrossedAnswer)
{
    constexpr std::uint64_t Attempts = 2000;
    TestServer server([&](ServerConnection &connection, int) {
        while (true) {
            const std::string request = connection.readRequest();
            if (request.empty()) {
                return;
            }
            const std::size_t mark = request.find('#') + 1;
            connection.answer("200 OK", request.substr(mark, request.find('\r', mark) - mark));
        }
    });
    Rig rig(server.address());
    std::uint64_t succeeded = 0;
    for (std::uint64_t attempt = 1; attempt <= Attempts; ++attempt) {
        rig.start(attempt);
        const auto abandonAt = std::chrono::steady_clock::now() + std::chrono::microseconds(attempt * 7 % 400 * (1 + attempt % 4));
        while (std::chrono::steady_clock::now() < abandonAt) { }
        rig.abandon(attempt);
        const AttemptEnded ended = rig.await<AttemptEnded>();
        BOOST_REQUIRE(ended.attempt == AttemptId(attempt));
        if (ended.outcome == AttemptOutcome::Succeeded) {
            ++succeeded;
            BOOST_REQUIRE(*ended.output == std::to_string(attempt));
        }
    }
    BOOST_TEST(rig.isQuiet());
    BOOST_TEST_MESSAGE("succeeded " << succeeded << " of " << Attempts);
}

BOOST_AUTO_TEST_CASE(WaitingIsBoundedAndEndsInOrder)
{
    Signal release;
    TestServer server([&](ServerConnection &connection, int number) {
        connection.readRequest();
        release.await();
        connection.answer("200 OK", std::to_string(number));
        answerAll(connection, number);
    });
    EndpointPoolOptions options;
    options.maxConnectionsPerEndpoint = 1;
    options.maxWaitingPerEndpoint = 2;
    Rig rig(server.address(), options);
    for (std::uint64_t attempt = 1; attempt <= 4; ++attempt) {
        rig.start(attempt);
    }
    const AttemptEnded refused = rig.await<AttemptEnded>();
    BOOST_TEST(refused.attempt.value == 4U);
    BOOST_TEST(refused.outcome == AttemptOutcome::NotDelivered);
    rig.abandon(2);
    const AttemptEnded abandoned = rig.await<AttemptEnded>();
    BOOST_TEST(abandoned.attempt.value == 2U);
    BOOST_TEST(abandoned.outcome == AttemptOutcome::NotDelivered);
    release.set();
    BOOST_TEST(rig.await<AttemptEnded>().attempt.value == 1U);
    BOOST_TEST(rig.await<AttemptEnded>().attempt.value == 3U);
    BOOST_TEST(server.accepted == 1);
}

BOOST_AUTO_TEST_CASE(RemovedEndpointFinishesWhatIsInFlight)
{
    Signal received;
    Signal release;
    Signal closed;
    TestServer server([&](ServerConnection &connection, int number) {
        connection.readRequest();
        received.set();
        release.await();
        connection.answer("200 OK", std::to_string(number));
        connection.awaitClose();
        closed.set();
    });
    EndpointPoolOptions options;
    options.maxConnectionsPerEndpoint = 1;
    Rig rig(server.address(), options);
    rig.start(1);
    rig.start(2);
    BOOST_TEST(received.await());
    rig.pool->carryOut(RemoveEndpoint{Endpoint});
    const AttemptEnded waiting = rig.await<AttemptEnded>();
    BOOST_TEST(waiting.attempt.value == 2U);
    BOOST_TEST(waiting.outcome == AttemptOutcome::NotDelivered);
    BOOST_TEST(rig.run(3).outcome == AttemptOutcome::NotDelivered);
    release.set();
    BOOST_TEST(rig.await<AttemptEnded>().outcome == AttemptOutcome::Succeeded);
    BOOST_TEST(closed.await());
}

BOOST_AUTO_TEST_CASE(NewAddressTakesOver)
{
    TestServer former(answerAll);
    TestServer present(answerAll);
    Rig rig(former.address());
    rig.run(1);
    rig.pool->carryOut(AddEndpoint{Endpoint, present.address()});
    rig.run(2);
    BOOST_TEST(former.accepted == 1);
    BOOST_TEST(present.accepted == 1);
}

BOOST_AUTO_TEST_CASE(ProbeUsesNewConnection)
{
    const std::string states[] = {"1", "{\"state\":\"live\"}", "{\"state\":\"leaving\"}", "{\"state\":1}", ""};
    TestServer server([&](ServerConnection &connection, int number) {
        while (!connection.readRequest().empty()) {
            if (!states[number].empty()) {
                connection.answer("200 OK", states[number]);
            }
        }
    });
    Rig rig(server.address());
    rig.run(1);
    for (const bool answered : {true, true, false, false}) {
        const bool leaving = answered && server.accepted == 2;
        rig.pool->carryOut(ProbeEndpoint{ProbeId(1), Endpoint, 1s});
        const ProbeEnded ended = rig.await<ProbeEnded>();
        BOOST_TEST(ended.answered == answered);
        BOOST_TEST(ended.leaving == leaving);
    }
    BOOST_TEST(*rig.run(2).output == "1");
    BOOST_TEST(server.accepted == 5);
    BOOST_TEST(rig.isQuiet());
}

BOOST_AUTO_TEST_CASE(ClosedPoolStartsNothing)
{
    TestServer server(answerAll);
    Rig rig(server.address());
    rig.run(1);
    rig.pool->close();
    BOOST_TEST(rig.run(2).outcome == AttemptOutcome::NotDelivered);
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
    Rig rig(server.address());
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
