#define BOOST_TEST_MODULE operator
#include "caller/tests/test_support.h"
#include "operator/operator_service.h"

#include <boost/test/unit_test.hpp>

using namespace Tanagertally;
using namespace Tanagertally::Testing;

namespace {

/** An OperatorService with a fake coordinator that refuses the text "drain" and echoes any other. */
class RunningOperatorService
{
public:
    explicit RunningOperatorService(std::vector<OperatorKey> operators = {})
        : service(std::move(OperatorService::create(this->ioThreads.io, this->events, {NetAddress("127.0.0.1:0"), std::move(operators), {}},
                                                    [] { return std::string("jobs_held 3\n"); })
                                .value()))
        , eventThread(this->events, [this](Event &event) { this->onEvent(event); })
    {
    }

    EventQueue events; ///< Receives the events of the service.
    IoThreads ioThreads; ///< Run the I/O of the service.
    std::unique_ptr<OperatorService> service; ///< The service under test.

private:
    void onEvent(Event &event)
    {
        const auto *asked = std::get_if<OperatorRequested>(&event);
        if (!asked) {
            return;
        }
        if (asked->text == "drain") {
            this->service->execute(ReplyToOperator{asked->request, makeError(ErrorCode::BadInput, "expected a worker", "column 6"), ""});
            return;
        }
        const Json answer{{"by", asked->by.value}, {"text", asked->text}, {"dryRun", asked->dryRun}};
        this->service->execute(ReplyToOperator{asked->request, std::nullopt, answer.dump()});
    }

    EventThread eventThread; ///< Calls onEvent().
};

} // namespace

BOOST_AUTO_TEST_CASE(OperatorTextsAreAnsweredOrRefusedWithErrorColumn)
{
    RunningOperatorService running;
    Client client(running.service->address());
    BOOST_TEST(client.call("POST /v1/operate", R"({"text":"show jobs","dryRun":true})").body()
               == R"({"by":"default","dryRun":true,"text":"show jobs"})");
    const Response refused = client.call("POST /v1/operate", R"({"text":"drain"})");
    BOOST_TEST(refused.result_int() == 400U);
    BOOST_TEST(refused.body() == R"({"code":"bad-input","message":"expected a worker","field":"column 6"})");
}

BOOST_AUTO_TEST_CASE(BadInputNamesItsField)
{
    RunningOperatorService running;
    Client client(running.service->address());
    for (const auto &[body, field] : std::vector<std::pair<std::string, std::string>>{{"{", "line 1, column 2"},
                                                                                      {"[]", ""},
                                                                                      {"{}", "text"},
                                                                                      {R"({"text":""})", "text"},
                                                                                      {R"({"text":1})", "text"},
                                                                                      {R"({"text":"a","dryRun":"no"})", "dryRun"},
                                                                                      {R"({"text":"a","dry":true})", "dry"}}) {
        const Response refused = client.call("POST /v1/operate", body);
        BOOST_TEST(refused.result_int() == 400U);
        BOOST_TEST(Json::parse(refused.body())["field"] == field, body << " gave " << refused.body());
        BOOST_TEST(Json::parse(refused.body())["verdict"] == "not-run");
    }
    BOOST_TEST(client.call("GET /v1/operate").result_int() == 405U);
    BOOST_TEST(client.call("GET /v1/else").result_int() == 404U);
    BOOST_TEST(client.call("GET /metrics?a=1").result_int() == 400U);
}

BOOST_AUTO_TEST_CASE(OperatorsAreIdentifiedBySecretButHealthNeedsNone)
{
    RunningOperatorService running({{OperatorName("amina"), "s3cret"}});
    Client client(running.service->address());
    BOOST_TEST(client.call("POST /v1/operate", R"({"text":"a"})").result_int() == 401U);
    const Response answer = client.call("POST /v1/operate", R"({"text":"a"})", "Authorization: Bearer s3cret\r\n");
    BOOST_TEST(Json::parse(answer.body())["by"] == "amina");
    BOOST_TEST(client.call("GET /healthz").result_int() == 200U);
    BOOST_TEST(client.call("GET /readyz").result_int() == 503U);
    running.service->execute(SetReadiness{true, ""});
    BOOST_TEST(client.call("GET /readyz").result_int() == 200U);
    const Response metrics = client.call("GET /metrics");
    BOOST_TEST(metrics.body() == "jobs_held 3\n");
    BOOST_TEST(std::string(metrics["Content-Type"]).starts_with("text/plain; version=0.0.4"));
}

BOOST_AUTO_TEST_CASE(SecretsAreChecked)
{
    IoThreads ioThreads;
    EventQueue events;
    const std::vector<OperatorKey> twice = {{OperatorName("a"), "s"}, {OperatorName("b"), "s"}};
    for (const std::vector<OperatorKey> &operators :
         {twice, {{OperatorName("a"), ""}}, {{OperatorName("a"), "with space"}}, {{OperatorName(""), "s"}}}) {
        const auto service = OperatorService::create(ioThreads.io, events, {NetAddress("127.0.0.1:0"), operators, {}}, {});
        BOOST_REQUIRE(service.has_error());
        BOOST_TEST(service.error().field.starts_with("operators["));
    }
    BOOST_TEST(OperatorService::create(ioThreads.io, events, {NetAddress("nowhere"), {}, {}}, {}).error().field == "listen");
}
