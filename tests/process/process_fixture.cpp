#include "process_fixture.h"

#include <fstream>
#include <stdexcept>

namespace Tanagertally::ProcessTests {

namespace {

constexpr const char *Loopback = "127.0.0.1:";

constexpr const char *SettingsRest = R"(peer:
  key: peer-secret-0123456789
teams:
  - name: app
    key: team-secret-0123456789
operators:
  - name: amal
    key: operator-secret-0123456789
fleet:
  kinds:
    - {name: lookup, idempotent: true, urgency: urgent, expectedRunTime: 20ms}
    - {name: confirm, urgency: urgent, expectedRunTime: 20ms}
    - {name: release, urgency: urgent, expectedRunTime: 20ms}
  policy: {maxQueueWait: 30s}
)";

std::string loopbackAddress()
{
    return Loopback + std::to_string(freePort());
}

} // namespace

ProcessFleet::ProcessFleet(const FleetSize &fleetSize)
    : size(fleetSize)
{
    this->startStandins();
    this->describeDaemons();
    for (Daemon &daemon : this->fleet) {
        this->writeSettings(daemon);
        this->start(daemon);
    }
    this->awaitReadiness();
}

void ProcessFleet::startStandins()
{
    std::vector<std::string> arguments{TANAGERTALLY_STANDINS_PROGRAM,
                                       "--endpoints",
                                       std::to_string(this->size.endpoints),
                                       "--domains",
                                       std::to_string(this->size.domains),
                                       "--other-kinds",
                                       "fixed:20ms",
                                       "--list-lag",
                                       "200ms"};
    arguments.insert(arguments.end(), this->size.standinArguments.begin(), this->size.standinArguments.end());
    this->standins = std::make_unique<ChildProcess>(ChildCommand{arguments, this->folder.file("standins.log")});
    const bool started
        = waitUntil([this] { return this->standins->output().find('\n') != std::string::npos || !this->standins->isRunning(); });
    const std::string line = this->standins->output();
    if (!started || !this->standins->isRunning()) {
        throw std::runtime_error("the stand-ins don't start: " + line);
    }
    this->addresses = nlohmann::json::parse(line.substr(0, line.find('\n')));
}

void ProcessFleet::describeDaemons()
{
    for (std::uint32_t index = 0; index < this->size.instances; ++index) {
        Daemon daemon;
        daemon.name = "e" + std::to_string(index + 1);
        daemon.domain = "dc" + std::to_string(index % this->size.domains + 1);
        daemon.peerAddress = loopbackAddress();
        daemon.callerAddress = loopbackAddress();
        daemon.operatorAddress = loopbackAddress();
        daemon.settings = this->folder.file(daemon.name + ".yaml");
        this->fleet.push_back(std::move(daemon));
    }
}

void ProcessFleet::writeSettings(const Daemon &daemon) const
{
    std::ofstream file(daemon.settings);
    file << "instance: {name: " << daemon.name << ", domain: " << daemon.domain << "}\n"
         << "listen: {peer: '" << daemon.peerAddress << "', caller: '" << daemon.callerAddress << "', operator: '" << daemon.operatorAddress
         << "'}\n"
         << "platform: {address: '" << this->addresses["platform"].get<std::string>() << "', listInterval: 100ms}\n"
         << SettingsRest;
}

void ProcessFleet::start(Daemon &daemon)
{
    const nlohmann::json entry{{"command", "add-instance"},
                               {"name", daemon.name},
                               {"domain", daemon.domain},
                               {"peerAddress", daemon.peerAddress},
                               {"atOnce", true}};
    this->control(entry);
    const std::vector<std::string> arguments{TANAGERTALLY_DAEMON_PROGRAM, "--settings", daemon.settings.string()};
    daemon.process = std::make_unique<ChildProcess>(ChildCommand{arguments, this->folder.file(daemon.name + ".log")});
}

bool ProcessFleet::isReady(const Daemon &daemon)
{
    return call(HttpCall{daemon.callerAddress, "GET", "/readyz", "", "", std::chrono::seconds(1)}).status == 200;
}

void ProcessFleet::awaitReadiness() const
{
    for (const Daemon &daemon : this->fleet) {
        const bool ready = waitUntil([&daemon] { return isReady(daemon) || !daemon.process->isRunning(); });
        if (!ready || !daemon.process->isRunning()) {
            throw std::runtime_error(daemon.name + " does not become ready:\n" + daemon.process->output());
        }
    }
}

std::vector<Daemon> &ProcessFleet::daemons()
{
    return this->fleet;
}

nlohmann::json ProcessFleet::control(const nlohmann::json &command) const
{
    const HttpAnswer answer = call(HttpCall{this->addresses["control"], "POST", "/control", "", command.dump()});
    if (answer.status != 200) {
        throw std::runtime_error("the stand-ins refuse " + command.dump() + ": " + answer.body);
    }
    return answer.json();
}

nlohmann::json ProcessFleet::starts() const
{
    return this->control({{"command", "report"}, {"endpoints", false}})["starts"];
}

HttpAnswer ProcessFleet::submit(const Daemon &daemon, const std::string &body)
{
    return callerCall(daemon, "POST", "/v1/jobs", body);
}

HttpAnswer ProcessFleet::callerCall(const Daemon &daemon, const std::string &method, const std::string &target, const std::string &body)
{
    return call(HttpCall{daemon.callerAddress, method, target, TeamKeyText, body});
}

HttpAnswer ProcessFleet::operate(const Daemon &daemon, const std::string &text)
{
    const nlohmann::json body{{"text", text}, {"dryRun", false}};
    return call(HttpCall{daemon.operatorAddress, "POST", "/v1/operate", OperatorKeyText, body.dump()});
}

std::string ProcessFleet::issueKey(const Daemon &daemon)
{
    const HttpAnswer answer = callerCall(daemon, "POST", "/v1/keys", "{\"count\":1}");
    if (answer.status != 200) {
        throw std::runtime_error("no key was issued: " + answer.body);
    }
    return answer.json()["keys"][0];
}

} // namespace Tanagertally::ProcessTests
