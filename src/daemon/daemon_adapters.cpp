#include "daemon/daemon_adapters.h"

#include "daemon/control_thread.h"
#include "daemon/metrics.h"

#include <boost/outcome/try.hpp>

#include <array>

namespace Tanagertally {

static_assert(Adapters<DaemonAdapters>);

namespace {

PeerLinksOptions peerOptions(const Settings &settings, const InstanceIdentity &identity)
{
    PeerLinksOptions options;
    options.identity = identity;
    options.listen = settings.peerListen;
    options.sharedKey = settings.peerKey;
    options.reconnectInterval = settings.limits.peerReconnectInterval;
    options.maxMessageBytes = settings.limits.peerMessageBytes;
    options.silenceTimeout = settings.limits.peerSilenceTimeout;
    return options;
}

EndpointPoolOptions endpointOptions(const Settings &settings)
{
    EndpointPoolOptions options;
    options.maxConnectionsPerEndpoint = settings.limits.connectionsPerEndpoint;
    options.connectTimeout = settings.limits.endpointConnectTimeout;
    return options;
}

PlatformClientOptions platformOptions(const Settings &settings)
{
    PlatformClientOptions options;
    options.address = settings.platform;
    options.listInterval = settings.platformListInterval;
    options.connections = settings.platformConnections;
    options.instance = settings.name;
    return options;
}

CallerServiceOptions callerOptions(const Settings &settings)
{
    CallerServiceOptions options;
    options.listen = settings.callerListen;
    for (const TeamSecret &team : settings.teams) {
        options.teams.push_back(TeamKey{team.team, team.key});
    }
    options.limits.maxBodyBytes = settings.limits.callerRequestBytes;
    options.limits.maxConnections = settings.limits.callerConnections;
    options.limits.maxConnectionsPerAddress = settings.limits.callerConnectionsPerAddress;
    options.limits.maxRetainedBytes = settings.limits.callerMemory;
    options.limits.maxTrailerBytes = settings.limits.callerTrailerBytes;
    options.limits.idleTimeout = settings.limits.callerIdleTimeout;
    return options;
}

OperatorServiceOptions operatorOptions(const Settings &settings)
{
    OperatorServiceOptions options;
    options.listen = settings.operatorListen;
    for (const OperatorSecret &secret : settings.operators) {
        options.operators.push_back(OperatorKey{secret.name, secret.key});
    }
    return options;
}

} // namespace

DaemonAdapters::DaemonAdapters(EventLog &eventLog)
    : log(eventLog)
{
}

Result<std::unique_ptr<DaemonAdapters>> DaemonAdapters::create(const AdapterContext &context, const Settings &settings,
                                                               const InstanceIdentity &identity)
{
    std::unique_ptr<DaemonAdapters> adapters(new DaemonAdapters(context.log));
    BOOST_OUTCOME_TRY(adapters->peers, PeerLinks::create(context.events, peerOptions(settings, identity)));
    BOOST_OUTCOME_TRY(adapters->endpoints, EndpointPool::create(context.io, context.events, endpointOptions(settings)));
    BOOST_OUTCOME_TRY(adapters->platform, PlatformClient::create(context.io, context.events, platformOptions(settings)));
    BOOST_OUTCOME_TRY(adapters->callers, CallerService::create(context.io, context.events, callerOptions(settings)));
    auto metrics = [set = adapters.get(), &sharedStats = context.sharedStats] { return set->metricsText(sharedStats); };
    BOOST_OUTCOME_TRY(adapters->operators,
                      OperatorService::create(context.io, context.events, operatorOptions(settings), std::move(metrics)));
    return adapters;
}

std::string DaemonAdapters::metricsText(const SharedStats &sharedStats) const
{
    MetricsInput input;
    input.control = sharedStats.read();
    input.process = readProcessStats();
    input.peers = this->peers->stats();
    input.listFailures = this->platform->listFailures();
    return formatMetrics(input);
}

void DaemonAdapters::execute(ReplyToCaller action)
{
    this->callers->execute(std::move(action));
}

void DaemonAdapters::execute(ReplyToOperator action)
{
    this->operators->execute(std::move(action));
}

void DaemonAdapters::execute(const AddEndpoint &action)
{
    this->endpoints->execute(action);
}

void DaemonAdapters::execute(const RemoveEndpoint &action)
{
    this->endpoints->execute(action);
}

void DaemonAdapters::execute(StartAttempt action)
{
    this->endpoints->execute(std::move(action));
}

void DaemonAdapters::execute(const AbandonAttempt &action)
{
    this->endpoints->execute(action);
}

void DaemonAdapters::execute(const ProbeEndpoint &action)
{
    this->endpoints->execute(action);
}

void DaemonAdapters::execute(const OpenPeer &action)
{
    this->peers->execute(action);
}

void DaemonAdapters::execute(const ClosePeer &action)
{
    this->peers->execute(action);
}

void DaemonAdapters::execute(SendToPeer action)
{
    this->peers->execute(std::move(action));
}

void DaemonAdapters::execute(SendPlatformRequest action)
{
    this->platform->execute(std::move(action));
}

void DaemonAdapters::execute(const WriteLog &action)
{
    this->log.write(LogLevel::Info, action.event, action.fields);
}

void DaemonAdapters::execute(const SetReadiness &action)
{
    const std::array<LogField, 2> fields{{{"ready", action.ready ? "true" : "false"}, {"reason", action.reason}}};
    this->log.write(LogLevel::Info, "readiness", fields);
    this->callers->execute(action);
    this->operators->execute(action);
}

void DaemonAdapters::stopAccepting()
{
    this->callers->stopAccepting();
}

void DaemonAdapters::close()
{
    this->callers->close();
    this->operators->close();
    this->peers->close();
    this->endpoints->close();
    this->platform->close();
}

} // namespace Tanagertally
