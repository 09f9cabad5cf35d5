#define BOOST_TEST_MODULE platform
#include "endpoint/tests/event_reader.h"
#include "endpoint/tests/test_server.h"
#include "platform/platform_client.h"
#include "platform/platform_codec.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace Tanagertally;
using namespace std::chrono_literals;

namespace {

constexpr Duration NoListing = 1h; ///< List interval longer than any test, so that the list is requested once.

/** Platform client under test with the events that it pushes. The server script of a test also answers the list requests. */
struct PlatformFixture : EventReader {
    explicit PlatformFixture(const NetAddress &address, Duration listInterval = NoListing, std::uint32_t connections = 4)
    {
        PlatformClientOptions options;
        options.address = address;
        options.listInterval = listInterval;
        options.listTimeout = 1s;
        options.connections = connections;
        options.instance = InstanceName("e 1");
        options.maxAnswerBytes = 1000;
        this->client = PlatformClient::create(this->io.context, this->events, options).value();
    }
    void ask(std::uint64_t id, PlatformRequest request, Duration timeout = 5s)
    {
        this->client->execute(SendPlatformRequest{PlatformRequestId(id), std::move(request), timeout});
    }

    RunningIo io{2};
    std::unique_ptr<PlatformClient> client;
};

/** Read the next request that is not for the instance list. Requests for the list are answered with status 503. */
std::string readTableRequest(ServerConnection &connection)
{
    std::string request = connection.readRequest();
    while (request.starts_with("GET /v1/instances ")) {
        connection.answer("503 No", "");
        request = connection.readRequest();
    }
    return request;
}

PlatformRequest sampleWrite()
{
    return TableTransaction{{{RowKey("a"), RowVersion(3)}}, {{RowKey("a"), "x"}, {RowKey("b"), std::nullopt}}};
}

PlatformRequest sampleRead()
{
    return TableRead{{RowKey("a")}, {RowKey("later/")}, 10};
}

/** Response to a request, and the reply that it has to be decoded to. */
struct ReplyCase {
    PlatformRequest request;
    std::string response; ///< Raw bytes; the server closes the connection after them.
    std::string reply; ///< Expected result of describe().
};
std::ostream &operator<<(std::ostream &out, const ReplyCase &replyCase)
{
    return out << replyCase.response;
}

std::string describeRows(const char *name, const std::vector<TableRow> &rows)
{
    std::string text = name;
    for (const TableRow &row : rows) {
        text += ' ' + row.key.value + '=' + row.value + '@' + std::to_string(row.version.value);
    }
    return text;
}

std::string describe(const PlatformReply &reply)
{
    if (const auto *committed = std::get_if<Committed>(&reply)) {
        return describeRows("committed", committed->rows);
    }
    if (const auto *failed = std::get_if<ConditionFailed>(&reply)) {
        return describeRows("failed", failed->rows);
    }
    if (const auto *read = std::get_if<RowsRead>(&reply)) {
        return describeRows("read", read->rows);
    }
    if (const auto *object = std::get_if<ObjectRead>(&reply)) {
        return "object " + object->body.value_or("none");
    }
    if (const auto *unavailable = std::get_if<PlatformUnavailable>(&reply)) {
        return unavailable->mayHaveTakenEffect ? "may have taken effect" : "no effect";
    }
    return "stored";
}

std::string httpResponse(const std::string &status, const std::string &body)
{
    return "HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

const std::string BothRows = R"({"rows":[{"key":"a","version":7},{"key":"b","version":8}]})";
const ObjectPut SamplePut{ObjectName("n"), "body"};
const ObjectGet SampleGet{ObjectName("n")};

const ReplyCase ReplyCases[] = {
    {sampleWrite(), httpResponse("200 OK", BothRows), "committed a=@7 b=@8"},
    {sampleWrite(), httpResponse("200 OK", R"({"rows":[{"key":"a","version":7}]})"), "committed a=@7"},
    {sampleWrite(), httpResponse("409 No", R"({"rows":[{"key":"a","value":"t","version":5}]})"), "failed a=t@5"},
    {sampleWrite(), httpResponse("409 No", R"({"rows":[{"key":"a","value":null,"version":0}]})"), "failed a=@0"},
    {sampleWrite(), httpResponse("400 No", "{}"), "no effect"},
    {sampleWrite(), httpResponse("503 No", ""), "no effect"},
    {sampleWrite(), httpResponse("500 No", ""), "may have taken effect"},
    {sampleWrite(), "", "may have taken effect"}, // closed without a response
    {sampleWrite(), httpResponse("200 OK", BothRows).substr(0, 60), "may have taken effect"}, // closed in the middle of the response
    {sampleWrite(), "garbage\r\n\r\n", "may have taken effect"},
    {sampleWrite(), httpResponse("200 OK", BothRows + std::string(1000, ' ')), "may have taken effect"}, // body over maxAnswerBytes
    {sampleWrite(), httpResponse("200 OK", "{\"rows\":"), "may have taken effect"},
    {sampleWrite(), httpResponse("200 OK", R"({"rows":[{"key":"a","version":-7}]})"), "may have taken effect"},
    {sampleWrite(), httpResponse("200 OK", R"({"rows":[{"key":"b","version":7}]})"), "may have taken effect"}, // row a is missing
    {sampleWrite(), httpResponse("200 OK", R"({"rows":[{"key":"a","version":7},{"key":"c","version":8}]})"), "may have taken effect"},
    {sampleWrite(), httpResponse("409 No", R"({"rows":[{"key":"a","value":"t","version":3}]})"), "may have taken effect"},
    {sampleWrite(), httpResponse("409 No", R"({"rows":[]})"), "may have taken effect"},
    {sampleRead(), httpResponse("200 OK", R"({"rows":[{"key":"a","value":"x","version":7}]})"), "read a=x@7"},
    {sampleRead(), httpResponse("200 OK", R"({"rows":[{"key":"a","value":1,"version":7}]})"), "no effect"},
    {sampleRead(), "", "no effect"},
    {SamplePut, httpResponse("200 OK", ""), "stored"},
    {SamplePut, httpResponse("503 No", ""), "no effect"},
    {SamplePut, httpResponse("404 No", ""), "may have taken effect"},
    {SamplePut, "", "may have taken effect"},
    {SampleGet, httpResponse("200 OK", "body"), "object body"},
    {SampleGet, httpResponse("404 No", ""), "object none"},
    {SampleGet, httpResponse("500 No", ""), "no effect"},
};

const char *const ValidList = R"({"endpoints":[{"worker":"w1","rack":"r1","domain":"d1","address":"127.0.0.1:9001","slots":8,
    "state":"leaving"}],"instances":[{"name":"e1","domain":"d1","peerAddress":"127.0.0.1:7001","state":"live"}]})";

} // namespace

BOOST_DATA_TEST_CASE(ResponseDeterminesReply, boost::unit_test::data::make(ReplyCases), replyCase)
{
    TestServer server([&](ServerConnection &connection, int) {
        if (!readTableRequest(connection).empty()) {
            connection.send(replyCase.response);
        }
    });
    PlatformFixture fixture(server.address());
    fixture.ask(5, replyCase.request);
    const auto replied = fixture.await<PlatformReplied>();
    BOOST_TEST(replied.request.value == 5U);
    BOOST_TEST(describe(replied.reply) == replyCase.reply);
}

BOOST_AUTO_TEST_CASE(RequestsFollowProtocol)
{
    const PlatformRequestFields fields{"127.0.0.1:1", "e1"};
    const HttpClientRequest write = makePlatformRequest(sampleWrite(), fields).value();
    BOOST_TEST(write.target() == "/v1/transact");
    BOOST_TEST(write["Client-Instance"] == "e1");
    BOOST_TEST(*write.body() == R"({"conditions":[{"key":"a","version":3}],"writes":[{"key":"a","value":"x"},{"key":"b","value":null}]})");
    const HttpClientRequest read = makePlatformRequest(sampleRead(), fields).value();
    BOOST_TEST(read.target() == "/v1/read");
    BOOST_TEST(*read.body() == R"({"keys":["a"],"limit":10,"prefixes":["later/"]})");
    const HttpClientRequest put = makePlatformRequest(ObjectPut{ObjectName("a/b c"), "body"}, fields).value();
    BOOST_TEST(put.target() == "/v1/objects/a%2Fb%20c");
    BOOST_TEST(*put.body() == "body");
    BOOST_TEST(makePlatformRequest(TableRead{{RowKey("\xff")}, {}, 1}, fields).has_error());
}

BOOST_AUTO_TEST_CASE(RefusedConnectionHasNoEffect)
{
    NetAddress address;
    {
        TestServer server([](ServerConnection &, int) {});
        address = server.address();
    }
    PlatformFixture fixture(address);
    fixture.ask(1, sampleWrite());
    BOOST_TEST(describe(fixture.await<PlatformReplied>().reply) == "no effect");
    BOOST_TEST(fixture.hasNoMoreEvents());
}

BOOST_AUTO_TEST_CASE(TimeoutClosesConnectionAndMayHaveTakenEffect)
{
    std::atomic<int> requests = 0;
    std::atomic<bool> timedOut = false;
    TestServer server([&](ServerConnection &connection, int) {
        if (readTableRequest(connection).empty()) {
            return;
        }
        const bool first = ++requests == 1;
        if (first) {
            timedOut.wait(false);
        }
        connection.answer("200 OK", first ? "late" : "own");
        connection.awaitClose();
    });
    PlatformFixture fixture(server.address(), NoListing, 1);
    const auto begin = std::chrono::steady_clock::now();
    fixture.ask(1, SamplePut, 2s);
    fixture.ask(2, SamplePut, 200ms); // queued, as request 1 occupies the only connection
    const auto waiting = fixture.await<PlatformReplied>();
    BOOST_TEST((std::chrono::steady_clock::now() - begin < 1500ms));
    BOOST_TEST(waiting.request.value == 2U);
    BOOST_TEST(describe(waiting.reply) == "no effect");
    const auto late = fixture.await<PlatformReplied>();
    BOOST_TEST(late.request.value == 1U);
    BOOST_TEST(describe(late.reply) == "may have taken effect");
    timedOut = true;
    timedOut.notify_all();
    fixture.ask(3, SampleGet);
    BOOST_TEST(describe(fixture.await<PlatformReplied>().reply) == "object own");
    BOOST_TEST(fixture.hasNoMoreEvents());
}

// Guards against a row or an object that is never received: it takes longer than the timeout each time, and each time from the first byte.
BOOST_AUTO_TEST_CASE(AnswerThatKeepsArrivingIsCompletedAfterTheTimeout)
{
    const std::string body(200, 'b');
    TestServer server([&body](ServerConnection &connection, int) {
        if (readTableRequest(connection).empty()) {
            return;
        }
        constexpr std::size_t Parts = 4;
        const std::string text = httpResponse("200 OK", body);
        for (std::size_t part = 0; part < Parts; ++part) {
            const std::size_t from = part * text.size() / Parts;
            connection.send(text.substr(from, (part + 1) * text.size() / Parts - from));
            std::this_thread::sleep_for(300ms);
        }
        connection.awaitClose();
    });
    PlatformFixture fixture(server.address());
    fixture.ask(1, SampleGet, 500ms);
    BOOST_TEST(describe(fixture.await<PlatformReplied>().reply) == "object " + body);
}

BOOST_AUTO_TEST_CASE(ConnectionsPersist)
{
    TestServer server([&](ServerConnection &connection, int) {
        while (!readTableRequest(connection).empty()) {
            connection.answer("404 No", "");
        }
    });
    PlatformFixture fixture(server.address());
    for (std::uint64_t id = 1; id <= 5; ++id) {
        fixture.ask(id, SampleGet);
        BOOST_TEST(describe(fixture.await<PlatformReplied>().reply) == "object none");
    }
    BOOST_TEST(server.accepted <= 2); // one of them serves the instance list
}

BOOST_AUTO_TEST_CASE(OnlyCompleteListsArePushed)
{
    const std::string bodies[] = {"{\"endpoints\":[]", ValidList, "", ValidList};
    std::atomic<std::size_t> served = 0;
    TestServer server([&](ServerConnection &connection, int) {
        while (!connection.readRequest().empty()) {
            const std::size_t number = served++;
            if (number < std::size(bodies)) {
                connection.answer("200 OK", bodies[number]);
            }
        }
    });
    PlatformFixture fixture(server.address(), 20ms);
    for (const std::uint64_t failures : {1U, 2U}) {
        const InstanceList list = fixture.await<InstanceListRead>().list;
        BOOST_TEST(fixture.client->listFailures() >= failures);
        BOOST_REQUIRE(list.endpoints.size() == 1U);
        BOOST_TEST((list.endpoints[0].state == ListedState::Leaving));
        BOOST_TEST(list.endpoints[0].slots == 8U);
        BOOST_TEST(list.instances[0].peerAddress.value == "127.0.0.1:7001");
    }
    BOOST_TEST(fixture.hasNoMoreEvents());
    const auto limit = std::chrono::steady_clock::now() + EventTimeout;
    while (fixture.client->listFailures() < 4U && std::chrono::steady_clock::now() < limit) {
        std::this_thread::sleep_for(10ms);
    }
    BOOST_TEST(fixture.client->listFailures() >= 4U); // an unanswered request timed out and another one was sent
    fixture.client->close();
}

BOOST_AUTO_TEST_CASE(ListWithInvalidEntryIsRejected)
{
    const std::string valid = ValidList;
    BOOST_TEST(instanceListFromJson(valid).has_value());
    for (const auto &[part, bad] :
         {std::pair("\"live\"", "\"gone\""), std::pair("127.0.0.1:7001", "host:7001"), std::pair("\"w1\"", "\"\""),
          std::pair("\"slots\":8", "\"slots\":-8"), std::pair("\"domain\"", "\"zone\"")}) {
        std::string broken = valid;
        broken.replace(broken.find(part), std::string_view(part).size(), bad);
        BOOST_TEST(instanceListFromJson(broken).has_error(), bad);
    }
}
