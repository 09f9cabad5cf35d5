#include "caller/caller_codec.h"
#include "caller/error_document.h"
#include "caller/json_input.h"
#include "caller/tests/service_fixture.h"
#include "caller/url_func.h"

#include <boost/test/unit_test.hpp>

using namespace Tanagertally;
using namespace Tanagertally::Testing;

namespace {

/** A malformed request and its expected error. */
struct BadRequest {
    std::string body; ///< Body of the request.
    std::string field; ///< Field in the error.
    std::string message; ///< Substring of the error's message.
};

std::string withTask(const std::string &task)
{
    return R"({"tasks":[{"kind":"a","payload":1},)" + task + "]}";
}

std::string repeat(const std::string &text, std::size_t count)
{
    std::string repeated;
    for (std::size_t index = 0; index < count; ++index) {
        repeated += text;
    }
    return repeated;
}

const std::vector<BadRequest> BadSubmissions = {
    {"", "line 1, column 1", "unexpected end of input"},
    {"{\"tasks\": [\n  {\"kind\": lookup}]}", "line 2, column 12", "invalid literal"},
    {"{\"tasks\":[{\"kind\":\"a\xff\"}]}", "line 1, column 21", "ill-formed UTF-8"},
    {R"({"tasks":[{"kind":"a","payload":1e999}]})", "line 1, column 37", "number overflow"},
    {R"({"tasks":[{"kind":"a","payload":1}]} x)", "line 1, column 38", "expected end of input"},
    {"[]", "", "expected an object, got array"},
    {"{}", "tasks", "1 to 1000 tasks"},
    {R"({"tasks":[]})", "tasks", "1 to 1000 tasks"},
    {R"({"tasks":{}})", "tasks", "1 to 1000 tasks"},
    {R"({"tasks":[)" + repeat(R"({"kind":"a","payload":1},)", 1000) + R"({"kind":"a","payload":1}]})", "tasks", "1 to 1000 tasks"},
    {R"({"task":[]})", "task", "unknown field; the fields here are key, mode, timeoutMs, tasks"},
    {R"({"mode":"wait","mode":"later"})", "mode", "given twice"},
    {withTask("7"), "tasks[1]", "expected an object, got number"},
    {withTask(R"({"payload":1})"), "tasks[1].kind", "expected the name"},
    {withTask(R"({"kind":"a"})"), "tasks[1].payload", "any JSON value"},
    {withTask(R"({"kind":1,"payload":1})"), "tasks[1].kind", "expected a string, got number"},
    {withTask(R"({"kind":"","payload":1})"), "tasks[1].kind", "1 to 100 visible"},
    {withTask(R"({"kind":"a\r\nHost: b","payload":1})"), "tasks[1].kind", "visible ASCII"},
    {withTask(R"({"kind":"a","payload":1,"kind":"b"})"), "tasks[1].kind", "given twice"},
    {withTask(R"({"kind":"a","payload":1,"size":3})"), "tasks[1].size", "unknown field"},
    {withTask(R"({"kind":"a","payload":1,"declaredRunTimeMs":0})"), "tasks[1].declaredRunTimeMs", "from 1 to 3600000, got 0"},
    {withTask(R"({"kind":"a","payload":1,"declaredRunTimeMs":1.5})"), "tasks[1].declaredRunTimeMs", "an integer"},
    {withTask(R"({"kind":"a","payload":1,"declaredRunTimeMs":"5"})"), "tasks[1].declaredRunTimeMs", "got string"},
    {withTask(R"({"kind":"a","payload":)" + repeat("[", 98) + repeat("]", 98) + "}"), "tasks[1].payload" + repeat("[0]", 97), "100 levels"},
    {R"({"mode":"now","tasks":[]})", "mode", "\"wait\" or \"later\""},
    {R"({"mode":null,"tasks":[]})", "mode", "\"wait\" or \"later\""},
    {R"({"timeoutMs":-1,"tasks":[]})", "timeoutMs", "from 1 to 86400000, got -1"},
    {R"({"timeoutMs":18446744073709551615,"tasks":[]})", "timeoutMs", "got 18446744073709551615"},
    {R"({"timeoutMs":true,"tasks":[]})", "timeoutMs", "got boolean"},
    {R"({"key":5,"tasks":[]})", "key", "expected a string"},
    {R"({"key":"","tasks":[]})", "key", "1 to 200 visible"},
    {R"({"key":"a b","tasks":[]})", "key", "without spaces"},
    {R"({"key":")" + std::string(201, 'a') + R"(","tasks":[]})", "key", "1 to 200"},
};

void checkRefusal(const Response &response, const BadRequest &expected)
{
    const Json error = Json::parse(response.body());
    BOOST_TEST(error["code"] == "bad-input", expected.body);
    BOOST_TEST(error["field"] == expected.field, expected.body << " gave " << response.body());
    BOOST_TEST(error["message"].get<std::string>().find(expected.message) != std::string::npos, expected.body << ": " << response.body());
}

} // namespace

BOOST_AUTO_TEST_SUITE(Codec)

BOOST_AUTO_TEST_CASE(BadSubmissionsNameTheirField)
{
    RunningService running;
    Client client(running.address());
    for (const BadRequest &bad : BadSubmissions) {
        const Response response = client.call("POST /v1/jobs", bad.body);
        BOOST_TEST(response.result_int() == 400U);
        checkRefusal(response, bad);
        BOOST_TEST(!Json::parse(response.body()).contains("verdict"));
    }
    const std::string keyed = R"({"key":"k","tasks":[{"kind":"a","payload":1}]})";
    checkRefusal(client.call("POST /v1/jobs", keyed, "Idempotency-Key: other\r\n"), {keyed, "key", "differs"});
    checkRefusal(client.call("POST /v1/jobs", keyed, "Idempotency-Key: \"\"\r\n"), {keyed, "Idempotency-Key", "1 to 200"});
    checkRefusal(client.call("POST /v1/jobs", keyed, "Idempotency-Key: k\r\nIdempotency-Key: k\r\n"), {keyed, "Idempotency-Key", "once"});
    BOOST_TEST(client.call("POST /v1/jobs", keyed, "Idempotency-Key: \"k\"\r\n").result_int() == 200U);
    BOOST_TEST(running.waitFor([](const auto &events) { return events.size() == 1; }));
}

BOOST_AUTO_TEST_CASE(BadKeysRequestsGetVerdictNotRun)
{
    RunningService running;
    Client client(running.address());
    for (const BadRequest &bad : std::vector<BadRequest>{{R"({"count":0})", "count", "from 1 to 1000, got 0"},
                                                         {R"({"count":1001})", "count", "from 1 to 1000"},
                                                         {R"({"count":"2"})", "count", "an integer"},
                                                         {R"({"number":2})", "number", "unknown field"},
                                                         {"{", "line 1, column 2", "syntax error"}}) {
        const Response response = client.call("POST /v1/keys", bad.body);
        checkRefusal(response, bad);
        BOOST_TEST(Json::parse(response.body())["verdict"] == "not-run");
    }
    BOOST_TEST(Json::parse(client.call("POST /v1/keys").body())["keys"].size() == 1U);
}

BOOST_AUTO_TEST_CASE(BadTargetsNameTheInvalidPart)
{
    RunningService running;
    Client client(running.address());
    const auto field = [&](std::string_view line) { return Json::parse(client.call(line).body())["field"].get<std::string>(); };
    BOOST_TEST(field("GET /v1/jobs/") == "path.key");
    BOOST_TEST(field("GET /v1/jobs/a%2") == "path.key");
    BOOST_TEST(field("GET /v1/jobs/a%0d%0a") == "path.key");
    BOOST_TEST(field("GET /v1/jobs/a?wait=yes") == "query.wait");
    BOOST_TEST(field("GET /v1/jobs/a?wait") == "query.wait");
    BOOST_TEST(field("GET /v1/jobs/a?w=true") == "query.w");
    BOOST_TEST(field("GET /v1/jobs/a?%=true") == "query");
    BOOST_TEST(field("DELETE /v1/jobs/a?wait=true") == "query.wait");
    BOOST_TEST(field("POST /v1/jobs?later=true") == "query.later");
    BOOST_TEST(field("POST v1/jobs") == "path");
    BOOST_TEST(field("GET /v1/else") == "path");
    const Response method = client.call("PUT /v1/jobs");
    BOOST_TEST(method.result_int() == 405U);
    BOOST_TEST(method["Allow"] == "POST");
}

BOOST_AUTO_TEST_CASE(PayloadsKeepTheirJsonText)
{
    const std::string payload = R"({"b":[1.10,-0.0,12345678901234567890123,{"x":null,"x":true}],"a":"é\"\u0001:","c":{}})";
    const Result<Submission> read
        = decodeSubmission(R"({"tasks":[{"payload":)" + payload + R"(,"kind":"a"},{"kind":"b","payload":":"}]})", {});
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST(*read.value().job.tasks[0].payload == payload);
    BOOST_TEST(*read.value().job.tasks[1].payload == "\":\"");
    BOOST_TEST((read.value().job.timeout == DefaultWaitTimeout));
    const Result<JsonInput> elsewhere = parseJsonInput(R"({"payload":{"tasks":[{"payload":1}]},"tasks":{"payload":[2]}})");
    BOOST_TEST(elsewhere.value().payloads.empty());
}

BOOST_AUTO_TEST_CASE(FailedAnswersCarryNoOutputs)
{
    const auto output = std::make_shared<const std::string>("1");
    const JobAnswer answer{JobKey("k"),
                           JobOutcome::Failed,
                           ErrorCode::TaskFailed,
                           "task 1 failed",
                           {{Verdict::Ran, true, output, ""}, {Verdict::MayHaveRun, false, nullptr, "lost\xff"}}};
    BOOST_TEST(encodeCallerReply(answer).body
               == R"({"key":"k","outcome":"failed","reason":"task-failed","message":"task 1 failed","tasks":[)"
                  R"({"verdict":"ran","succeeded":true},{"verdict":"may-have-run","succeeded":false,"error":"lost�"}]})");
    const JobStatus status{JobKey("k"), JobState::Running, 3, 2, 1};
    BOOST_TEST(encodeCallerReply(status).body == R"({"key":"k","state":"running","tasks":3,"started":2,"finished":1})");
}

BOOST_AUTO_TEST_CASE(EveryErrorCodeHasItsStatus)
{
    const std::map<ErrorCode, unsigned> expected = {
        {ErrorCode::BadInput, 400},   {ErrorCode::NotFound, 404},         {ErrorCode::Forbidden, 403},
        {ErrorCode::Conflict, 409},   {ErrorCode::Overloaded, 503},       {ErrorCode::QuotaExceeded, 429},
        {ErrorCode::Infeasible, 422}, {ErrorCode::Unavailable, 503},      {ErrorCode::Stopping, 503},
        {ErrorCode::Cancelled, 409},  {ErrorCode::DeadlineExceeded, 504}, {ErrorCode::HomeUnreachable, 503},
        {ErrorCode::HomeLost, 410},   {ErrorCode::TaskFailed, 200},       {ErrorCode::Internal, 500},
    };
    BOOST_TEST(expected.size() == static_cast<std::size_t>(ErrorCode::Internal) + 1);
    for (const auto &[code, status] : expected) {
        BOOST_TEST(static_cast<unsigned>(httpStatusOf(code)) == status);
    }
}

BOOST_AUTO_TEST_CASE(PercentEncodingRoundTrips)
{
    const std::string key = "a/b c%é~";
    BOOST_TEST(percentEncode(key) == "a%2Fb%20c%25%C3%A9~");
    BOOST_TEST(percentDecode(percentEncode(key)).value() == key);
    BOOST_TEST(!percentDecode("%").has_value());
    BOOST_TEST(!percentDecode("%+1").has_value());
}

BOOST_AUTO_TEST_SUITE_END()
