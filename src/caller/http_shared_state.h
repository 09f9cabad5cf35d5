/** State that a listener shares with its connections. */
#pragma once

#include "caller/http_calls.h"
#include "caller/http_handler.h"
#include "caller/http_limiter.h"
#include "caller/http_occupancy.h"

#include <atomic>
#include <memory>

namespace Tanagertally {

template<HttpHandler Handler>
class HttpSession;

/** State that a listener shares with its connections. Thread safety: that of each member. */
template<HttpHandler Handler>
struct HttpSharedState {
    std::shared_ptr<Handler> handler; ///< Turns requests into replies or events.
    typename Handler::Events &events; ///< Queue that receives the events.
    HttpLimits limits; ///< Limits of the listener.
    std::shared_ptr<HttpLimiter> limiter; ///< Admission of connections and requests.
    HttpCalls<HttpSession<Handler>> calls; ///< Open connections and calls that await a reply.
    HttpOccupancy<HttpSession<Handler>> occupancy; ///< Memory of the connections, and which of them to close first.
    WorkCounter unwrittenReplies; ///< Replies not yet written to their connection.
    WorkCounter openConnections; ///< Connections not yet destroyed.
    std::atomic<bool> isStopping = false; ///< Whether each connection closes after its next reply.

    /** Creates the state of an open listener. `eventQueue` must outlive it. */
    HttpSharedState(std::shared_ptr<Handler> sharedHandler, typename Handler::Events &eventQueue, const HttpLimits &listenerLimits)
        : handler(std::move(sharedHandler))
        , events(eventQueue)
        , limits(listenerLimits)
        , limiter(std::make_shared<HttpLimiter>(listenerLimits))
        , occupancy(listenerLimits.maxRetainedBytes)
    {
    }
};

} // namespace Tanagertally
