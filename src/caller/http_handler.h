/** The handler concept: what a service implements for the HTTP server. */
#pragma once

#include "caller/http_type.h"

#include <concepts>

namespace Tanagertally {

/**
 * Turns requests into replies or events. Its methods run on the threads of the io_context, concurrently if several, and must not block.
 * - `Events` receives the events, as a queue or by handling them directly; `Outcome` is HttpOutcomeOf its event type.
 * - `handle` receives a complete request and the RequestId under which a deferred reply is passed to HttpServer::reply().
 * - `refuse` returns the reply to a request or connection that the server refuses.
 */
template<typename T>
concept HttpHandler = requires(T &handler, const HttpRequest &request, RequestId id, HttpRefusal refusal, typename T::Events &events)
{
    {
        events.nextRequestId()
        } -> std::same_as<RequestId>;
    {
        handler.handle(request, id)
        } -> std::same_as<typename T::Outcome>;
    {
        handler.refuse(refusal)
        } -> std::same_as<HttpReply>;
};

} // namespace Tanagertally
