#define BOOST_TEST_MODULE endpoint
#include "endpoint/tests/endpoint_fixture.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <atomic>

using namespace Tanagertally;
using namespace std::chrono_literals;

namespace {

struct ResponseCase {
    std::string response; ///< Raw bytes; the server closes the connection after them.
    AttemptOutcome outcome;
    const char *text; ///< Expected output of a success, error text otherwise; not checked if null.
};
std::ostream &operator<<(std::ostream &out, const ResponseCase &responseCase)
{
    return out << responseCase.response;
}

const ResponseCase ResponseCases[] = {
    {"HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n{\"a\":1}", AttemptOutcome::Succeeded, "{\"a\":1}"},
    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\n[1,\r\n2\r\n2]\r\n0\r\n\r\n", AttemptOutcome::Succeeded, "[1,2]"},
    {"HTTP/1.1 422 No\r\nContent-Length: 3\r\n\r\nbad", AttemptOutcome::TaskFailed, "bad"},
    {"HTTP/1.1 500 No\r\nContent-Length: 3\r\n\r\nsad", AttemptOutcome::EndpointFailed, "sad"},
    {"HTTP/1.1 503 No\r\nNot-Started: busy\r\nContent-Length: 0\r\n\r\n", AttemptOutcome::RefusedBusy, nullptr},
    {"HTTP/1.1 503 No\r\nNot-Started: leaving\r\nContent-Length: 0\r\n\r\n", AttemptOutcome::RefusedLeaving, nullptr},
    {"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", AttemptOutcome::Lost, nullptr},
    {"HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n", AttemptOutcome::Lost, nullptr},
    {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1", AttemptOutcome::Lost, nullptr},
    {"HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n{\"a\":", AttemptOutcome::Lost, nullptr}, // closed in the middle of the response
    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n1\r\n", AttemptOutcome::Lost,
     nullptr}, // closed in the middle of the response
    {"HTTP/1.1 200 OK\r\n\r\n1", AttemptOutcome::Lost, nullptr}, // without a length the end of the body is unknown
    {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nnope", AttemptOutcome::Lost, nullptr}, // not JSON
    {"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n" + std::string(100, '1'), AttemptOutcome::Succeeded, nullptr},
    {"HTTP/1.1 200 OK\r\nContent-Length: 101\r\n\r\n" + std::string(101, '1'), AttemptOutcome::Lost, nullptr}, // body over maxAnswerBytes
    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n65\r\n" + std::string(101, '1') + "\r\n0\r\n\r\n", AttemptOutcome::Lost,
     nullptr},
    {"\x16\x03\x01 garbage\r\n\r\n", AttemptOutcome::Lost, nullptr},
    {"", AttemptOutcome::Lost, nullptr},
};

} // namespace

BOOST_DATA_TEST_CASE(ResponseDeterminesOutcome, boost::unit_test::data::make(ResponseCases), responseCase)
{
    TestServer server([&](ServerConnection &connection, int) {
        connection.readRequest();
        connection.send(responseCase.response);
    });
    EndpointPoolOptions options;
    options.maxAnswerBytes = 100;
    EndpointFixture fixture(server.address(), options);
    const AttemptEnded ended = fixture.run(1);
    BOOST_TEST(ended.outcome == responseCase.outcome);
    if (responseCase.text) {
        BOOST_TEST((ended.output ? *ended.output : ended.error) == responseCase.text);
    }
    BOOST_TEST(fixture.hasNoMoreEvents());
}

BOOST_AUTO_TEST_CASE(RequestFollowsProtocol)
{
    std::string request;
    TestServer server([&](ServerConnection &connection, int) {
        request = connection.readRequest();
        connection.answer("200 OK", "1");
    });
    EndpointFixture fixture(server.address());
    fixture.pool->execute(StartAttempt{AttemptId(1), Endpoint, JobKey("j\r\nX: 1"), 3, KindName("confirm"),
                                       std::make_shared<const std::string>("[5]"), AnyIdle});
    fixture.await<AttemptEnded>();
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
    EndpointFixture fixture(address);
    BOOST_TEST(fixture.run(1).outcome == AttemptOutcome::NotDelivered);
    fixture.pool->execute(ProbeEndpoint{ProbeId(1), Endpoint, 1s});
    BOOST_TEST(!fixture.await<ProbeEnded>().answered);
    BOOST_TEST(fixture.hasNoMoreEvents());
}

// Guards against a second AttemptEnded, or the output of another attempt, when an attempt is abandoned as its response arrives.
BOOST_AUTO_TEST_CASE(AbandonRacingCompletionYieldsOneEventAndOwnOutput)
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
    EndpointFixture fixture(server.address());
    std::uint64_t succeeded = 0;
    for (std::uint64_t attempt = 1; attempt <= Attempts; ++attempt) {
        fixture.start(attempt);
        const auto abandonAt = std::chrono::steady_clock::now() + std::chrono::microseconds(attempt * 7 % 400 * (1 + attempt % 4));
        while (std::chrono::steady_clock::now() < abandonAt) { }
        fixture.abandon(attempt);
        const AttemptEnded ended = fixture.await<AttemptEnded>();
        BOOST_REQUIRE(ended.attempt == AttemptId(attempt));
        if (ended.outcome == AttemptOutcome::Succeeded) {
            ++succeeded;
            BOOST_REQUIRE(*ended.output == std::to_string(attempt));
        }
    }
    BOOST_TEST(fixture.hasNoMoreEvents());
    BOOST_TEST_MESSAGE("succeeded " << succeeded << " of " << Attempts);
}

BOOST_AUTO_TEST_CASE(WaitingQueueIsBoundedAndFirstInFirstOut)
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
    EndpointFixture fixture(server.address(), options);
    for (std::uint64_t attempt = 1; attempt <= 4; ++attempt) {
        fixture.start(attempt);
    }
    const AttemptEnded refused = fixture.await<AttemptEnded>();
    BOOST_TEST(refused.attempt.value == 4U);
    BOOST_TEST(refused.outcome == AttemptOutcome::NotDelivered);
    fixture.abandon(2);
    const AttemptEnded abandoned = fixture.await<AttemptEnded>();
    BOOST_TEST(abandoned.attempt.value == 2U);
    BOOST_TEST(abandoned.outcome == AttemptOutcome::NotDelivered);
    release.set();
    BOOST_TEST(fixture.await<AttemptEnded>().attempt.value == 1U);
    BOOST_TEST(fixture.await<AttemptEnded>().attempt.value == 3U);
    BOOST_TEST(server.accepted == 1);
}

BOOST_AUTO_TEST_CASE(RemovedEndpointFinishesAttemptsInFlight)
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
    EndpointFixture fixture(server.address(), options);
    fixture.start(1);
    fixture.start(2);
    BOOST_TEST(received.await());
    fixture.pool->execute(RemoveEndpoint{Endpoint});
    const AttemptEnded waiting = fixture.await<AttemptEnded>();
    BOOST_TEST(waiting.attempt.value == 2U);
    BOOST_TEST(waiting.outcome == AttemptOutcome::NotDelivered);
    BOOST_TEST(fixture.run(3).outcome == AttemptOutcome::NotDelivered);
    release.set();
    BOOST_TEST(fixture.await<AttemptEnded>().outcome == AttemptOutcome::Succeeded);
    BOOST_TEST(closed.await());
}

BOOST_AUTO_TEST_CASE(NewAddressReplacesFormerAddress)
{
    TestServer former(answerAll);
    TestServer present(answerAll);
    EndpointFixture fixture(former.address());
    fixture.run(1);
    fixture.pool->execute(AddEndpoint{Endpoint, present.address()});
    fixture.run(2);
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
    EndpointFixture fixture(server.address());
    fixture.run(1);
    for (const bool answered : {true, true, false, false}) {
        const bool leaving = answered && server.accepted == 2;
        fixture.pool->execute(ProbeEndpoint{ProbeId(1), Endpoint, 1s});
        const ProbeEnded ended = fixture.await<ProbeEnded>();
        BOOST_TEST(ended.answered == answered);
        BOOST_TEST(ended.leaving == leaving);
    }
    BOOST_TEST(*fixture.run(2).output == "1");
    BOOST_TEST(server.accepted == 5);
    BOOST_TEST(fixture.hasNoMoreEvents());
}

BOOST_AUTO_TEST_CASE(ClosedPoolStartsNothing)
{
    TestServer server(answerAll);
    EndpointFixture fixture(server.address());
    fixture.run(1);
    fixture.pool->close();
    BOOST_TEST(fixture.run(2).outcome == AttemptOutcome::NotDelivered);
}
