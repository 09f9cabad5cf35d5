/** The handler concept: what a service gives the HTTP server. */
#pragma once

#include "caller/http_type.h"

#include <concepts>

namespace Tanagertally {

/**
 * Makes replies or events of requests. Its methods are called from any traffic thread, several at once, and must not block.
 * - `Events` takes the events; `Outcome` is the HttpOutcomeOf of its events.
 * - `handle` gets a whole request and the RequestId under which a later reply will be handed over.
 * - `refuse` words a refusal that the server makes by itself.
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
