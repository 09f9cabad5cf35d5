/** Requests to endpoints and the meaning of their answers, as docs/ENDPOINTS.md says. */
#pragma once

#include "controllers/action_type.h"
#include "controllers/event_type.h"
#include "endpoint/http_type.h"

#include <string_view>

namespace Tanagertally {

/**
 * Make the request that runs a task.
 * @param action The attempt.
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
 * Tell how an attempt ended. Anything but a whole, well-formed answer of a known status counts as Lost.
 * @param attempt The attempt.
 * @param result How its request ended.
 * Thread safety: any thread.
 */
AttemptEnded toAttemptEnded(AttemptId attempt, HttpResult result);

/**
 * Tell what a health probe found out.
 * @param probe The probe.
 * @param result How its request ended.
 * Thread safety: any thread.
 */
ProbeEnded toProbeEnded(ProbeId probe, const HttpResult &result);

} // namespace Tanagertally
