#include "caller/tests/service_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace Tanagertally;
using namespace Tanagertally::Testing;

BOOST_AUTO_TEST_SUITE(Service)

BOOST_AUTO_TEST_CASE(KeysSubmitFetchAndCancelOnOneConnection)
{
    RunningService running;
    Client client(running.address());
    const Json keys = Json::parse(client.call("POST /v1/keys", R"({"count": 2})").body());
    BOOST_TEST(keys["keys"].size() == 2U);
    BOOST_TEST(keys["validForMs"] == 600'000);

    const Response answer = client.call("POST /v1/jobs", R"({"key":"a/b","tasks":[{"kind":"lookup","payload":{"z":1.10,"a":[ ]}}]})");
    BOOST_TEST(answer.result_int() == 200U);
    BOOST_TEST(answer.body()
               == R"({"key":"a/b","outcome":"complete","tasks":[{"verdict":"ran","succeeded":true,"output":{"z":1.10,"a":[]}}]})");

    const Response later
        = client.call("POST /v1/jobs", R"({"mode":"later","tasks":[{"kind":"lookup","payload":null}]})", "Idempotency-Key: \"c/d\"\r\n");
    BOOST_TEST(later.result_int() == 202U);
    BOOST_TEST(later.body() == R"({"key":"c/d","href":"/v1/jobs/c%2Fd"})");
    BOOST_TEST(client.call("GET /v1/jobs/c%2Fd?wait=true").result_int() == 200U);
    BOOST_TEST(Json::parse(client.call("DELETE /v1/jobs/c%2Fd").body())["reason"] == "cancelled");
    BOOST_TEST(client.call("GET /v1/jobs/nothing").result_int() == 404U);
}

BOOST_AUTO_TEST_CASE(RefusalsCarryVerdictAndRetryAfter)
{
    RunningService running;
    Client client(running.address());
    const Response busy = client.call("POST /v1/jobs", R"({"tasks":[{"kind":"busy","payload":1}]})");
    BOOST_TEST(busy.result_int() == 503U);
    BOOST_TEST(busy["Retry-After"] == "2");
    BOOST_TEST(busy.body() == R"({"code":"overloaded","message":"too much waits","field":"","verdict":"not-run","retryAfterMs":1200})");
    const Response doubt = client.call("POST /v1/jobs", R"({"tasks":[{"kind":"doubt","payload":1}]})");
    BOOST_TEST(doubt.result_int() == 410U);
    BOOST_TEST(Json::parse(doubt.body())["verdict"] == "may-have-run");
    const Json failed = Json::parse(client.call("POST /v1/jobs", R"({"tasks":[{"kind":"fail","payload":1}]})").body());
    BOOST_TEST(failed["outcome"] == "failed");
    BOOST_TEST(failed["tasks"] == Json::parse(R"([{"verdict":"ran","succeeded":false,"error":"no such \"slot\""}])"));
}

BOOST_AUTO_TEST_CASE(PipelinedRequestsAreAnsweredInOrder)
{
    RunningService running;
    Client client(running.address());
    for (int index = 0; index < 50; ++index) {
        client.request("POST /v1/jobs", R"({"tasks":[{"kind":"lookup","payload":)" + std::to_string(index) + "}]}");
    }
    for (int index = 0; index < 50; ++index) {
        BOOST_TEST(Json::parse(client.reply().body())["tasks"][0]["output"] == index);
    }
}

// Guards against a connection that is closed under its call: while as much is read ahead as is allowed, no read keeps it open.
BOOST_AUTO_TEST_CASE(PipelinedRequestsBeyondWhatIsReadAheadAreAnswered)
{
    RunningService running;
    Client client(running.address());
    const std::string padding(1000, ' ');
    for (int index = 0; index < 60; ++index) {
        client.request("POST /v1/jobs", padding + R"({"tasks":[{"kind":"lookup","payload":)" + std::to_string(index) + "}]}");
    }
    for (int index = 0; index < 60; ++index) {
        BOOST_TEST(Json::parse(client.reply().body())["tasks"][0]["output"] == index);
    }
}

BOOST_AUTO_TEST_CASE(CallerDisconnectedIsReportedOnceAndOnlyWithoutReply)
{
    RunningService running;
    {
        Client client(running.address());
        client.call("POST /v1/jobs", R"({"tasks":[{"kind":"lookup","payload":1}]})");
        client.request("POST /v1/jobs", R"({"tasks":[{"kind":"hold","payload":1}]})");
        running.waitFor([](const auto &events) { return RunningService::eventsOf<JobSubmitted>(events).size() == 2; });
    }
    BOOST_TEST(running.waitFor([](const auto &events) {
        const auto gone = RunningService::eventsOf<CallerDisconnected>(events);
        return gone.size() == 1 && gone[0].request == RunningService::eventsOf<JobSubmitted>(events)[1].request;
    }));
}

BOOST_AUTO_TEST_CASE(OutOfOrderRepliesReachTheirOwnCallers)
{
    constexpr std::size_t Callers = 60;
    constexpr int Rounds = 20;
    EventQueue events;
    IoThreads ioThreads;
    auto service = std::move(CallerService::create(ioThreads.io, events, {NetAddress("127.0.0.1:0"), {}, {}}).value());
    std::vector<ReplyToCaller> held;
    bool isAnswering = false;
    EchoCoordinator coordinator;
    // Replies are sent in reverse order, once all calls of a round have arrived. A reply to the wrong caller counts as a mismatch.
    const EventThread eventThread(events, [&](Event &event) {
        if (auto reply = coordinator.handleEvent(event)) {
            held.push_back(std::move(*reply));
        }
        while (held.size() >= Callers || (isAnswering && !held.empty())) {
            isAnswering = true;
            service->execute(std::move(held.back()));
            held.pop_back();
        }
        isAnswering = false;
    });
    std::atomic<int> mismatches = 0;
    std::vector<std::jthread> callers;
    for (std::size_t caller = 0; caller < Callers; ++caller) {
        callers.emplace_back([&, caller] {
            Client client(service->address());
            for (int round = 0; round < Rounds; ++round) {
                const std::string jobKey = std::to_string(caller) + "-" + std::to_string(round);
                const std::string body = R"({"key":")" + jobKey + R"(","tasks":[{"kind":"lookup","payload":")" + jobKey + R"("}]})";
                const Json answer = Json::parse(client.call("POST /v1/jobs", body).body());
                mismatches += answer["key"] == jobKey && answer["tasks"][0]["output"] == jobKey ? 0 : 1;
            }
        });
    }
    callers.clear();
    BOOST_TEST(mismatches == 0);
}

BOOST_AUTO_TEST_CASE(TeamsAreIdentifiedBySecret)
{
    RunningService running({{}, {{TeamName("desk"), "s3cret"}, {TeamName("app"), "other"}}, {}});
    Client client(running.address());
    const std::string job = R"({"tasks":[{"kind":"lookup","payload":1}]})";
    for (const char *header : {"", "Authorization: Bearer wrong\r\n", "Authorization: Basic s3cret\r\n", "Authorization: Bearer \r\n"}) {
        const Response refused = client.call("POST /v1/jobs", job, header);
        BOOST_TEST(refused.result_int() == 401U);
        BOOST_TEST(refused["WWW-Authenticate"] == "Bearer");
        BOOST_TEST(Json::parse(refused.body())["field"] == "Authorization");
        BOOST_TEST(!Json::parse(refused.body()).contains("verdict"));
    }
    BOOST_TEST(client.call("POST /v1/jobs", job, "Authorization: bearer other\r\n").result_int() == 200U);
    BOOST_TEST(running.waitFor([](const auto &events) {
        const auto submitted = RunningService::eventsOf<JobSubmitted>(events);
        return submitted.size() == 1 && submitted[0].team.value == "app";
    }));
    BOOST_TEST(client.call("GET /healthz").result_int() == 200U);
}

BOOST_AUTO_TEST_CASE(ReadinessFollowsSetReadiness)
{
    RunningService running;
    Client client(running.address());
    BOOST_TEST(client.call("GET /readyz").result_int() == 503U);
    running.service->execute(SetReadiness{true, ""});
    BOOST_TEST(client.call("GET /readyz").result_int() == 200U);
    running.service->execute(SetReadiness{false, "stopping"});
    BOOST_TEST(client.call("GET /readyz").body() == R"({"ready":false,"reason":"stopping"})");
}

BOOST_AUTO_TEST_CASE(StoppingClosesConnectionsAfterTheirNextReply)
{
    RunningService running;
    Client idle(running.address());
    Client waiting(running.address());
    idle.call("GET /healthz");
    waiting.request("POST /v1/jobs", R"({"tasks":[{"kind":"hold","payload":1}]})");
    RequestId held;
    running.waitFor([&](const auto &events) {
        const auto submitted = RunningService::eventsOf<JobSubmitted>(events);
        held = submitted.empty() ? held : submitted[0].request;
        return !submitted.empty();
    });
    running.service->stopAccepting();
    const Response last = idle.call("GET /healthz");
    BOOST_TEST(last["Connection"] == "close");
    BOOST_TEST(idle.isAtEnd());
    // close() right after execute() must still write the whole reply.
    auto output = std::make_shared<const std::string>(4'000'000, '1');
    JobAnswer answer{JobKey("k"), JobOutcome::Complete, ErrorCode::Internal, "", {TaskAnswer{Verdict::Ran, true, output, ""}}};
    std::jthread closer([&] {
        running.service->execute(ReplyToCaller{held, answer});
        running.service->close();
    });
    boost::beast::http::response_parser<boost::beast::http::string_body> parser;
    parser.body_limit(8'000'000);
    boost::beast::flat_buffer buffer;
    boost::beast::http::read(waiting.socket, buffer, parser);
    BOOST_TEST(parser.get()["Connection"] == "close");
    BOOST_TEST(parser.get().body().size() > output->size());
    waiting.socket.close();
    closer.join();
    boost::system::error_code refused;
    boost::asio::ip::tcp::socket socket(waiting.io);
    const auto port = static_cast<std::uint16_t>(std::stoul(running.address().value.substr(10)));
    socket.connect({boost::asio::ip::address_v4::loopback(), port}, refused);
    BOOST_TEST(refused.failed());
}

BOOST_AUTO_TEST_SUITE_END()
