#include "daemon/settings_table.h"

#include <array>

namespace Tanagertally {

namespace {

constexpr std::int64_t Millisecond = 1'000'000;
constexpr std::int64_t Second = 1'000 * Millisecond;
constexpr std::int64_t Minute = 60 * Second;
constexpr std::int64_t KiB = 1'024;
constexpr std::int64_t MiB = 1'024 * KiB;

constexpr SettingRange NameLength{1, 64};
constexpr SettingRange SecretLength{16, 256};

LogLevel parseLogLevel(std::string_view word)
{
    if (word == "debug") {
        return LogLevel::Debug;
    }
    if (word == "warning") {
        return LogLevel::Warning;
    }
    return word == "error" ? LogLevel::Error : LogLevel::Info;
}

const Setting Table[] = {
    {
        .path = "instance.name",
        .type = SettingType::Name,
        .range = NameLength,
        .description = "Name of this instance, unique in the fleet.",
        .set = [](Settings &settings, std::string_view text) { settings.name.value = text; },
    },
    {
        .path = "instance.domain",
        .type = SettingType::Name,
        .range = NameLength,
        .description = "Failure domain that this instance runs in.",
        .set = [](Settings &settings, std::string_view text) { settings.domain.value = text; },
    },
    {
        .path = "listen.peer",
        .type = SettingType::Address,
        .description = "Listen address of this instance for links of its peers; also announced to them.",
        .set = [](Settings &settings, std::string_view text) { settings.peerListen.value = text; },
    },
    {
        .path = "listen.caller",
        .type = SettingType::Address,
        .description = "Address on which this instance serves callers.",
        .set = [](Settings &settings, std::string_view text) { settings.callerListen.value = text; },
    },
    {
        .path = "listen.operator",
        .type = SettingType::Address,
        .description = "Address on which this instance serves operators, metrics and health checks.",
        .set = [](Settings &settings, std::string_view text) { settings.operatorListen.value = text; },
    },
    {
        .path = "peer.key",
        .type = SettingType::Secret,
        .range = SecretLength,
        .presence = Presence::Optional,
        .description = "Secret that all instances of the fleet share; exactly one of this and `peer.keyFile` is required.",
        .set = [](Settings &settings, std::string_view text) { settings.peerKey = text; },
    },
    {
        .path = "peer.keyFile",
        .type = SettingType::File,
        .presence = Presence::Optional,
        .description
        = "File whose first line is the secret, in place of `peer.key`; a relative path starts at the folder of the settings file.",
        .set = [](Settings &settings, std::string_view text) { settings.peerKeyFile = text; },
    },
    {
        .path = "peer.addresses",
        .type = SettingType::AddressList,
        .range = {0, 1'000},
        .presence = Presence::Optional,
        .description = "Peers known from the start; others come from the platform's instance list.",
        .set = [](Settings &settings, std::string_view text) { settings.peers.emplace_back(std::string(text)); },
    },
    {
        .path = "platform.address",
        .type = SettingType::Address,
        .description = "Address of the platform's service.",
        .set = [](Settings &settings, std::string_view text) { settings.platform.value = text; },
    },
    {
        .path = "platform.listInterval",
        .type = SettingType::TimeSpan,
        .range = {100 * Millisecond, Minute},
        .presence = Presence::Defaulted,
        .defaultText = "500ms",
        .description = "Time between two reads of the platform's instance list.",
        .set = [](Settings &settings, std::int64_t number) { settings.platformListInterval = Duration(number); },
    },
    {
        .path = "platform.connections",
        .type = SettingType::Integer,
        .range = {1, 64},
        .presence = Presence::Defaulted,
        .defaultText = "4",
        .description = "Number of connections to the platform's service.",
        .set = [](Settings &settings, std::int64_t number) { settings.platformConnections = static_cast<std::uint32_t>(number); },
    },
    {
        .path = "teams",
        .type = SettingType::MapList,
        .range = {1, 10'000},
        .description = "Teams that may submit jobs.",
        .set = [](Settings &settings) { settings.teams.emplace_back(); },
    },
    {
        .path = "teams[].name",
        .type = SettingType::Name,
        .range = NameLength,
        .description = "Name of the team; no two entries may have the same name.",
        .set = [](Settings &settings, std::string_view text) { settings.teams.back().team.value = text; },
    },
    {
        .path = "teams[].key",
        .type = SettingType::Secret,
        .range = SecretLength,
        .description = "Secret that authenticates callers of the team.",
        .set = [](Settings &settings, std::string_view text) { settings.teams.back().key = text; },
    },
    {
        .path = "operators",
        .type = SettingType::MapList,
        .range = {1, 1'000},
        .description = "Operators that may ask a query or give a command.",
        .set = [](Settings &settings) { settings.operators.emplace_back(); },
    },
    {
        .path = "operators[].name",
        .type = SettingType::Name,
        .range = NameLength,
        .description = "Name of the operator in the audit trail; no two entries may have the same name.",
        .set = [](Settings &settings, std::string_view text) { settings.operators.back().name.value = text; },
    },
    {
        .path = "operators[].key",
        .type = SettingType::Secret,
        .range = SecretLength,
        .description = "Secret that authenticates the operator.",
        .set = [](Settings &settings, std::string_view text) { settings.operators.back().key = text; },
    },
    {
        .path = "traffic.threads",
        .type = SettingType::Integer,
        .range = {1, 64},
        .presence = Presence::Defaulted,
        .defaultText = "2",
        .description = "Threads for sockets and codecs, in addition to the one control thread.",
        .set = [](Settings &settings, std::int64_t number) { settings.trafficThreads = static_cast<std::uint32_t>(number); },
    },
    {
        .path = "log.level",
        .type = SettingType::Choice,
        .choices = "debug info warning error",
        .presence = Presence::Defaulted,
        .defaultText = "info",
        .description = "Minimum severity of the log lines on standard output.",
        .set = [](Settings &settings, std::string_view text) { settings.logLevel = parseLogLevel(text); },
    },
    {
        .path = "limits.callerConnections",
        .type = SettingType::Integer,
        .range = {1, 1'000'000},
        .presence = Presence::Defaulted,
        .defaultText = "4096",
        .description = "Maximum number of open connections of callers.",
        .set = [](Settings &settings, std::int64_t number) { settings.limits.callerConnections = static_cast<std::uint64_t>(number); },
    },
    {
        .path = "limits.callerConnectionsPerAddress",
        .type = SettingType::Integer,
        .range = {1, 1'000'000},
        .presence = Presence::Defaulted,
        .defaultText = "4096",
        .description = "Maximum number of open connections of callers from one remote IP address; behind a load balancer, that is the "
                       "address of the balancer.",
        .set
        = [](Settings &settings, std::int64_t number) { settings.limits.callerConnectionsPerAddress = static_cast<std::uint64_t>(number); },
    },
    {
        .path = "limits.callerRequestBytes",
        .type = SettingType::Size,
        .range = {1 * KiB, 256 * MiB},
        .presence = Presence::Defaulted,
        .defaultText = "8MiB",
        .description = "Maximum length of the body of a caller's request.",
        .set = [](Settings &settings, std::int64_t number) { settings.limits.callerRequestBytes = static_cast<std::uint64_t>(number); },
    },
    {
        .path = "limits.callerMemory",
        .type = SettingType::Size,
        .range = {1 * MiB, 1'048'576 * MiB},
        .presence = Presence::Defaulted,
        .defaultText = "1024MiB",
        .description = "Maximum memory of all callers' requests that are arriving and of all replies that are not read yet; beyond it the "
                       "request that began first is refused.",
        .set = [](Settings &settings, std::int64_t number) { settings.limits.callerMemory = static_cast<std::uint64_t>(number); },
    },
    {
        .path = "limits.callerTrailerBytes",
        .type = SettingType::Size,
        .range = {1 * KiB, 1 * MiB},
        .presence = Presence::Defaulted,
        .defaultText = "16KiB",
        .description = "Maximum length of the trailers of a caller's request, and of the header of each chunk of its body.",
        .set = [](Settings &settings, std::int64_t number) { settings.limits.callerTrailerBytes = static_cast<std::uint32_t>(number); },
    },
    {
        .path = "limits.callerIdleTimeout",
        .type = SettingType::TimeSpan,
        .range = {1 * Second, 60 * Minute},
        .presence = Presence::Defaulted,
        .defaultText = "75s",
        .description = "Time without a request after which a caller's connection is closed.",
        .set = [](Settings &settings, std::int64_t number) { settings.limits.callerIdleTimeout = Duration(number); },
    },
    {
        .path = "limits.connectionsPerEndpoint",
        .type = SettingType::Integer,
        .range = {1, 1'000},
        .presence = Presence::Defaulted,
        .defaultText = "60",
        .description = "Maximum number of connections of this instance to one endpoint.",
        .set = [](Settings &settings, std::int64_t number) { settings.limits.connectionsPerEndpoint = static_cast<std::uint32_t>(number); },
    },
    {
        .path = "limits.endpointConnectTimeout",
        .type = SettingType::TimeSpan,
        .range = {10 * Millisecond, 30 * Second},
        .presence = Presence::Defaulted,
        .defaultText = "500ms",
        .description = "Timeout of opening a connection to an endpoint.",
        .set = [](Settings &settings, std::int64_t number) { settings.limits.endpointConnectTimeout = Duration(number); },
    },
    {
        .path = "limits.peerMessageBytes",
        .type = SettingType::Size,
        .range = {64 * KiB, 256 * MiB},
        .presence = Presence::Defaulted,
        .defaultText = "16MiB",
        .description = "Maximum length of a message on a peer link.",
        .set = [](Settings &settings, std::int64_t number) { settings.limits.peerMessageBytes = static_cast<std::uint64_t>(number); },
    },
    {
        .path = "limits.peerReconnectInterval",
        .type = SettingType::TimeSpan,
        .range = {10 * Millisecond, Minute},
        .presence = Presence::Defaulted,
        .defaultText = "250ms",
        .description = "Time between two attempts to open a peer link.",
        .set = [](Settings &settings, std::int64_t number) { settings.limits.peerReconnectInterval = Duration(number); },
    },
    {
        .path = "limits.peerSilenceTimeout",
        .type = SettingType::TimeSpan,
        .range = {100 * Millisecond, Minute},
        .presence = Presence::Defaulted,
        .defaultText = "1s",
        .description = "Time without received data after which a peer link is considered broken.",
        .set = [](Settings &settings, std::int64_t number) { settings.limits.peerSilenceTimeout = Duration(number); },
    },
    {
        .path = "fleet",
        .type = SettingType::Document,
        .presence = Presence::Optional,
        .description
        = "Fleet configuration that is proposed as version 1 if the platform stores none; later changes are made by operators.",
        .set = {},
    },
};

} // namespace

std::span<const Setting> settingsTable()
{
    return Table;
}

} // namespace Tanagertally
