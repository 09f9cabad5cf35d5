/** The operators' interface over HTTP: queries, commands and metrics. */
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

/** Secret with which an operator authenticates. */
struct OperatorKey {
    OperatorName name; ///< Name of the operator.
    std::string secret; ///< Bearer token of the operator; never logged.
};

/** Options of an OperatorService. */
struct OperatorServiceOptions {
    NetAddress listen; ///< Listen address; port 0 for any free port.
    std::vector<OperatorKey> operators; ///< Known operators; if empty, every request comes from operator "default".
    HttpLimits limits; ///< Limits of the listener.
};

/**
 * HTTP service for operators, on one listener.
 * Thread safety: execute() from the control thread; close() from any thread that doesn't run the io_context.
 */
class OperatorService
{
public:
    /**
     * Starts listening.
     * @param io Runs all I/O of the service; must outlive it.
     * @param events Queue that receives the requests as events; must outlive the service.
     * @param options Listen address, operators and limits.
     * @param metricsText Returns the body of /metrics; called on I/O threads.
     * @return The service, or BadInput for a malformed address or operator, or Unavailable if the address can't be bound.
     */
    static Result<std::unique_ptr<OperatorService>> create(boost::asio::io_context &io, EventQueue &events, OperatorServiceOptions options,
                                                           std::function<std::string()> metricsText);

    ~OperatorService();
    OperatorService(const OperatorService &) = delete;
    OperatorService &operator=(const OperatorService &) = delete;

    /** Sends the reply to a call, or drops it if the connection is closed. Doesn't block. */
    void execute(ReplyToOperator action);

    /** Updates the state reported by /readyz. Doesn't block. */
    void execute(const SetReadiness &action);

    /** @return The listen address, with the port that was bound. */
    NetAddress address() const;

    /** Closes the listener and all connections. Returns when all replies passed to execute() are written, or after 2 s. */
    void close();

private:
    class Impl;
    explicit OperatorService(std::unique_ptr<Impl> implementation);

    std::unique_ptr<Impl> impl; ///< Owns the handler and the server.
};

} // namespace Tanagertally
