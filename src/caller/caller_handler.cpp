#include "caller/caller_handler.h"

#include "caller/caller_codec.h"
#include "caller/error_document.h"

namespace Tanagertally {

namespace {

using Verb = boost::beast::http::verb;

constexpr std::string_view KeysPath = "/v1/keys";
constexpr std::string_view JobsPath = "/v1/jobs";
constexpr std::string_view JobPathPrefix = "/v1/jobs/";
constexpr std::string_view HealthPath = "/healthz";
constexpr std::string_view ReadyPath = "/readyz";

/**
 * @return The verdict of a request that is refused before it reaches the coordinator. A request to a job path may use a key
 * with an earlier submission, so its verdict is unknown here; any other request has certainly run nothing.
 */
std::optional<Verdict> refusalVerdict(std::string_view path)
{
    if (path.starts_with(JobsPath)) {
        return std::nullopt;
    }
    return Verdict::NotRun;
}

HttpReply badInputReply(const Error &error, std::optional<Verdict> verdict)
{
    return errorReply(ErrorDocument{error, verdict, std::nullopt});
}

std::optional<std::string_view> findHeader(const HttpRequest &request, std::string_view name)
{
    const auto found = request.find(boost::beast::string_view(name.data(), name.size()));
    if (found == request.end()) {
        return std::nullopt;
    }
    return std::string_view(found->value().data(), found->value().size());
}

Result<void> rejectQueryParameters(const RequestTarget &target)
{
    if (target.query.empty()) {
        return boost::outcome_v2::success();
    }
    return makeError(ErrorCode::BadInput, "unknown parameter; there are none here", "query." + target.query.front().name);
}

/** @return The value of the query parameter `wait`, false if it is missing; BadInput for any other parameter. */
Result<bool> readWaitParameter(const RequestTarget &target)
{
    bool wait = false;
    for (const QueryParameter &parameter : target.query) {
        if (parameter.name != "wait") {
            return makeError(ErrorCode::BadInput, "unknown parameter; the parameter here is wait", "query." + parameter.name);
        }
        if (parameter.value != "true" && parameter.value != "false") {
            return makeError(ErrorCode::BadInput, "expected true or false", "query.wait");
        }
        wait = parameter.value == "true";
    }
    return wait;
}

/** @return The idempotency key in the path of a job, decoded and validated. */
Result<JobKey> readPathKey(std::string_view path)
{
    const std::optional<std::string> key = percentDecode(path.substr(JobPathPrefix.size()));
    if (!key) {
        return makeError(ErrorCode::BadInput, "malformed percent-encoding", "path.key");
    }
    return checkKey(*key, "path.key");
}

HttpOutcome replyToGet(const HttpRequest &request, HttpReply reply)
{
    if (request.method() != Verb::get && request.method() != Verb::head) {
        return methodNotAllowedReply("GET, HEAD", Verdict::NotRun);
    }
    return reply;
}

} // namespace

CallerHandler::CallerHandler(BearerAuth knownTeams, const HttpLimits &listenerLimits)
    : teams(std::move(knownTeams))
    , limits(listenerLimits)
{
}

HttpOutcome CallerHandler::handle(const HttpRequest &request, RequestId id) const
{
    const Result<RequestTarget> target = parseTarget(request.target());
    if (target.has_error()) {
        return badInputReply(target.error(), std::nullopt);
    }
    const std::string &path = target.value().path;
    if (path == HealthPath) {
        return replyToGet(request, healthReply());
    }
    if (path == ReadyPath) {
        return replyToGet(request, this->readiness.reply());
    }
    std::optional<std::string> team = this->teams.identify(request);
    if (!team) {
        return unauthorizedReply(refusalVerdict(path));
    }
    if (path.starts_with(JobPathPrefix)) {
        return this->handleJob(request, target.value(), id, TeamName(std::move(*team)));
    }
    if (path != KeysPath && path != JobsPath) {
        return pathNotFoundReply(path, refusalVerdict(path));
    }
    if (request.method() != Verb::post) {
        return methodNotAllowedReply("POST", refusalVerdict(path));
    }
    const Result<void> parameters = rejectQueryParameters(target.value());
    if (parameters.has_error()) {
        return badInputReply(parameters.error(), refusalVerdict(path));
    }
    if (path == KeysPath) {
        return this->handleKeys(request, id, TeamName(std::move(*team)));
    }
    return this->handleSubmission(request, id, TeamName(std::move(*team)));
}

HttpReply CallerHandler::refuse(HttpRefusal refusal) const
{
    return refusalReply(refusal, this->limits);
}

HttpOutcome CallerHandler::handleKeys(const HttpRequest &request, RequestId id, TeamName team) const
{
    const Result<std::uint32_t> count = decodeKeysRequest(request.body());
    if (count.has_error()) {
        return badInputReply(count.error(), Verdict::NotRun);
    }
    return Event(KeysRequested{id, std::move(team), count.value()});
}

HttpOutcome CallerHandler::handleSubmission(const HttpRequest &request, RequestId id, TeamName team) const
{
    if (request.count("Idempotency-Key") > 1) {
        return badInputReply(makeError(ErrorCode::BadInput, "expected this header once", "Idempotency-Key"), std::nullopt);
    }
    Result<Submission> submission = decodeSubmission(request.body(), findHeader(request, "Idempotency-Key"));
    if (submission.has_error()) {
        return badInputReply(submission.error(), std::nullopt);
    }
    return Event(JobSubmitted{id, std::move(team), std::move(submission.value().key), std::move(submission.value().job)});
}

HttpOutcome CallerHandler::handleJob(const HttpRequest &request, const RequestTarget &target, RequestId id, TeamName team) const
{
    if (request.method() != Verb::get && request.method() != Verb::delete_) {
        return methodNotAllowedReply("GET, DELETE", std::nullopt);
    }
    Result<JobKey> key = readPathKey(target.path);
    if (key.has_error()) {
        return badInputReply(key.error(), std::nullopt);
    }
    if (request.method() == Verb::delete_) {
        const Result<void> parameters = rejectQueryParameters(target);
        if (parameters.has_error()) {
            return badInputReply(parameters.error(), std::nullopt);
        }
        return Event(CancelRequested{id, std::move(team), std::move(key.value())});
    }
    const Result<bool> wait = readWaitParameter(target);
    if (wait.has_error()) {
        return badInputReply(wait.error(), std::nullopt);
    }
    return Event(FetchRequested{id, std::move(team), std::move(key.value()), wait.value()});
}

} // namespace Tanagertally
