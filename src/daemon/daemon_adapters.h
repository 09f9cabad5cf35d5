/** The adapters of the daemon: each action goes to the one that carries it out. */
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

/** What the adapters share; all of it has to outlive them. */
struct AdapterContext {
    boost::asio::io_context &io; ///< Run by the traffic threads.
    EventQueue &events; ///< Takes events for the control thread.
    SharedStats &sharedStats; ///< Figures for metrics.
    EventLog &log; ///< The log.
};

/**
 * All adapters of one daemon.
 * Thread safety: carryOut(), stopAccepting() and close() from the control thread.
 */
class DaemonAdapters
{
public:
    /**
     * Open all listeners and clients.
     * @param context What the adapters share.
     * @param settings The settings.
     * @param identity Who this instance is.
     * @return The adapters, or the error of the first that could not be opened.
     */
    static Result<std::unique_ptr<DaemonAdapters>> create(const AdapterContext &context, const Settings &settings,
                                                          const InstanceIdentity &identity);

    /** Carry out an action; each goes to one adapter, SetReadiness to both listeners. Doesn't block. */
    void carryOut(ReplyToCaller action);
    /** @copydoc carryOut */
    void carryOut(ReplyToOperator action);
    /** @copydoc carryOut */
    void carryOut(const AddEndpoint &action);
    /** @copydoc carryOut */
    void carryOut(const RemoveEndpoint &action);
    /** @copydoc carryOut */
    void carryOut(StartAttempt action);
    /** @copydoc carryOut */
    void carryOut(const AbandonAttempt &action);
    /** @copydoc carryOut */
    void carryOut(const ProbeEndpoint &action);
    /** @copydoc carryOut */
    void carryOut(const OpenPeer &action);
    /** @copydoc carryOut */
    void carryOut(const ClosePeer &action);
    /** @copydoc carryOut */
    void carryOut(SendToPeer action);
    /** @copydoc carryOut */
    void carryOut(AskPlatform action);
    /** @copydoc carryOut */
    void carryOut(const WriteLog &action);
    /** @copydoc carryOut */
    void carryOut(const SetReadiness &action);

    /** Take in no more callers. */
    void stopAccepting();

    /** Flush the replies that were handed over, then close everything. */
    void close();

private:
    explicit DaemonAdapters(EventLog &eventLog);

    /** @return The metrics page. Thread safety: any thread. */
    std::string metricsText(const SharedStats &sharedStats) const;

    EventLog &log; ///< The log.
    std::unique_ptr<PeerLinks> peers; ///< Links to other instances.
    std::unique_ptr<EndpointPool> endpoints; ///< Connections to endpoints.
    std::unique_ptr<PlatformClient> platform; ///< Client of the platform.
    std::unique_ptr<CallerService> callers; ///< Listener for callers.
    std::unique_ptr<OperatorService> operators; ///< Listener for operators.
};

} // namespace Tanagertally
