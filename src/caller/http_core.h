/** What the connections of one listener share. */
#pragma once

#include "caller/http_calls.h"
#include "caller/http_gate.h"
#include "caller/http_handler.h"

#include <atomic>
#include <memory>

namespace Tanagertally {

template<HttpHandler Handler>
class HttpSession;

/** State shared by a listener and its connections. Thread safety: each member by itself. */
template<HttpHandler Handler>
struct HttpCore {
    std::shared_ptr<Handler> handler; ///< Makes replies and events of requests.
    typename Handler::Events &events; ///< Where events go.
    HttpLimits limits; ///< Limits of the listener.
    std::shared_ptr<HttpGate> gate; ///< Admission of connections and requests.
    HttpCalls<HttpSession<Handler>> calls; ///< Open connections and calls that await a reply.
    WorkCount writing; ///< Replies that are not yet written.
    WorkCount open; ///< Connections not yet destroyed.
    std::atomic<bool> stopping = false; ///< Whether connections end with their next reply.

    /** Make the shared part of a listener. */
    HttpCore(std::shared_ptr<Handler> sharedHandler, typename Handler::Events &eventQueue, const HttpLimits &listenerLimits)
        : handler(std::move(sharedHandler))
        , events(eventQueue)
        , limits(listenerLimits)
        , gate(std::make_shared<HttpGate>(listenerLimits))
    {
    }
};

} // namespace Tanagertally
