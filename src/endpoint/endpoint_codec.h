/** Encodes requests to endpoints and decodes their responses; docs/ENDPOINTS.md defines the protocol. */
#pragma once

#include "controllers/action_type.h"
#include "controllers/event_type.h"
#include "endpoint/http_type.h"

#include <string_view>

namespace Tanagertally {

/**
 * Make the request that runs a task.
 * @param action The attempt to start.
 * @param host Value of the Host header.
 * Thread safety: any thread.
 */
HttpClientRequest makeRunRequest(const StartAttempt &action, std::string_view host);

/**
 * Make the request of a health probe.
 * @param host Value of the Host header.
 * Thread safety: any thread.
 */
HttpClientRequest makeHealthRequest(std::string_view host);

/**
 * Convert the result of a run request to an event. A request that may have been sent has the outcome Lost unless a complete,
 * well-formed response with a known status was received.
 * @param attempt The attempt of the request.
 * @param result Result of its request.
 * Thread safety: any thread.
 */
AttemptEnded toAttemptEnded(AttemptId attempt, HttpResult result);

/**
 * Convert the result of a health probe to an event. The endpoint counts as answering only after a 200 response with a known
 * state.
 * @param probe The probe of the request.
 * @param result Result of its request.
 * Thread safety: any thread.
 */
ProbeEnded toProbeEnded(ProbeId probe, const HttpResult &result);

} // namespace Tanagertally
