#include "caller/http_limiter.h"
#include "caller/http_occupancy.h"
#include "caller/tests/service_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace Tanagertally;
using namespace Tanagertally::Testing;
using std::chrono::milliseconds;

namespace {

CallerServiceOptions withLimits(const HttpLimits &limits)
{
    return CallerServiceOptions{{}, {}, limits};
}

/** Checks a refusal by the HTTP server, and that the connection closes after it. */
void checkLastRefusal(Client &client, unsigned status, const std::string &code)
{
    const Response refused = client.reply();
    BOOST_TEST(refused.result_int() == status);
    BOOST_TEST(refused["Connection"] == "close");
    BOOST_TEST(Json::parse(refused.body())["code"] == code);
    BOOST_TEST(!Json::parse(refused.body()).contains("verdict"));
    BOOST_TEST(client.isAtEnd());
}

} // namespace

BOOST_AUTO_TEST_SUITE(Limits)

BOOST_AUTO_TEST_CASE(LongHeadersAreRefused)
{
    RunningService running;
    Client fits(running.address());
    BOOST_TEST(fits.call("GET /healthz", {}, "X-Long: " + std::string(7000, 'a') + "\r\n").result_int() == 200U);
    Client tooLong(running.address());
    tooLong.request("GET /healthz", {}, "X-Long: " + std::string(9000, 'a') + "\r\n");
    checkLastRefusal(tooLong, 431, "bad-input");
    Client endless(running.address());
    endless.send("GET /" + std::string(9000, 'a'));
    checkLastRefusal(endless, 431, "bad-input");
}

BOOST_AUTO_TEST_CASE(LongBodiesAreRefusedBeforeTheyAreReceived)
{
    HttpLimits limits;
    limits.maxBodyBytes = 1000;
    RunningService running(withLimits(limits));
    Client declared(running.address());
    declared.send("POST /v1/jobs HTTP/1.1\r\nHost: a\r\nContent-Length: 1001\r\n\r\n");
    checkLastRefusal(declared, 413, "bad-input");
    Client chunked(running.address());
    chunked.send("POST /v1/jobs HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n7d0\r\n" + std::string(2000, ' '));
    checkLastRefusal(chunked, 413, "bad-input");
    Client fits(running.address());
    BOOST_TEST(fits.call("POST /v1/jobs", std::string(1000, ' ')).result_int() == 400U);
}

// Guards against trailers, or a chunk's extension, that are kept without a limit until their end.
BOOST_AUTO_TEST_CASE(LongTrailersAndChunkHeadersAreRefused)
{
    HttpLimits limits;
    limits.maxTrailerBytes = 1000;
    RunningService running(withLimits(limits));
    const std::string opening = "POST /v1/jobs HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (const char *kept : {"1\r\nx\r\n0\r\nX-Long: ", "1;x="}) {
        Client endless(running.address());
        endless.send(opening + kept + std::string(1100, 'a'));
        checkLastRefusal(endless, 431, "bad-input");
    }
    Client fits(running.address());
    // The limit is for each chunk; a body may have any number of them.
    std::string chunks;
    for (int chunk = 0; chunk < 20; ++chunk) {
        chunks += "1;x=" + std::string(900, 'a') + "\r\n \r\n";
    }
    fits.send(opening + chunks + "0\r\nX-Long: " + std::string(900, 'a') + "\r\n\r\n");
    BOOST_TEST(fits.reply().result_int() == 400U); // The body is no job.
    BOOST_TEST(fits.call("GET /healthz").result_int() == 200U);
}

// Guards against many unfinished requests, each within its limits, that fill the memory of a process.
BOOST_AUTO_TEST_CASE(OldestUnfinishedRequestIsRefusedWhenMemoryIsShort)
{
    constexpr std::size_t BodyBytes = 100'000;
    HttpLimits limits;
    limits.maxRetainedBytes = 3 * BodyBytes;
    RunningService running(withLimits(limits));
    const std::string start = "POST /v1/jobs HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(BodyBytes) + "\r\n\r\n"
                              + std::string(BodyBytes - 1, ' ');
    Client oldest(running.address());
    Client second(running.address());
    Client latest(running.address());
    for (Client *client : {&oldest, &second, &latest}) {
        client->send(start);
        std::this_thread::sleep_for(milliseconds(50)); // The requests have to begin in this order.
    }
    const Response refused = oldest.reply();
    BOOST_TEST(refused.result_int() == 503U);
    BOOST_TEST(refused["Retry-After"] == "1");
    BOOST_TEST(oldest.isAtEnd());
    for (Client *client : {&second, &latest}) {
        client->send(" ");
        BOOST_TEST(client->reply().result_int() == 400U); // The body is no job.
    }
}

BOOST_AUTO_TEST_CASE(ConnectionsThatAwaitAReplyAreNotEvicted)
{
    struct Connection {
    };
    HttpOccupancy<Connection> occupancy(100);
    const std::array connections{std::make_shared<Connection>(), std::make_shared<Connection>(), std::make_shared<Connection>()};
    std::vector<HttpOccupancy<Connection>::Slot> slots;
    for (const auto &connection : connections) {
        slots.push_back(occupancy.add(connection, 1));
    }
    BOOST_TEST(occupancy.begin(slots[0], HttpActivity::Call, 90).empty());
    BOOST_TEST(occupancy.begin(slots[1], HttpActivity::Transfer, 5).empty());
    const auto evicted = occupancy.resize(slots[1], 50);
    BOOST_REQUIRE(evicted.size() == 1U);
    BOOST_TEST(evicted.front() == connections[1]);
    BOOST_TEST(occupancy.bytes() == 91U);
    // What is being evicted doesn't count again until it begins something else.
    BOOST_TEST(occupancy.resize(slots[1], 60).empty());
    BOOST_TEST(occupancy.begin(slots[1], HttpActivity::Idle, 1).empty());
    for (const auto &slot : slots) {
        occupancy.remove(slot);
    }
    BOOST_TEST(occupancy.bytes() == 0U);
}

BOOST_AUTO_TEST_CASE(MalformedRequestsAreRefused)
{
    RunningService running;
    for (const char *text : {"\x16\x03\x01 hello\r\n\r\n", "GET / HTTP/3.0\r\n\r\n", "GET /healthz HTTP/1.1\r\nBad Header: 1\r\n\r\n",
                             "POST /v1/jobs HTTP/1.1\r\nContent-Length: x\r\n\r\n"}) {
        Client client(running.address());
        client.send(text);
        checkLastRefusal(client, 400, "bad-input");
    }
}

BOOST_AUTO_TEST_CASE(SlowSendersAreRefused)
{
    HttpLimits limits;
    limits.headerTimeout = milliseconds(150);
    limits.bodyTimeout = milliseconds(150);
    RunningService running(withLimits(limits));
    Client slowHeader(running.address());
    Client slowBody(running.address());
    slowHeader.send("GET /heal");
    slowBody.send("POST /v1/jobs HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\n{");
    // A byte from time to time must not extend the deadline.
    std::jthread trickle([&](std::stop_token stop) {
        boost::system::error_code error;
        while (!stop.stop_requested() && !error) {
            std::this_thread::sleep_for(milliseconds(40));
            boost::asio::write(slowBody.socket, boost::asio::buffer(" ", 1), error);
        }
    });
    checkLastRefusal(slowHeader, 408, "deadline-exceeded");
    checkLastRefusal(slowBody, 408, "deadline-exceeded");
    trickle.request_stop();
    trickle.join();
    Client idle(running.address());
    std::this_thread::sleep_for(milliseconds(250));
    BOOST_TEST(idle.call("GET /healthz").result_int() == 200U);
}

BOOST_AUTO_TEST_CASE(IdleConnectionsAreClosed)
{
    HttpLimits limits;
    limits.idleTimeout = milliseconds(100);
    RunningService running(withLimits(limits));
    Client client(running.address());
    client.call("GET /healthz");
    BOOST_TEST(client.isAtEnd());
}

BOOST_AUTO_TEST_CASE(ConnectionsAreLimitedInTotalAndByAddress)
{
    HttpLimits limits;
    limits.maxConnections = 2;
    RunningService total(withLimits(limits));
    {
        Client first(total.address());
        Client second(total.address());
        BOOST_TEST(first.call("GET /healthz").result_int() == 200U);
        BOOST_TEST(second.call("GET /healthz").result_int() == 200U);
        Client third(total.address());
        const Response refused = third.reply();
        BOOST_TEST(refused.result_int() == 503U);
        BOOST_TEST(refused["Retry-After"] == "1");
    }
    limits.maxConnections = 100;
    limits.maxConnectionsPerAddress = 1;
    RunningService byAddress(withLimits(limits));
    {
        Client first(byAddress.address());
        BOOST_TEST(first.call("GET /healthz").result_int() == 200U);
        Client second(byAddress.address());
        checkLastRefusal(second, 429, "quota-exceeded");
    }
    // Closing a connection must allow another one from its address.
    bool hasRoom = false;
    for (int attempt = 0; attempt < 100 && !hasRoom; ++attempt) {
        Client later(byAddress.address());
        hasRoom = later.call("GET /healthz").result_int() == 200U;
        std::this_thread::sleep_for(milliseconds(10));
    }
    BOOST_TEST(hasRoom);
}

// Guards against a crowd of connections that keeps all others out.
BOOST_AUTO_TEST_CASE(NewConnectionTakesThePlaceOfTheOneWithoutACallForTheLongestTime)
{
    HttpLimits limits;
    limits.maxConnections = 3;
    limits.evictsConnections = true;
    RunningService running(withLimits(limits));
    const auto isHealthy = [](Client &client) { return client.call("GET /healthz").result_int() == 200U; };
    Client stalled(running.address());
    stalled.send("GET /heal");
    std::this_thread::sleep_for(milliseconds(50)); // The connections have to begin what they do in this order.
    Client silent(running.address());
    std::this_thread::sleep_for(milliseconds(50));
    Client active(running.address());
    BOOST_TEST(isHealthy(active));
    Client first(running.address());
    BOOST_TEST(isHealthy(first));
    BOOST_TEST(stalled.isAtEnd());
    Client second(running.address());
    BOOST_TEST(isHealthy(second));
    BOOST_TEST(silent.isAtEnd());
    BOOST_TEST(isHealthy(active));
}

BOOST_AUTO_TEST_CASE(RequestsAreLimitedByRate)
{
    HttpLimits limits;
    limits.maxRequestRatePerAddress = 0.5;
    limits.requestBurstPerAddress = 3;
    RunningService running(withLimits(limits));
    Client client(running.address());
    for (int request = 0; request < 3; ++request) {
        BOOST_TEST(client.call("GET /healthz").result_int() == 200U);
    }
    const Response refused = client.call("GET /healthz");
    BOOST_TEST(refused.result_int() == 429U);
    BOOST_TEST(refused["Retry-After"] == "2");
    BOOST_TEST(refused["Connection"] != "close");
}

BOOST_AUTO_TEST_CASE(RatesRefillWithTime)
{
    HttpLimits limits;
    limits.maxRequestRatePerAddress = 10;
    limits.requestBurstPerAddress = 1;
    const auto limiter = std::make_shared<HttpLimiter>(limits);
    const auto remote = boost::asio::ip::make_address("192.0.2.1");
    const std::chrono::steady_clock::time_point start;
    BOOST_TEST(limiter->admitRequest(remote, start));
    BOOST_TEST(!limiter->admitRequest(remote, start + milliseconds(50)));
    BOOST_TEST(limiter->admitRequest(boost::asio::ip::make_address("192.0.2.2"), start + milliseconds(50)));
    BOOST_TEST(limiter->admitRequest(remote, start + milliseconds(110)));
}

BOOST_AUTO_TEST_CASE(ExpectContinueAndHttp10AreServed)
{
    RunningService running;
    Client client(running.address());
    const std::string body = R"({"tasks":[{"kind":"lookup","payload":1}]})";
    client.send("POST /v1/jobs HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n");
    BOOST_TEST(client.reply().result_int() == 100U);
    client.send(body);
    BOOST_TEST(client.reply().result_int() == 200U);
    Client old(running.address());
    old.send("GET /healthz HTTP/1.0\r\n\r\n");
    BOOST_TEST(old.reply().result_int() == 200U);
    BOOST_TEST(old.isAtEnd());
    Client head(running.address());
    head.send("HEAD /healthz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    std::string text(1000, ' ');
    boost::system::error_code end;
    text.resize(boost::asio::read(head.socket, boost::asio::buffer(text), end));
    BOOST_TEST(text.ends_with("\r\n\r\n"));
    BOOST_TEST(text.find("Content-Length: 16") != std::string::npos, text);
}

BOOST_AUTO_TEST_SUITE_END()
