#include "endpoint/endpoint_codec.h"

#include "endpoint/percent_func.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/verb.hpp>
#include <nlohmann/json.hpp>

namespace Tanagertally {

namespace http = boost::beast::http;

namespace {

constexpr unsigned HttpVersion = 11; ///< HTTP/1.1, as Beast counts.
constexpr std::size_t MaxErrorBytes = 4096; ///< Longest error text that is passed on.

/** Set the outcome of a refusal before the task was started. */
void readRefusal(const HttpAnswer &answer, AttemptEnded &ended)
{
    const auto reason = answer["Not-Started"];
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

/** Set the outcome of a task that succeeded. */
void readOutput(HttpAnswer &answer, AttemptEnded &ended)
{
    if (!nlohmann::json::accept(answer.body())) {
        ended.error = "output is not JSON";
        return;
    }
    ended.outcome = AttemptOutcome::Succeeded;
    ended.output = std::make_shared<const std::string>(std::move(answer.body()));
}

/** Set the outcome of a task that failed. */
void readFailure(const HttpAnswer &answer, AttemptOutcome outcome, AttemptEnded &ended)
{
    ended.outcome = outcome;
    ended.error = answer.body().substr(0, MaxErrorBytes);
}

/** Set the outcome that an answer stands for; it stays Lost unless the answer is known and whole. */
void readAnswer(HttpAnswer &answer, AttemptEnded &ended)
{
    switch (answer.result()) {
    case http::status::ok:
        return readOutput(answer, ended);
    case http::status::unprocessable_entity:
        return readFailure(answer, AttemptOutcome::TaskFailed, ended);
    case http::status::internal_server_error:
        return readFailure(answer, AttemptOutcome::EndpointFailed, ended);
    case http::status::service_unavailable:
        return readRefusal(answer, ended);
    default:
        ended.error = "unexpected status " + std::to_string(answer.result_int());
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
        readAnswer(result.answer, ended);
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
