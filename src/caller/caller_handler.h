/** Routes callers' requests: what each path and method means. */
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
 * The HttpHandler of the callers' service.
 * Thread safety: all methods may be called from any thread.
 */
class CallerHandler
{
public:
    using Events = EventQueue; ///< Takes the events.
    using Outcome = HttpOutcome; ///< What handle() returns.

    Readiness readiness; ///< What /readyz answers.

    /** Make a handler that knows callers by `knownTeams`. */
    CallerHandler(BearerAuth knownTeams, const HttpLimits &listenerLimits);

    /** @return The reply to a request, or the event that it stands for. */
    HttpOutcome handle(const HttpRequest &request, RequestId id) const;

    /** @return The error document for a refusal by the server. */
    HttpReply refuse(HttpRefusal refusal) const;

private:
    HttpOutcome handleKeys(const HttpRequest &request, RequestId id, TeamName team) const;
    HttpOutcome handleSubmission(const HttpRequest &request, RequestId id, TeamName team) const;
    HttpOutcome handleJob(const HttpRequest &request, const RequestTarget &target, RequestId id, TeamName team) const;

    BearerAuth teams; ///< Knows teams by their secrets.
    HttpLimits limits; ///< Limits of the listener, for messages.
};

static_assert(HttpHandler<CallerHandler>);

} // namespace Tanagertally
