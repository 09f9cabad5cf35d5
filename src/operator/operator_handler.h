/** Routing of operators' requests by path and method. */
#pragma once

#include "caller/bearer_auth.h"
#include "caller/http_handler.h"
#include "caller/readiness.h"
#include "controllers/event_queue.h"

#include <functional>
#include <string>

namespace Tanagertally {

/**
 * HttpHandler of the OperatorService. Turns queries and commands into events, and answers all other requests at once.
 * Thread safety: all methods may be called from any thread, if `metricsText` may.
 */
class OperatorHandler
{
public:
    using Events = EventQueue; ///< Queue that receives the events.
    using Outcome = HttpOutcome; ///< Result type of handle().

    Readiness readiness; ///< State reported by /readyz.

    /** Creates a handler that identifies operators with `knownOperators`, and replies to /metrics with the result of `metrics`. */
    OperatorHandler(BearerAuth knownOperators, const HttpLimits &listenerLimits, std::function<std::string()> metrics);

    /** @return The reply to a request, or the event to push for it. */
    HttpOutcome handle(const HttpRequest &request, RequestId id) const;

    /** @return The error document for a request or connection that the HTTP server refuses. */
    HttpReply refuse(HttpRefusal refusal) const;

private:
    HttpOutcome handleOperate(const HttpRequest &request, RequestId id) const;
    HttpOutcome handleGet(const HttpRequest &request, std::string_view path) const;

    BearerAuth operators; ///< Identifies operators by their secrets.
    HttpLimits limits; ///< Limits of the listener, quoted in error messages.
    std::function<std::string()> metricsText; ///< Returns the body of /metrics; the body is empty if unset.
};

static_assert(HttpHandler<OperatorHandler>);

} // namespace Tanagertally
