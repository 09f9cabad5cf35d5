#include "control.h"

#include "command_codec.h"
#include "platform_codec.h"
#include "report_codec.h"

#include <boost/outcome/try.hpp>

namespace Tanagertally::Standins {

namespace http = boost::beast::http;

namespace {

/** Answer to a command that asks for nothing. */
nlohmann::json done()
{
    return {{"done", true}};
}

/** Answer to a command on endpoints. */
nlohmann::json doneOn(const Fleet::Endpoints &endpoints)
{
    return {{"done", true}, {"endpoints", endpoints.size()}};
}

void apply(const EndpointFaultsChange &change, EndpointFaults &faults)
{
    faults.failProbability = change.failProbability.value_or(faults.failProbability);
    faults.failFast = change.failFast.value_or(faults.failFast);
    faults.slowFactor = change.slowFactor.value_or(faults.slowFactor);
    faults.stragglerProbability = change.stragglerProbability.value_or(faults.stragglerProbability);
    faults.stragglerFactor = change.stragglerFactor.value_or(faults.stragglerFactor);
    faults.refuseBusy = change.refuseBusy.value_or(faults.refuseBusy);
    faults.silent = change.silent.value_or(faults.silent);
    faults.dropProbability = change.dropProbability.value_or(faults.dropProbability);
    faults.lateProbability = change.lateProbability.value_or(faults.lateProbability);
    faults.lateDelay = change.lateDelay.value_or(faults.lateDelay);
}

unsigned statusOf(ErrorCode code)
{
    switch (code) {
    case ErrorCode::BadInput:
        return 400;
    case ErrorCode::NotFound:
        return 404;
    default:
        return 500;
    }
}

HttpReply replyTo(const Result<nlohmann::json> &result)
{
    if (result) {
        return HttpReply{200, result.value().dump(-1, ' ', false, nlohmann::json::error_handler_t::replace), "application/json", {}};
    }
    const nlohmann::json error{{"message", result.error().message}, {"field", result.error().field}};
    return HttpReply{statusOf(result.error().code), error.dump(), "application/json", {}};
}

} // namespace

Control::Control(Private, Fleet &endpoints, Platform &platformService)
    : fleet(endpoints)
    , platform(platformService)
{
}

Result<std::unique_ptr<Control>> Control::create(boost::asio::io_context &io, HttpListenerOptions listen, Fleet &fleet, Platform &platform)
{
    auto control = std::make_unique<Control>(Private(), fleet, platform);
    HttpHandlers handlers{[self = control.get()](const HttpConnectionPtr &connection) { self->serve(connection); },
                          [](const HttpConnectionPtr &) {}};
    BOOST_OUTCOME_TRY(control->listener, HttpListener::create(io, std::move(listen), std::move(handlers)));
    return control;
}

void Control::serve(const HttpConnectionPtr &connection)
{
    const HttpRequest &request = connection->request();
    if (request.method() != http::verb::post || request.target() != "/control") {
        connection->reply(HttpReply{404, R"({"message":"use POST /control"})", "application/json", {}});
        return;
    }
    const Result<Command> command = readCommand(request.body());
    connection->reply(replyTo(command ? this->execute(command.value()) : Result<nlohmann::json>(command.error())));
}

Result<nlohmann::json> Control::execute(const Command &command)
{
    return std::visit([this](const auto &typed) { return this->executeCommand(typed); }, command);
}

nlohmann::json Control::addresses() const
{
    nlohmann::json endpoints = nlohmann::json::array();
    for (const Endpoint *endpoint : this->fleet.all()) {
        const EndpointPlace &place = endpoint->place();
        endpoints.push_back({{"worker", place.worker}, {"rack", place.rack}, {"domain", place.domain}, {"address", endpoint->address()}});
    }
    return {{"control", this->listener->address()}, {"platform", this->platform.address()}, {"endpoints", std::move(endpoints)}};
}

Result<nlohmann::json> Control::executeCommand(const ChangeEndpointFaults &command)
{
    BOOST_OUTCOME_TRY(const Fleet::Endpoints endpoints, this->fleet.select(command.scope));
    for (Endpoint *endpoint : endpoints) {
        EndpointFaults faults = endpoint->faults();
        apply(command.change, faults);
        endpoint->setFaults(faults);
    }
    return doneOn(endpoints);
}

Result<nlohmann::json> Control::executeCommand(const ClearEndpointFaults &command)
{
    BOOST_OUTCOME_TRY(const Fleet::Endpoints endpoints, this->fleet.select(command.scope));
    for (Endpoint *endpoint : endpoints) {
        endpoint->setFaults(EndpointFaults());
    }
    return doneOn(endpoints);
}

Result<nlohmann::json> Control::executeCommand(const LeaveEndpoints &command)
{
    BOOST_OUTCOME_TRY(const Fleet::Endpoints endpoints, this->fleet.select(command.scope));
    this->fleet.leave(endpoints, command.refuses);
    return doneOn(endpoints);
}

Result<nlohmann::json> Control::executeCommand(const KillEndpoints &command)
{
    BOOST_OUTCOME_TRY(const Fleet::Endpoints endpoints, this->fleet.select(command.scope));
    this->fleet.kill(endpoints, command.unlist);
    return doneOn(endpoints);
}

Result<nlohmann::json> Control::executeCommand(const ReviveEndpoints &command)
{
    BOOST_OUTCOME_TRY(const Fleet::Endpoints endpoints, this->fleet.select(command.scope));
    BOOST_OUTCOME_TRY(this->fleet.revive(endpoints));
    return doneOn(endpoints);
}

Result<nlohmann::json> Control::executeCommand(const SilenceConnections &command)
{
    BOOST_OUTCOME_TRY(const Fleet::Endpoints endpoints, this->fleet.select(command.scope));
    std::size_t connections = 0;
    for (Endpoint *endpoint : endpoints) {
        connections += endpoint->silenceConnections();
    }
    nlohmann::json answer = doneOn(endpoints);
    answer["connections"] = connections;
    return answer;
}

Result<nlohmann::json> Control::executeCommand(const ChangePlatformFaults &command)
{
    BOOST_OUTCOME_TRY(this->platform.changeFaults(command.scope, command.change));
    return done();
}

Result<nlohmann::json> Control::executeCommand(const ClearPlatformFaults &command)
{
    BOOST_OUTCOME_TRY(this->platform.clearFaults(command.scope));
    return done();
}

Result<nlohmann::json> Control::executeCommand(const CutClients &command)
{
    BOOST_OUTCOME_TRY(this->platform.cut(command.scope));
    return done();
}

Result<nlohmann::json> Control::executeCommand(const HealClients &command)
{
    this->platform.heal(command.scope);
    return done();
}

Result<nlohmann::json> Control::executeCommand(const ChangePlatformSpeed &command)
{
    this->platform.changeSpeed(command.change);
    return done();
}

Result<nlohmann::json> Control::executeCommand(const SetListLag &command)
{
    this->platform.list().setLag(command.lag);
    return done();
}

void Control::changeList(ListChange change, bool atOnce)
{
    if (atOnce) {
        this->platform.list().changeAtOnce(std::move(change));
        return;
    }
    this->platform.list().change(LaggingList::TimePoint::clock::now(), std::move(change));
}

Result<nlohmann::json> Control::executeCommand(const AddInstance &command)
{
    this->platform.placeClient(command.name, command.domain);
    this->changeList(InstanceEntry{command.name, command.domain, command.peerAddress, false}, command.atOnce);
    return done();
}

Result<nlohmann::json> Control::executeCommand(const LeaveInstance &command)
{
    const MemberList truth = this->platform.list().truth();
    const auto found = truth.instances.find(command.name);
    if (found == truth.instances.end()) {
        return makeError(ErrorCode::NotFound, "no such instance: " + command.name, "name");
    }
    InstanceEntry entry = found->second;
    entry.leaving = true;
    this->changeList(std::move(entry), command.atOnce);
    return done();
}

Result<nlohmann::json> Control::executeCommand(const RemoveInstance &command)
{
    if (!this->platform.list().truth().instances.contains(command.name)) {
        return makeError(ErrorCode::NotFound, "no such instance: " + command.name, "name");
    }
    this->changeList(InstanceGone{command.name}, command.atOnce);
    return done();
}

Result<nlohmann::json> Control::executeCommand(const DumpTable &command)
{
    return rowsToJson(this->platform.table().dump(command.prefix), RowValues::Included);
}

Result<nlohmann::json> Control::executeCommand(const ReportCounters &command)
{
    std::vector<EndpointReport> reports;
    nlohmann::json endpoints = nlohmann::json::array();
    for (const Endpoint *endpoint : this->fleet.all()) {
        reports.push_back(endpoint->report());
        endpoints.push_back(endpointToJson(reports.back()));
    }
    nlohmann::json answer{{"starts", startsToJson(this->fleet.starts().summary())},
                          {"totals", countersToJson(sumOf(reports))},
                          {"platform", platformToJson(this->platform)}};
    if (command.endpoints) {
        answer["endpoints"] = std::move(endpoints);
    }
    return answer;
}

Result<nlohmann::json> Control::executeCommand(const ReportStarts &command)
{
    nlohmann::json starts = nlohmann::json::object();
    for (const std::string &task : command.tasks) {
        starts[task] = this->fleet.starts().startsOf(task);
    }
    return nlohmann::json{{"starts", std::move(starts)}};
}

Result<nlohmann::json> Control::executeCommand(const ReportAddresses &)
{
    return this->addresses();
}

Result<nlohmann::json> Control::executeCommand(const ResetCounters &)
{
    this->fleet.resetCounters();
    this->platform.resetCounters();
    return done();
}

} // namespace Tanagertally::Standins
