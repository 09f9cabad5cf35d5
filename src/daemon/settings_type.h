/** The settings of one daemon, as read from its settings file. */
#pragma once

#include "blackboard/config_type.h"
#include "blackboard/id_type.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Tanagertally {

/** The secret with which the members of a team prove who they are. */
struct TeamSecret {
    TeamName team; ///< The team.
    std::string key; ///< Its secret.
};

/** The secret with which an operator proves who they are. */
struct OperatorSecret {
    OperatorName name; ///< The operator.
    std::string key; ///< Their secret.
};

/** Least severity of the log lines that are written. */
enum class LogLevel : std::uint8_t {
    Debug, ///< Everything.
    Info, ///< Events in the course of work.
    Warning, ///< Faults that were dealt with.
    Error, ///< Faults that were not.
};

/** Bounds on what this process takes in and waits for. */
struct SettingsLimits {
    std::uint32_t connectionsPerEndpoint = 0; ///< Most connections to one endpoint.
    Duration endpointConnectTimeout{}; ///< Time for opening a connection to an endpoint.
    std::uint64_t peerMessageBytes = 0; ///< Largest message on a peer link.
    Duration peerReconnectInterval{}; ///< Time between two tries to open a peer link.
    std::uint64_t callerConnections = 0; ///< Most connections of callers open at once.
    std::uint64_t callerConnectionsPerAddress = 0; ///< Most of them from one remote IP address.
    std::uint64_t callerRequestBytes = 0; ///< Longest body of a caller's request.
    Duration callerIdleTimeout{}; ///< Time that a caller's connection stays open without a request.
    Duration peerSilenceTimeout{}; ///< Silence after which a peer link counts as broken.
};

/** Everything that a daemon is told by its settings file. */
struct Settings {
    InstanceName name; ///< Name of this instance.
    FailureDomain domain; ///< Failure domain that it runs in.
    NetAddress peerListen; ///< Where it accepts peer links; also its address in the eyes of its peers.
    NetAddress callerListen; ///< Where it serves callers.
    NetAddress operatorListen; ///< Where it serves operators.
    std::string peerKey; ///< Secret that all instances of the fleet share.
    std::string peerKeyFile; ///< File that the secret was read from; empty if it stood in the settings.
    std::vector<NetAddress> peers; ///< Peers known from the start.
    NetAddress platform; ///< Address of the platform's service.
    Duration platformListInterval{}; ///< Time between two reads of the instance list.
    std::uint32_t platformConnections = 0; ///< Connections to the platform.
    std::vector<TeamSecret> teams; ///< Teams that may submit jobs.
    std::vector<OperatorSecret> operators; ///< Operators that may ask and command.
    std::uint32_t trafficThreads = 0; ///< Threads for sockets and codecs.
    LogLevel logLevel = LogLevel::Info; ///< Least severity that is logged.
    SettingsLimits limits; ///< Bounds.
    std::optional<FleetConfig> fleet; ///< Fleet configuration to propose where the platform holds none.
};

} // namespace Tanagertally
