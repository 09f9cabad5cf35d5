#include "operator/operator_handler.h"

#include "caller/error_document.h"
#include "caller/url_func.h"
#include "operator/operator_codec.h"

namespace Tanagertally {

namespace {

using Verb = boost::beast::http::verb;

constexpr std::string_view OperatePath = "/v1/operate";
constexpr std::string_view MetricsPath = "/metrics";
constexpr std::string_view HealthPath = "/healthz";
constexpr std::string_view ReadyPath = "/readyz";
constexpr std::string_view MetricsContentType = "text/plain; version=0.0.4; charset=utf-8";

HttpReply badInputReply(const Error &error)
{
    return errorReply(ErrorDocument{error, Verdict::NotRun, std::nullopt});
}

} // namespace

OperatorHandler::OperatorHandler(BearerAuth knownOperators, const HttpLimits &listenerLimits, std::function<std::string()> metrics)
    : operators(std::move(knownOperators))
    , limits(listenerLimits)
    , metricsText(std::move(metrics))
{
}

HttpOutcome OperatorHandler::handle(const HttpRequest &request, RequestId id) const
{
    const Result<RequestTarget> target = parseTarget(request.target());
    if (target.has_error()) {
        return badInputReply(target.error());
    }
    const std::string &path = target.value().path;
    if (!target.value().query.empty()) {
        const std::string field = "query." + target.value().query.front().name;
        return badInputReply(makeError(ErrorCode::BadInput, "unknown parameter; there are none here", field));
    }
    if (path == OperatePath) {
        return this->handleOperate(request, id);
    }
    return this->handleGet(request, path);
}

HttpReply OperatorHandler::refuse(HttpRefusal refusal) const
{
    return refusalReply(refusal, this->limits);
}

HttpOutcome OperatorHandler::handleOperate(const HttpRequest &request, RequestId id) const
{
    std::optional<std::string> name = this->operators.identify(request);
    if (!name) {
        return unauthorizedReply(Verdict::NotRun);
    }
    if (request.method() != Verb::post) {
        return methodNotAllowedReply("POST", Verdict::NotRun);
    }
    Result<OperatorInput> input = decodeOperatorInput(request.body());
    if (input.has_error()) {
        return badInputReply(input.error());
    }
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const std::int64_t wallClockMs = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    return Event(OperatorRequested{id, OperatorName(std::move(*name)), std::move(input.value().text), input.value().dryRun, wallClockMs});
}

HttpOutcome OperatorHandler::handleGet(const HttpRequest &request, std::string_view path) const
{
    const bool isServed = path == HealthPath || path == ReadyPath || path == MetricsPath;
    if (!isServed) {
        return pathNotFoundReply(path, Verdict::NotRun);
    }
    if (request.method() != Verb::get && request.method() != Verb::head) {
        return methodNotAllowedReply("GET, HEAD", Verdict::NotRun);
    }
    if (path == HealthPath) {
        return healthReply();
    }
    if (path == ReadyPath) {
        return this->readiness.reply();
    }
    HttpReply reply;
    reply.contentType = MetricsContentType;
    reply.body = this->metricsText ? this->metricsText() : std::string();
    return reply;
}

} // namespace Tanagertally
