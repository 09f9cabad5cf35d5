#include "running_standins.h"

#include <boost/asio/connect.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/test/unit_test.hpp>

namespace Tanagertally::Standins {

namespace http = boost::beast::http;
using boost::system::error_code;

nlohmann::json Exchange::json() const
{
    return nlohmann::json::parse(this->body);
}

TestClient::TestClient(const std::string &address)
    : socket(this->io)
{
    const std::size_t colon = address.find(':');
    const auto port = static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)));
    error_code error;
    this->socket.connect({boost::asio::ip::make_address(address.substr(0, colon)), port}, error);
    this->connected = !error;
}

Exchange TestClient::exchange(const Call &call, std::chrono::milliseconds timeout)
{
    if (!this->connected) {
        return Exchange{Ending::Refused, 0, {}, {}};
    }
    http::request<http::string_body> request;
    request.method_string(call.method);
    request.target(call.target);
    request.version(11);
    for (const HttpHeader &header : call.headers) {
        request.set(header.name, header.value);
    }
    request.body() = call.body;
    request.prepare_payload();
    boost::beast::flat_buffer buffer;
    http::response<http::string_body> response;
    Exchange exchange;
    http::async_write(this->socket, request, [&](error_code, std::size_t) {
        http::async_read(this->socket, buffer, response,
                         [&](error_code error, std::size_t) { exchange.ending = error ? Ending::Closed : Ending::Answered; });
    });
    this->io.restart();
    this->io.run_for(timeout);
    if (!this->io.stopped()) {
        this->socket.close();
        this->connected = false;
        this->io.run();
        exchange.ending = Ending::Silent;
        return exchange;
    }
    exchange.status = exchange.ending == Ending::Answered ? response.result_int() : 0;
    exchange.body = response.body();
    exchange.notStarted = std::string(response["Not-Started"]);
    return exchange;
}

RunningStandins::RunningStandins()
{
    PlatformOptions platformOptions;
    platformOptions.speed.writeLatency = std::chrono::microseconds(100);
    platformOptions.speed.readLatency = std::chrono::microseconds(100);
    platformOptions.listLag = std::chrono::milliseconds(50);
    FleetOptions fleetOptions;
    fleetOptions.endpoints = 4;
    fleetOptions.workersPerRack = 2;
    fleetOptions.domains = 2;
    fleetOptions.slots = 2;
    fleetOptions.connectionLimit = 4;
    fleetOptions.runTimes.other.scale = std::chrono::milliseconds(1);
    this->platform = Platform::create(this->io, platformOptions).value();
    this->fleet = Fleet::create(this->io, fleetOptions, this->platform->list()).value();
    this->control = Control::create(this->io, HttpListenerOptions(), *this->fleet, *this->platform).value();
    for (int number = 0; number < 2; ++number) {
        this->threads.emplace_back([this] { this->io.run(); });
    }
}

RunningStandins::~RunningStandins()
{
    this->io.stop();
    this->threads.clear();
}

nlohmann::json RunningStandins::command(const std::string &text) const
{
    TestClient client(this->control->addresses()["control"].get<std::string>());
    const Exchange exchange = client.exchange(Call{"POST", "/control", text});
    BOOST_TEST_REQUIRE(exchange.status == 200U, text << " -> " << exchange.body);
    return exchange.json();
}

std::string RunningStandins::endpoint(std::size_t number) const
{
    return this->fleet->all().at(number)->address();
}

Exchange RunningStandins::runOn(std::size_t number, const std::string &task, const std::string &payload) const
{
    return TestClient(this->endpoint(number)).exchange(runCall(task, payload));
}

Exchange RunningStandins::askPlatform(const std::string &target, const std::string &body, const std::string &instance,
                                      std::chrono::milliseconds timeout) const
{
    Call call{"POST", target, body, {}};
    if (!instance.empty()) {
        call.headers.push_back({"Client-Instance", instance});
    }
    return TestClient(this->platform->address()).exchange(call, timeout);
}

void RunningStandins::awaitTotal(const std::string &name, std::uint64_t value) const
{
    constexpr int Attempts = 500;
    for (int attempt = 0; attempt < Attempts; ++attempt) {
        if (this->command(R"({"command":"report"})")["totals"][name] == value) {
            return;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    BOOST_FAIL(name << " did not reach " << value);
}

Call runCall(const std::string &task, const std::string &payload)
{
    return Call{"POST", "/run", payload, {{"Task-Id", task}, {"Task-Kind", "confirm"}}};
}

} // namespace Tanagertally::Standins
