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
 * The verdict where a request ends here. A call about a job may name a key under which something was submitted before,
 * so that nothing can be said; a call that can't name a job certainly ran nothing.
 */
std::optional<Verdict> verdictAt(std::string_view path)
{
    if (path.starts_with(JobsPath)) {
        return std::nullopt;
    }
    return Verdict::NotRun;
}

HttpReply badInput(const Error &error, std::optional<Verdict> verdict)
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

Result<void> refuseParameters(const RequestTarget &target)
{
    if (target.query.empty()) {
        return boost::outcome_v2::success();
    }
    return makeError(ErrorCode::BadInput, "unknown parameter; there are none here", "query." + target.query.front().name);
}

/** Read the parameter `wait`. */
Result<bool> readWait(const RequestTarget &target)
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

/** Read the key from the path of one job. */
Result<JobKey> readPathKey(std::string_view path)
{
    const std::optional<std::string> key = percentDecode(path.substr(JobPathPrefix.size()));
    if (!key) {
        return makeError(ErrorCode::BadInput, "malformed percent-encoding", "path.key");
    }
    return checkKey(*key, "path.key");
}

HttpOutcome serveGet(const HttpRequest &request, HttpReply reply)
{
    if (request.method() != Verb::get && request.method() != Verb::head) {
        return unknownMethodReply("GET, HEAD", Verdict::NotRun);
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
        return badInput(target.error(), std::nullopt);
    }
    const std::string &path = target.value().path;
    if (path == HealthPath) {
        return serveGet(request, healthReply());
    }
    if (path == ReadyPath) {
        return serveGet(request, this->readiness.reply());
    }
    std::optional<std::string> team = this->teams.identify(request);
    if (!team) {
        return unauthorizedReply(verdictAt(path));
    }
    if (path.starts_with(JobPathPrefix)) {
        return this->handleJob(request, target.value(), id, TeamName(std::move(*team)));
    }
    if (path != KeysPath && path != JobsPath) {
        return unknownPathReply(path, verdictAt(path));
    }
    if (request.method() != Verb::post) {
        return unknownMethodReply("POST", verdictAt(path));
    }
    const Result<void> parameters = refuseParameters(target.value());
    if (parameters.has_error()) {
        return badInput(parameters.error(), verdictAt(path));
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
        return badInput(count.error(), Verdict::NotRun);
    }
    return Event(KeysRequested{id, std::move(team), count.value()});
}

HttpOutcome CallerHandler::handleSubmission(const HttpRequest &request, RequestId id, TeamName team) const
{
    if (request.count("Idempotency-Key") > 1) {
        return badInput(makeError(ErrorCode::BadInput, "expected this header once", "Idempotency-Key"), std::nullopt);
    }
    Result<Submission> submission = decodeSubmission(request.body(), findHeader(request, "Idempotency-Key"));
    if (submission.has_error()) {
        return badInput(submission.error(), std::nullopt);
    }
    return Event(JobSubmitted{id, std::move(team), std::move(submission.value().key), std::move(submission.value().job)});
}

HttpOutcome CallerHandler::handleJob(const HttpRequest &request, const RequestTarget &target, RequestId id, TeamName team) const
{
    if (request.method() != Verb::get && request.method() != Verb::delete_) {
        return unknownMethodReply("GET, DELETE", std::nullopt);
    }
    Result<JobKey> key = readPathKey(target.path);
    if (key.has_error()) {
        return badInput(key.error(), std::nullopt);
    }
    if (request.method() == Verb::delete_) {
        const Result<void> parameters = refuseParameters(target);
        if (parameters.has_error()) {
            return badInput(parameters.error(), std::nullopt);
        }
        return Event(JobCancelled{id, std::move(team), std::move(key.value())});
    }
    const Result<bool> wait = readWait(target);
    if (wait.has_error()) {
        return badInput(wait.error(), std::nullopt);
    }
    return Event(JobFetched{id, std::move(team), std::move(key.value()), wait.value()});
}

} // namespace Tanagertally
