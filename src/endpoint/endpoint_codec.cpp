#include "endpoint/endpoint_codec.h"

#include "endpoint/percent_func.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/verb.hpp>
#include <nlohmann/json.hpp>

namespace Tanagertally {

namespace http = boost::beast::http;

namespace {

constexpr unsigned HttpVersion = 11; ///< HTTP/1.1 in Beast's notation.
constexpr std::size_t MaxErrorBytes = 4096; ///< Longer error texts of an endpoint are truncated to this length.

/** Set the outcome of a 503 response. Without a known Not-Started reason the outcome stays Lost. */
void readRefusal(const HttpResponse &response, AttemptEnded &ended)
{
    const auto reason = response["Not-Started"];
    if (boost::beast::iequals(reason, "busy")) {
        ended.outcome = AttemptOutcome::RefusedBusy;
        ended.error = "endpoint is busy";
        return;
    }
    if (boost::beast::iequals(reason, "leaving")) {
        ended.outcome = AttemptOutcome::RefusedLeaving;
        ended.error = "endpoint is leaving";
        return;
    }
    ended.error = "status 503 without a known Not-Started";
}

/** Set the outcome of a 200 response. The outcome stays Lost if the body is not JSON. */
void readOutput(HttpResponse &response, AttemptEnded &ended)
{
    if (!nlohmann::json::accept(response.body())) {
        ended.error = "output is not JSON";
        return;
    }
    ended.outcome = AttemptOutcome::Succeeded;
    ended.output = std::make_shared<const std::string>(std::move(response.body()));
}

/** Set the outcome and the error text of a 422 or 500 response. */
void readFailure(const HttpResponse &response, AttemptOutcome outcome, AttemptEnded &ended)
{
    ended.outcome = outcome;
    ended.error = response.body().substr(0, MaxErrorBytes);
}

/** Set the outcome that corresponds to a response. It stays Lost if the status is unknown or the body is malformed. */
void readResponse(HttpResponse &response, AttemptEnded &ended)
{
    switch (response.result()) {
    case http::status::ok:
        return readOutput(response, ended);
    case http::status::unprocessable_entity:
        return readFailure(response, AttemptOutcome::TaskFailed, ended);
    case http::status::internal_server_error:
        return readFailure(response, AttemptOutcome::EndpointFailed, ended);
    case http::status::service_unavailable:
        return readRefusal(response, ended);
    default:
        ended.error = "unexpected status " + std::to_string(response.result_int());
    }
}

} // namespace

HttpClientRequest makeRunRequest(const StartAttempt &action, std::string_view host)
{
    HttpClientRequest request(http::verb::post, "/run", HttpVersion);
    request.set(http::field::host, host);
    request.set("Task-Id", percentEncode(action.key.value) + '#' + std::to_string(action.task));
    request.set("Task-Kind", percentEncode(action.kind.value));
    request.set(http::field::content_type, "application/json");
    request.body() = action.payload;
    request.prepare_payload();
    return request;
}

HttpClientRequest makeHealthRequest(std::string_view host)
{
    HttpClientRequest request(http::verb::get, "/health", HttpVersion);
    request.set(http::field::host, host);
    request.keep_alive(false);
    return request;
}

AttemptEnded toAttemptEnded(AttemptId attempt, HttpResult result)
{
    AttemptEnded ended;
    ended.attempt = attempt;
    ended.roundTrip = result.roundTrip;
    if (result.delivery == Delivery::Answered) {
        readResponse(result.answer, ended);
        return ended;
    }
    ended.outcome = result.delivery == Delivery::NotSent ? AttemptOutcome::NotDelivered : AttemptOutcome::Lost;
    ended.error = std::move(result.error);
    return ended;
}

ProbeEnded toProbeEnded(ProbeId probe, const HttpResult &result)
{
    ProbeEnded ended;
    ended.probe = probe;
    if (result.delivery != Delivery::Answered || result.answer.result() != http::status::ok) {
        return ended;
    }
    const auto document = nlohmann::json::parse(result.answer.body(), nullptr, false);
    const auto state = document.is_object() ? document.find("state") : document.end();
    if (state == document.end() || !state->is_string()) {
        return ended;
    }
    ended.leaving = *state == "leaving";
    ended.answered = ended.leaving || *state == "live";
    return ended;
}

} // namespace Tanagertally
