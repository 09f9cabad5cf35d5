#include "command_codec.h"

#include "json_reader.h"

#include <array>
#include <boost/outcome/try.hpp>

namespace Tanagertally::Standins {

namespace {

constexpr double MaxFactor = 1e6;
constexpr double MaxRate = 1e9;

EndpointScope readEndpointScope(JsonReader &reader)
{
    EndpointScope scope;
    scope.all = reader.flag("all").value_or(false);
    scope.workers = reader.texts("workers");
    scope.racks = reader.texts("racks");
    scope.domains = reader.texts("domains");
    return scope;
}

ClientScope readClientScope(JsonReader &reader)
{
    ClientScope scope;
    scope.all = reader.flag("all").value_or(false);
    scope.instances = reader.texts("instances");
    scope.domains = reader.texts("domains");
    if (!scope.all && scope.instances.empty() && scope.domains.empty()) {
        reader.fail("instances", "names of instances or domains, or \"all\": true");
    }
    return scope;
}

std::optional<Outage> readOutage(JsonReader &reader)
{
    struct Name {
        std::string_view text;
        Outage outage;
    };
    constexpr std::array<Name, 4> Names{
        {{"none", Outage::None}, {"unavailable", Outage::Unavailable}, {"refused", Outage::Refused}, {"silent", Outage::Silent}}};
    const std::optional<std::string> text = reader.optionalText("outage");
    if (!text) {
        return std::nullopt;
    }
    for (const Name &name : Names) {
        if (name.text == *text) {
            return name.outage;
        }
    }
    reader.fail("outage", "none, unavailable, refused or silent");
    return std::nullopt;
}

Command readChangeEndpointFaults(JsonReader &reader)
{
    ChangeEndpointFaults command;
    command.scope = readEndpointScope(reader);
    command.change.failProbability = reader.number("failProbability", 0.0, 1.0);
    command.change.failFast = reader.flag("failFast");
    command.change.slowFactor = reader.number("slowFactor", 0.0, MaxFactor);
    command.change.stragglerProbability = reader.number("stragglerProbability", 0.0, 1.0);
    command.change.stragglerFactor = reader.number("stragglerFactor", 0.0, MaxFactor);
    command.change.refuseBusy = reader.flag("refuseBusy");
    command.change.silent = reader.flag("silent");
    command.change.dropProbability = reader.number("dropProbability", 0.0, 1.0);
    command.change.lateProbability = reader.number("lateProbability", 0.0, 1.0);
    command.change.lateDelay = reader.duration("lateDelay");
    return command;
}

Command readChangePlatformFaults(JsonReader &reader)
{
    ChangePlatformFaults command;
    command.scope = readClientScope(reader);
    command.change.extraLatency = reader.duration("extraLatency");
    command.change.slowFactor = reader.number("slowFactor", 0.0, MaxFactor);
    command.change.lostAnswerProbability = reader.number("lostAnswerProbability", 0.0, 1.0);
    command.change.outage = readOutage(reader);
    return command;
}

Command readChangePlatformSpeed(JsonReader &reader)
{
    ChangePlatformSpeed command;
    command.change.writeLatency = reader.duration("writeLatency");
    command.change.readLatency = reader.duration("readLatency");
    command.change.writeRate = reader.number("writeRate", 0.0, MaxRate);
    command.change.readRate = reader.number("readRate", 0.0, MaxRate);
    return command;
}

Command readSetListLag(JsonReader &reader)
{
    const std::optional<Duration> lag = reader.duration("lag");
    if (!lag) {
        reader.fail("lag", "a duration such as \"2s\"");
    }
    return SetListLag{lag.value_or(Duration::zero())};
}

Command readLeaveEndpoints(JsonReader &reader)
{
    return LeaveEndpoints{readEndpointScope(reader), reader.flag("refuses").value_or(true)};
}

Command readKillEndpoints(JsonReader &reader)
{
    return KillEndpoints{readEndpointScope(reader), reader.flag("unlist").value_or(true)};
}

Command readAddInstance(JsonReader &reader)
{
    return AddInstance{reader.text("name"), reader.text("domain"), reader.text("peerAddress"), reader.flag("atOnce").value_or(false)};
}

Command readLeaveInstance(JsonReader &reader)
{
    return LeaveInstance{reader.text("name"), reader.flag("atOnce").value_or(false)};
}

Command readRemoveInstance(JsonReader &reader)
{
    return RemoveInstance{reader.text("name"), reader.flag("atOnce").value_or(false)};
}

/** Name of a command and how its fields are read. */
struct CommandReader {
    std::string_view name; ///< Name in the document.
    Command (*read)(JsonReader &reader); ///< Reads its fields.
};

constexpr std::array<CommandReader, 20> Readers{{
    {"endpoint-faults", readChangeEndpointFaults},
    {"clear-endpoint-faults", [](JsonReader &reader) { return Command(ClearEndpointFaults{readEndpointScope(reader)}); }},
    {"leave-endpoints", readLeaveEndpoints},
    {"kill-endpoints", readKillEndpoints},
    {"revive-endpoints", [](JsonReader &reader) { return Command(ReviveEndpoints{readEndpointScope(reader)}); }},
    {"silence-connections", [](JsonReader &reader) { return Command(SilenceConnections{readEndpointScope(reader)}); }},
    {"platform-faults", readChangePlatformFaults},
    {"clear-platform-faults", [](JsonReader &reader) { return Command(ClearPlatformFaults{readClientScope(reader)}); }},
    {"cut-clients", [](JsonReader &reader) { return Command(CutClients{readClientScope(reader)}); }},
    {"heal-clients", [](JsonReader &reader) { return Command(HealClients{readClientScope(reader)}); }},
    {"platform-speed", readChangePlatformSpeed},
    {"list-lag", readSetListLag},
    {"add-instance", readAddInstance},
    {"leave-instance", readLeaveInstance},
    {"remove-instance", readRemoveInstance},
    {"dump-table", [](JsonReader &reader) { return Command(DumpTable{reader.optionalText("prefix").value_or("")}); }},
    {"report", [](JsonReader &reader) { return Command(ReportCounters{reader.flag("endpoints").value_or(true)}); }},
    {"starts", [](JsonReader &reader) { return Command(ReportStarts{reader.texts("tasks")}); }},
    {"addresses", [](JsonReader &) { return Command(ReportAddresses()); }},
    {"reset-counters", [](JsonReader &) { return Command(ResetCounters()); }},
}};

} // namespace

Result<Command> readCommand(std::string_view text)
{
    BOOST_OUTCOME_TRY(JsonReader reader, JsonReader::create(text));
    const std::string name = reader.text("command");
    for (const CommandReader &candidate : Readers) {
        if (candidate.name == name) {
            Command command = candidate.read(reader);
            BOOST_OUTCOME_TRY(reader.finish());
            return command;
        }
    }
    return makeError(ErrorCode::BadInput, "unknown command: '" + name + "'", "command");
}

} // namespace Tanagertally::Standins
