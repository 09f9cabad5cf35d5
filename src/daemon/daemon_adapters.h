/** The adapters of the daemon; dispatches each action to the adapter that carries it out. */
#pragma once

#include "caller/caller_service.h"
#include "controllers/action_type.h"
#include "controllers/event_queue.h"
#include "core/result_type.h"
#include "daemon/log.h"
#include "daemon/settings_type.h"
#include "daemon/shared_stats.h"
#include "endpoint/endpoint_pool.h"
#include "operator/operator_service.h"
#include "peer/peer_links.h"
#include "platform/platform_client.h"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <string>

namespace Tanagertally {

/** Objects that the adapters share; all of them have to outlive the adapters. */
struct AdapterContext {
    boost::asio::io_context &io; ///< Context that the traffic threads run.
    EventQueue &events; ///< Event queue of the control thread.
    SharedStats &sharedStats; ///< Statistics for the metrics page.
    EventLog &log; ///< Event log.
};

/**
 * All adapters of one daemon.
 * Thread safety: execute(), stopAccepting() and close() have to be called from the control thread.
 */
class DaemonAdapters
{
public:
    /**
     * Creates all listeners and clients.
     * @param context Objects that the adapters share.
     * @param settings The settings.
     * @param identity Identity of this instance.
     * @return The adapters, or the error of the first adapter that could not be created.
     */
    static Result<std::unique_ptr<DaemonAdapters>> create(const AdapterContext &context, const Settings &settings,
                                                          const InstanceIdentity &identity);

    /** Passes an action to its adapter; SetReadiness goes to the caller and the operator service. Doesn't block. */
    void execute(ReplyToCaller action);
    /** @copydoc execute */
    void execute(ReplyToOperator action);
    /** @copydoc execute */
    void execute(const AddEndpoint &action);
    /** @copydoc execute */
    void execute(const RemoveEndpoint &action);
    /** @copydoc execute */
    void execute(StartAttempt action);
    /** @copydoc execute */
    void execute(const AbandonAttempt &action);
    /** @copydoc execute */
    void execute(const ProbeEndpoint &action);
    /** @copydoc execute */
    void execute(const OpenPeer &action);
    /** @copydoc execute */
    void execute(const ClosePeer &action);
    /** @copydoc execute */
    void execute(SendToPeer action);
    /** @copydoc execute */
    void execute(SendPlatformRequest action);
    /** @copydoc execute */
    void execute(const WriteLog &action);
    /** @copydoc execute */
    void execute(const SetReadiness &action);

    /** Stops accepting connections of callers. */
    void stopAccepting();

    /** Flushes pending replies, then closes all adapters. */
    void close();

private:
    explicit DaemonAdapters(EventLog &eventLog);

    /** @return The metrics page. Thread safety: may be called from any thread. */
    std::string metricsText(const SharedStats &sharedStats) const;

    EventLog &log;
    std::unique_ptr<PeerLinks> peers; ///< Links to other instances.
    std::unique_ptr<EndpointPool> endpoints; ///< Connections to endpoints.
    std::unique_ptr<PlatformClient> platform; ///< Client of the platform's service.
    std::unique_ptr<CallerService> callers; ///< Serves callers.
    std::unique_ptr<OperatorService> operators; ///< Serves operators.
};

} // namespace Tanagertally
