/** Routes operators' requests: what each path and method means. */
#pragma once

#include "caller/bearer_auth.h"
#include "caller/http_handler.h"
#include "caller/readiness.h"
#include "controllers/event_queue.h"

#include <functional>
#include <string>

namespace Tanagertally {

/**
 * The HttpHandler of the operators' service.
 * Thread safety: all methods may be called from any thread, if `metricsText` may.
 */
class OperatorHandler
{
public:
    using Events = EventQueue; ///< Takes the events.
    using Outcome = HttpOutcome; ///< What handle() returns.

    Readiness readiness; ///< What /readyz answers.

    /** Make a handler that knows operators by `knownOperators`, and takes the text for /metrics from `metrics`. */
    OperatorHandler(BearerAuth knownOperators, const HttpLimits &listenerLimits, std::function<std::string()> metrics);

    /** @return The reply to a request, or the event that it stands for. */
    HttpOutcome handle(const HttpRequest &request, RequestId id) const;

    /** @return The error document for a refusal by the server. */
    HttpReply refuse(HttpRefusal refusal) const;

private:
    HttpOutcome handleOperate(const HttpRequest &request, RequestId id) const;
    HttpOutcome handleGet(const HttpRequest &request, std::string_view path) const;

    BearerAuth operators; ///< Knows operators by their secrets.
    HttpLimits limits; ///< Limits of the listener, for messages.
    std::function<std::string()> metricsText; ///< Gives the text for /metrics.
};

static_assert(HttpHandler<OperatorHandler>);

} // namespace Tanagertally
