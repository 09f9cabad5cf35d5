/** The settings of a daemon, as read from its settings file. */
#pragma once

#include "blackboard/config_type.h"
#include "blackboard/id_type.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Tanagertally {

/** The secret that authenticates the callers of a team. */
struct TeamSecret {
    TeamName team;
    std::string key; ///< Secret of the team.
};

/** The secret that authenticates an operator. */
struct OperatorSecret {
    OperatorName name;
    std::string key; ///< Secret of the operator.
};

/** Severity of a log line; as a setting, the minimum severity of the lines that are written. */
enum class LogLevel : std::uint8_t {
    Debug, ///< Details for debugging.
    Info, ///< Events of normal operation.
    Warning, ///< Faults that were handled.
    Error, ///< Faults that were not handled.
};

/** Limits on connections, message sizes and waiting times. */
struct SettingsLimits {
    std::uint32_t connectionsPerEndpoint = 0; ///< Maximum number of connections to one endpoint.
    Duration endpointConnectTimeout{}; ///< Timeout of opening a connection to an endpoint.
    std::uint64_t peerMessageBytes = 0; ///< Maximum length of a message on a peer link.
    Duration peerReconnectInterval{}; ///< Time between two attempts to open a peer link.
    std::uint64_t callerConnections = 0; ///< Maximum number of open connections of callers.
    std::uint64_t callerConnectionsPerAddress = 0; ///< Maximum number of open connections of callers from one remote IP address.
    std::uint64_t callerRequestBytes = 0; ///< Maximum length of the body of a caller's request.
    std::uint64_t callerMemory = 0; ///< Maximum memory of requests that are arriving and of replies that are not read yet.
    std::uint32_t callerTrailerBytes = 0; ///< Maximum length of a request's trailers and of the header of a chunk.
    Duration callerIdleTimeout{}; ///< Time without a request after which a caller's connection is closed.
    Duration peerSilenceTimeout{}; ///< Time without received data after which a peer link is considered broken.
};

/** Content of the settings file, with defaults applied. */
struct Settings {
    InstanceName name; ///< Name of this instance.
    FailureDomain domain; ///< Failure domain of this instance.
    NetAddress peerListen; ///< Listen address for peer links; also announced to peers.
    NetAddress callerListen; ///< Listen address for callers.
    NetAddress operatorListen; ///< Listen address for operators, metrics and health checks.
    std::string peerKey; ///< Secret shared by all instances of the fleet.
    std::string peerKeyFile; ///< File that the secret was read from; empty if the settings file contains the secret.
    std::vector<NetAddress> peers; ///< Addresses of initial peers; others come from the platform's instance list.
    NetAddress platform; ///< Address of the platform's service.
    Duration platformListInterval{}; ///< Time between two reads of the instance list.
    std::uint32_t platformConnections = 0; ///< Number of connections to the platform's service.
    std::vector<TeamSecret> teams; ///< Teams that may submit jobs.
    std::vector<OperatorSecret> operators; ///< Operators that may run queries and commands.
    std::uint32_t trafficThreads = 0; ///< Number of threads for sockets and codecs, in addition to the control thread.
    LogLevel logLevel = LogLevel::Info; ///< Minimum severity that is logged.
    SettingsLimits limits;
    std::optional<FleetConfig> fleet; ///< Fleet configuration to propose as version 1 if the platform stores none.
};

} // namespace Tanagertally
