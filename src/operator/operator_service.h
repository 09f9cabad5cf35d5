/** The operators' interface: queries and commands over HTTP, and metrics. */
#pragma once

#include "caller/http_type.h"
#include "controllers/action_type.h"
#include "controllers/event_queue.h"
#include "core/result_type.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Tanagertally {

/** Secret by which an operator is known. */
struct OperatorKey {
    OperatorName name; ///< The operator.
    std::string secret; ///< What the operator sends as bearer token; never logged.
};

/** Set-up of an OperatorService. */
struct OperatorServiceOptions {
    NetAddress listen; ///< Where to listen; port 0 for any free port.
    std::vector<OperatorKey> operators; ///< Known operators; if empty, everybody is operator "default".
    HttpLimits limits; ///< Limits of the listener.
};

/**
 * Serves operators on one listener.
 * Thread safety: carryOut() from the control thread; close() from any thread that doesn't run the io_context.
 */
class OperatorService
{
public:
    /**
     * Start listening.
     * @param io Its threads do the traffic; has to outlive the service.
     * @param events Where requests go; has to outlive the service.
     * @param options Set-up.
     * @param metricsText Gives the text for /metrics; called from traffic threads.
     * @return The service, or BadInput for a malformed address or operator, or Unavailable if the address can't be bound.
     */
    static Result<std::unique_ptr<OperatorService>> create(boost::asio::io_context &io, EventQueue &events, OperatorServiceOptions options,
                                                           std::function<std::string()> metricsText);

    ~OperatorService();
    OperatorService(const OperatorService &) = delete;
    OperatorService &operator=(const OperatorService &) = delete;

    /** Send a reply to a call; dropped if its connection is gone. Doesn't block. */
    void carryOut(ReplyToOperator action);

    /** Change what /readyz answers. Doesn't block. */
    void carryOut(const SetReadiness &action);

    /** @return The address that it listens at, with the port that was bound. */
    NetAddress address() const;

    /** Close everything. Returns when all replies handed over have been written, or after 2 s. */
    void close();

private:
    class Impl;
    explicit OperatorService(std::unique_ptr<Impl> implementation);

    std::unique_ptr<Impl> impl; ///< Handler and server.
};

} // namespace Tanagertally
