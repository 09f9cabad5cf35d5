#define BOOST_TEST_MODULE cli
#include "caller/tests/service_fixture.h"
#include "cli/cli.h"
#include "cli/job_file.h"

#include <boost/test/unit_test.hpp>

#include <sstream>

using namespace Tanagertally;
using namespace Tanagertally::Testing;

namespace {

/** Result of one run of the tool. */
struct Run {
    ExitCode code = ExitCode::Done;
    std::string out; ///< Standard output.
    std::string err; ///< Standard error.
};

Run runTool(const NetAddress &server, std::vector<std::string> arguments, const std::string &input = {}, bool isInteractive = false)
{
    std::vector<const char *> pointers{"tanagertally", "--server", server.value.c_str()};
    for (const std::string &argument : arguments) {
        pointers.push_back(argument.c_str());
    }
    std::istringstream in(input);
    std::ostringstream out;
    std::ostringstream err;
    const ExitCode code = runCli(pointers, in, Terminal{out, err, isInteractive});
    return Run{code, out.str(), err.str()};
}

/** Server that accepts one request on each connection and sends scripted replies; for an empty one, it closes the connection without a
 * reply. */
class ScriptedServer
{
public:
    explicit ScriptedServer(std::vector<std::string> script)
        : acceptor(this->io, {boost::asio::ip::address_v4::loopback(), 0})
        , thread([this, replies = std::move(script)] {
            for (const std::string &body : replies) {
                this->serve(body);
            }
            this->acceptor.close();
        })
    {
    }

    NetAddress address() const
    {
        return this->bound;
    }

    std::vector<std::string> keys; ///< Idempotency-Key header of each request; not synchronized, so read it only after the last reply.

private:
    void serve(const std::string &body)
    {
        boost::asio::ip::tcp::socket socket(this->io);
        this->acceptor.accept(socket);
        boost::beast::flat_buffer buffer;
        boost::beast::http::request<boost::beast::http::string_body> request;
        boost::beast::http::read(socket, buffer, request);
        this->keys.emplace_back(request["Idempotency-Key"]);
        if (!body.empty()) {
            const bool isRefusal = body.starts_with(R"({"code")");
            const std::string status = isRefusal ? "400 Bad Request" : "200 OK";
            const std::string head = "HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
            boost::asio::write(socket, boost::asio::buffer(head + body));
        }
    }

    boost::asio::io_context io; ///< Used for blocking calls only; never run.
    boost::asio::ip::tcp::acceptor acceptor;
    NetAddress bound{"127.0.0.1:" + std::to_string(acceptor.local_endpoint().port())}; ///< Address of the listener.
    std::jthread thread; ///< Accepts connections; joined in the destructor.
};

constexpr const char *LookupJob = R"({"tasks":[{"kind":"lookup","payload":{"price":1.10}}]})";
const NetAddress NoServer("127.0.0.1:1");

} // namespace

BOOST_AUTO_TEST_CASE(ExitCodeReflectsJobOutcome)
{
    RunningService running;
    const auto submit = [&](const std::string &kind) {
        return runTool(running.address(), {"submit", "-"}, R"({"tasks":[{"kind":")" + kind + R"(","payload":1}]})");
    };
    BOOST_TEST((submit("lookup").code == ExitCode::Done));
    BOOST_TEST((submit("fail").code == ExitCode::JobFailed));
    BOOST_TEST((submit("two words").code == ExitCode::BadInput));
    const Run busy = submit("busy");
    BOOST_TEST((busy.code == ExitCode::Refused));
    BOOST_TEST(busy.err.find("retry in 1200 ms") != std::string::npos);
    BOOST_TEST((submit("doubt").code == ExitCode::MayHaveRun));
    BOOST_TEST((runTool(NoServer, {"--retries", "1", "submit", "-"}, LookupJob).code == ExitCode::Unreachable));
    for (const auto &arguments : std::vector<std::vector<std::string>>{
             {}, {"submit"}, {"nothing"}, {"keys", "--count", "0"}, {"--output", "xml", "status"}, {"submit", "/no/such/file"}}) {
        BOOST_TEST((runTool(running.address(), arguments).code == ExitCode::BadInput));
    }
    BOOST_TEST((runTool(running.address(), {"--help"}).code == ExitCode::Done));
}

BOOST_AUTO_TEST_CASE(JsonOutputIsTheServerDocument)
{
    RunningService running;
    const Run run = runTool(running.address(), {"--output", "json", "submit", "--key", "k/1", "-"}, LookupJob);
    BOOST_TEST(run.out
               == R"({"key":"k/1","outcome":"complete","tasks":[{"verdict":"ran","succeeded":true,"output":{"price":1.10}}]})"
                  "\n");
    const Run refused = runTool(running.address(), {"fetch", "nothing", "--output", "json"});
    BOOST_TEST((refused.code == ExitCode::Refused));
    BOOST_TEST(Json::parse(refused.out)["code"] == "not-found");
    const Run unreachable = runTool(NoServer, {"--retries", "0", "--output", "json", "keys"});
    BOOST_TEST(Json::parse(unreachable.out)["code"] == "unreachable");
}

BOOST_AUTO_TEST_CASE(LaterFetchCancelKeysAndStatus)
{
    RunningService running;
    const Run accepted = runTool(running.address(), {"submit", "--later", "--timeout", "2m", "--key", "l", "-"}, LookupJob);
    BOOST_TEST((accepted.code == ExitCode::Done));
    BOOST_TEST(accepted.out == "accepted; fetch the answer with: tanagertally fetch l\n");
    BOOST_TEST(running.waitFor([](const auto &events) {
        const auto submitted = RunningService::eventsOf<JobSubmitted>(events);
        return !submitted.empty() && submitted[0].job.mode == SubmitMode::Later && submitted[0].job.timeout == std::chrono::minutes(2);
    }));
    const Run fetched = runTool(running.address(), {"fetch", "l", "--wait"});
    BOOST_TEST(fetched.out == "job l: complete\n  task 0: ran {\"price\":1.1}\n");
    BOOST_TEST((runTool(running.address(), {"submit", "--later", "--wait", "-"}, LookupJob).code == ExitCode::Done));
    BOOST_TEST((runTool(running.address(), {"cancel", "l"}).code == ExitCode::Done));
    BOOST_TEST(runTool(running.address(), {"keys", "--count", "2"}).out == "issued-2\nissued-3\n");
    BOOST_TEST((runTool(running.address(), {"status"}).code == ExitCode::Refused));
    running.service->execute(SetReadiness{true, ""});
    BOOST_TEST(runTool(running.address(), {"status"}).out == "ready\n");
    const Run conflict = runTool(running.address(), {"submit", "--later", "-"}, R"({"mode":"wait","tasks":[{"kind":"a","payload":1}]})");
    BOOST_TEST((conflict.code == ExitCode::BadInput));
}

BOOST_AUTO_TEST_CASE(LostSubmissionIsRetriedUnderTheSameKey)
{
    const std::string answer = R"({"key":"K","outcome":"complete","tasks":[]})";
    ScriptedServer server({R"({"keys":["K"],"validForMs":1000})", "", "", answer});
    const Run run = runTool(server.address(), {"submit", "-"}, LookupJob);
    BOOST_TEST((run.code == ExitCode::Done));
    BOOST_TEST(run.err.find("resubmitting under the same key K, try 3") != std::string::npos);
    BOOST_TEST(server.keys == (std::vector<std::string>{"", "\"K\"", "\"K\"", "\"K\""}), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(LostSubmissionWithoutAnswerMayHaveRun)
{
    ScriptedServer server({R"({"keys":["K"],"validForMs":1000})", ""});
    const Run run = runTool(server.address(), {"--retries", "1", "--output", "json", "submit", "-"}, LookupJob);
    BOOST_TEST((run.code == ExitCode::MayHaveRun));
    BOOST_TEST(Json::parse(run.out)["verdict"] == "may-have-run");
}

BOOST_AUTO_TEST_CASE(RefusalWithoutVerdictAfterALostTryMayHaveRun)
{
    const std::string refusal = R"({"code":"quota-exceeded","message":"m","field":""})";
    ScriptedServer lost({R"({"keys":["K"],"validForMs":1000})", "", refusal});
    BOOST_TEST((runTool(lost.address(), {"submit", "-"}, LookupJob).code == ExitCode::MayHaveRun));
    ScriptedServer fresh({R"({"keys":["K"],"validForMs":1000})", refusal});
    BOOST_TEST((runTool(fresh.address(), {"submit", "-"}, LookupJob).code == ExitCode::Refused));
    ScriptedServer owned({refusal});
    BOOST_TEST((runTool(owned.address(), {"submit", "--key", "own", "-"}, LookupJob).code == ExitCode::MayHaveRun));
}

BOOST_AUTO_TEST_CASE(ProgressIsShownOnInteractiveTerminalOnly)
{
    const std::vector<std::string> script
        = {R"({"key":"K","state":"running","tasks":900,"started":20,"finished":10})", R"({"key":"K","outcome":"complete","tasks":[]})"};
    ScriptedServer watched(script);
    const Run run = runTool(watched.address(), {"fetch", "K", "--wait"}, {}, true);
    BOOST_TEST(run.err == "\rrunning: 10 of 900 tasks finished\n");
    ScriptedServer unwatched(script);
    BOOST_TEST(runTool(unwatched.address(), {"fetch", "K", "--wait"}).err.empty());
    ScriptedServer running({script[0]});
    BOOST_TEST((runTool(running.address(), {"fetch", "K"}).code == ExitCode::MayHaveRun));
}

BOOST_AUTO_TEST_CASE(OperatorQueriesAndCommands)
{
    ScriptedServer rows({R"({"rows":[{"worker":"w1","slots":8},{"worker":"worker12","slots":16}]})"});
    const std::string address = rows.address().value;
    BOOST_TEST(runTool(NoServer, {"--operator-server", address, "ask", "endpoints"}).out == "worker    slots\nw1        8\nworker12  16\n");
    ScriptedServer lost({""});
    const Run command = runTool(NoServer, {"--operator-server", lost.address().value, "command", "drain w1"});
    BOOST_TEST((command.code == ExitCode::MayHaveRun));
    ScriptedServer refused({R"({"code":"bad-input","message":"expected a worker","field":"column 7"})"});
    const Run wrong = runTool(NoServer, {"--operator-server", refused.address().value, "command", "drain"});
    BOOST_TEST((wrong.code == ExitCode::BadInput));
    BOOST_TEST(wrong.err == "refused (bad-input): column 7: expected a worker\n");
}

BOOST_AUTO_TEST_CASE(YamlIsConvertedToJson)
{
    const auto json = [](std::string_view yaml) { return yamlToJson(yaml).value(); };
    BOOST_TEST(
        json("key: 'a'\ntasks:\n- kind: lookup\n  payload: {n: 1.10, s: \"1\", phone: 0612, t: true, z: ~, d: 2026-12-03}\n")
        == R"({"key":"a","tasks":[{"kind":"lookup","payload":{"n":1.10,"s":"1","phone":"0612","t":true,"z":null,"d":"2026-12-03"}}]})");
    for (const auto &[yaml, field] : std::vector<std::pair<std::string, std::string>>{
             {"a: [1\nb: 2", "line 2"}, {"a: 1\na: 2", "line 2, column 1"}, {"? [1]\n: 2", "line 1, column 3"}}) {
        const Result<std::string> result = yamlToJson(yaml);
        BOOST_REQUIRE(result.has_error());
        BOOST_TEST(result.error().field.starts_with(field), result.error().field);
    }
}
