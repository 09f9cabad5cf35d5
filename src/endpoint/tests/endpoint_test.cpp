#define BOOST_TEST_MODULE endpoint
#include "endpoint/tests/endpoint_rig.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <atomic>

using namespace Tanagertally;
using namespace std::chrono_literals;

namespace {

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
    EndpointRig rig(server.address(), options);
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
    EndpointRig rig(server.address());
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
    EndpointRig rig(address);
    BOOST_TEST(rig.run(1).outcome == AttemptOutcome::NotDelivered);
    rig.pool->carryOut(ProbeEndpoint{ProbeId(1), Endpoint, 1s});
    BOOST_TEST(!rig.await<ProbeEnded>().answered);
    BOOST_TEST(rig.isQuiet());
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
    EndpointRig rig(server.address());
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
    EndpointRig rig(server.address(), options);
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
    EndpointRig rig(server.address(), options);
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
    EndpointRig rig(former.address());
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
    EndpointRig rig(server.address());
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
    EndpointRig rig(server.address());
    rig.run(1);
    rig.pool->close();
    BOOST_TEST(rig.run(2).outcome == AttemptOutcome::NotDelivered);
}
