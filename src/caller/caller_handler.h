/** Routing of callers' requests by path and method. */
#pragma once

#include "caller/bearer_auth.h"
#include "caller/http_handler.h"
#include "caller/readiness.h"
#include "caller/url_func.h"
#include "controllers/event_queue.h"
#include "core/verdict_type.h"

#include <optional>

namespace Tanagertally {

/**
 * HttpHandler of the CallerService. Answers requests that need no decision at once, and turns all others into events.
 * Thread safety: all methods may be called from any thread.
 */
class CallerHandler
{
public:
    using Events = EventQueue; ///< Queue that receives the events.
    using Outcome = HttpOutcome; ///< Result type of handle().

    Readiness readiness; ///< State reported by /readyz.

    /** Creates a handler that identifies the callers' teams with `knownTeams`. */
    CallerHandler(BearerAuth knownTeams, const HttpLimits &listenerLimits);

    /** @return The reply to a request, or the event to push for it. */
    HttpOutcome handle(const HttpRequest &request, RequestId id) const;

    /** @return The error document for a request or connection that the HTTP server refuses. */
    HttpReply refuse(HttpRefusal refusal) const;

private:
    HttpOutcome handleKeys(const HttpRequest &request, RequestId id, TeamName team) const;
    HttpOutcome handleSubmission(const HttpRequest &request, RequestId id, TeamName team) const;
    HttpOutcome handleJob(const HttpRequest &request, const RequestTarget &target, RequestId id, TeamName team) const;

    BearerAuth teams; ///< Identifies teams by their secrets.
    HttpLimits limits; ///< Limits of the listener, quoted in error messages.
};

static_assert(HttpHandler<CallerHandler>);

} // namespace Tanagertally
