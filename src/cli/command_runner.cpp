#include "cli/command_runner.h"

#include "caller/caller_codec.h"
#include "caller/url_func.h"
#include "cli/job_file.h"

#include <fstream>
#include <istream>
#include <iterator>
#include <thread>

namespace Tanagertally {

namespace {

constexpr Duration CallTimeout = std::chrono::seconds(15); ///< Timeout of a call that doesn't wait for a job.
constexpr Duration ReplyMargin = std::chrono::seconds(10); ///< Added to the timeout of a job to get the timeout of a submission that waits.
constexpr Duration FetchTimeout = std::chrono::seconds(60); ///< Timeout of one waiting fetch, which is then repeated.
constexpr Duration ProgressInterval = std::chrono::milliseconds(500); ///< Time between two polls of the state of a job.
constexpr std::chrono::milliseconds FirstRetryDelay(200); ///< Delay before the first retry; doubles with each retry.
constexpr std::chrono::milliseconds MaxRetryDelay(5000); ///< Upper limit of the retry delay.
constexpr std::string_view JobsTarget = "/v1/jobs";

std::string jobTarget(const std::string &key)
{
    return std::string(JobsTarget) + "/" + percentEncode(key);
}

Document parseDocument(const std::string &body)
{
    return Document::parse(body, nullptr, false);
}

/** @return Whether a parsed body may come from a tanagertally server: an object or array, unlike the error page of a proxy. */
bool isServerDocument(const Document &document)
{
    return document.is_object() || document.is_array();
}

bool hasFieldValue(const Document &document, const char *field, std::string_view text)
{
    const auto found = document.find(field);
    return found != document.end() && found->is_string() && found->get<std::string>() == text;
}

} // namespace

CommandRunner::CommandRunner(const CliOptions &cliOptions, const ServerAddress &serverAddress, std::istream &standardInput,
                             Printer &resultPrinter)
    : options(cliOptions)
    , server(serverAddress)
    , input(standardInput)
    , printer(resultPrinter)
{
}

ExitCode CommandRunner::run(const SubmitCommand &command)
{
    const std::optional<std::string> text = this->readInput(command.file);
    if (!text) {
        this->printer.printLocalError("bad-input", "can't read the file", command.file);
        return ExitCode::BadInput;
    }
    const Result<JobFile> job = readJobFile(*text, JobOverrides{command.later, command.timeout});
    if (job.has_error()) {
        this->printer.printLocalError("bad-input", job.error().message, job.error().field);
        return ExitCode::BadInput;
    }
    std::string key = command.key.empty() ? job.value().key : command.key;
    const bool isNewlyIssued = key.empty();
    if (isNewlyIssued) {
        const std::optional<ExitCode> failed = this->issueKey(key);
        if (failed) {
            return *failed;
        }
    }
    const Result<JobKey> checked = checkKey(key, "--key");
    if (checked.has_error()) {
        this->printer.printLocalError("bad-input", checked.error().message, checked.error().field);
        return ExitCode::BadInput;
    }
    const Duration jobTimeout = job.value().timeout == Duration::zero() ? DefaultWaitTimeout : job.value().timeout;
    const Duration timeout = job.value().later ? CallTimeout : jobTimeout + ReplyMargin;
    HttpCall call = this->makeCall("POST", std::string(JobsTarget), job.value().json, timeout);
    call.headers.push_back(HttpHeader{"Idempotency-Key", "\"" + key + "\""});
    const CallResult result = this->callWithRetries(call, "resubmitting under the same key " + key);
    const bool isAccepted = result.answer && result.answer->status == 202;
    if (isAccepted && command.wait) {
        this->printer.printNote("accepted under the key " + key);
        const ExitCode code = this->waitForAnswer(key);
        return code == ExitCode::Unreachable ? ExitCode::MayHaveRun : code;
    }
    return this->reportResult(result, KeyHistory{isNewlyIssued, result.mayHaveArrived});
}

ExitCode CommandRunner::run(const FetchCommand &command)
{
    if (command.wait) {
        return this->waitForAnswer(command.key);
    }
    const HttpCall call = this->makeCall("GET", jobTarget(command.key), {}, CallTimeout);
    return this->reportResult(this->callWithRetries(call, "retrying"), KeyHistory());
}

ExitCode CommandRunner::run(const CancelCommand &command)
{
    const HttpCall call = this->makeCall("DELETE", jobTarget(command.key), {}, CallTimeout);
    const CallResult result = this->callWithRetries(call, "retrying");
    const bool isCancelled = result.answer && hasFieldValue(result.document, "reason", "cancelled");
    const ExitCode code = this->reportResult(result, KeyHistory());
    return isCancelled ? ExitCode::Done : code;
}

ExitCode CommandRunner::run(const KeysCommand &command)
{
    const std::string body = Document{{"count", command.count}}.dump();
    const CallResult result = this->callWithRetries(this->makeCall("POST", "/v1/keys", body, CallTimeout), "retrying");
    if (!result.answer || result.answer->status != 200) {
        return this->reportSideEffectFreeCall(result);
    }
    this->printer.printKeys(result.answer->body, result.document);
    return ExitCode::Done;
}

ExitCode CommandRunner::run(const OperatorCommand &command)
{
    Document body{{"text", command.text}};
    if (command.dryRun) {
        body["dryRun"] = true;
    }
    const bool isRepeatable = command.isQuery || command.dryRun;
    const HttpCall call = this->makeCall("POST", "/v1/operate", body.dump(-1, ' ', false, Document::error_handler_t::replace), CallTimeout);
    const CallResult result = isRepeatable ? this->callWithRetries(call, "retrying") : this->callOnce(call);
    if (!result.answer || result.answer->status != 200) {
        return isRepeatable ? this->reportSideEffectFreeCall(result) : this->reportResult(result, KeyHistory{true, result.mayHaveArrived});
    }
    this->printer.printRows(result.answer->body, result.document);
    return ExitCode::Done;
}

ExitCode CommandRunner::run(const StatusCommand & /*command*/)
{
    const CallResult result = this->callOnce(this->makeCall("GET", "/readyz", {}, CallTimeout));
    if (!result.answer || !result.document.contains("ready")) {
        return this->reportSideEffectFreeCall(result);
    }
    this->printer.printReadiness(result.answer->body, result.document);
    return result.answer->status == 200 ? ExitCode::Done : ExitCode::Refused;
}

CommandRunner::CallResult CommandRunner::callOnce(const HttpCall &call) const
{
    CallResult result;
    HttpCallResult httpResult = sendRequest(this->server, call);
    if (const HttpFailure *failure = std::get_if<HttpFailure>(&httpResult)) {
        result.mayHaveArrived = failure->mayHaveArrived;
        result.timedOut = failure->timedOut;
        result.message = failure->message;
        return result;
    }
    result.document = parseDocument(std::get<HttpAnswer>(httpResult).body);
    if (!isServerDocument(result.document)) {
        result.mayHaveArrived = true;
        result.message
            = "the reply with status " + std::to_string(std::get<HttpAnswer>(httpResult).status) + " is not a tanagertally document";
        return result;
    }
    result.answer = std::move(std::get<HttpAnswer>(httpResult));
    return result;
}

/** Makes an idempotent call, and retries it until it gets a reply or no retries are left. */
CommandRunner::CallResult CommandRunner::callWithRetries(const HttpCall &call, const std::string &retryNote)
{
    CallResult result = this->callOnce(call);
    std::chrono::milliseconds delay = FirstRetryDelay;
    for (std::uint32_t retry = 1; retry <= this->options.retries && !result.answer; ++retry) {
        this->printer.printNote(result.message + "; " + retryNote + ", try " + std::to_string(retry + 1));
        std::this_thread::sleep_for(delay);
        delay = std::min(delay * 2, MaxRetryDelay);
        const bool mayHaveArrived = result.mayHaveArrived;
        result = this->callOnce(call);
        result.mayHaveArrived = result.mayHaveArrived || mayHaveArrived;
    }
    return result;
}

HttpCall CommandRunner::makeCall(std::string method, std::string target, std::string body, Duration timeout) const
{
    HttpCall call{std::move(method), std::move(target), std::move(body), {}, timeout};
    if (!this->options.secret.empty()) {
        call.headers.push_back(HttpHeader{"Authorization", "Bearer " + this->options.secret});
    }
    return call;
}

std::optional<std::string> CommandRunner::readInput(const std::string &file)
{
    if (file == "-") {
        return std::string(std::istreambuf_iterator<char>(this->input), {});
    }
    std::ifstream stream(file, std::ios::binary);
    std::string text(std::istreambuf_iterator<char>(stream), {});
    if (!stream.is_open() || stream.bad()) {
        return std::nullopt;
    }
    return text;
}

/** Requests a job key. @return The exit code if that fails. */
std::optional<ExitCode> CommandRunner::issueKey(std::string &key)
{
    const CallResult result = this->callWithRetries(this->makeCall("POST", "/v1/keys", R"({"count":1})", CallTimeout), "retrying");
    const bool isIssued = result.answer && result.answer->status == 200;
    if (!isIssued) {
        return this->reportSideEffectFreeCall(result);
    }
    const Document keys = result.document.value("keys", Document::array());
    if (keys.empty() || !keys.front().is_string()) {
        this->printer.printLocalError("internal", "the server issued no key", {}, "not-run");
        return ExitCode::Refused;
    }
    key = keys.front().get<std::string>();
    return std::nullopt;
}

/** Waits for the answer of a job: polls its state to show progress on an interactive terminal, else uses waiting fetches. */
ExitCode CommandRunner::waitForAnswer(const std::string &key)
{
    const bool isPolling = this->printer.isInteractive();
    const HttpCall call
        = this->makeCall("GET", jobTarget(key) + (isPolling ? "" : "?wait=true"), {}, isPolling ? CallTimeout : FetchTimeout);
    while (true) {
        CallResult result = this->callOnce(call);
        if (result.timedOut && !isPolling) {
            continue;
        }
        if (!result.answer) {
            result = this->callWithRetries(call, "retrying");
        }
        const bool isUnfinished = hasFieldValue(result.document, "state", "pending") || hasFieldValue(result.document, "state", "running");
        if (!result.answer || !isUnfinished) {
            return this->reportResult(result, KeyHistory());
        }
        this->printer.showProgress(result.document);
        std::this_thread::sleep_for(ProgressInterval);
    }
}

/** Prints the result of a call that runs no task, so that a lost reply leaves nothing in doubt. */
ExitCode CommandRunner::reportSideEffectFreeCall(CallResult result)
{
    result.mayHaveArrived = false;
    return this->reportResult(result, KeyHistory{true, false});
}

/** Prints the result of a call about a job. */
ExitCode CommandRunner::reportResult(const CallResult &result, const KeyHistory &history)
{
    if (!result.answer) {
        return this->reportFailure(result);
    }
    const std::string &body = result.answer->body;
    if (result.document.contains("outcome")) {
        this->printer.printAnswer(body, result.document);
        return hasFieldValue(result.document, "outcome", "complete") ? ExitCode::Done : ExitCode::JobFailed;
    }
    if (result.document.contains("href")) {
        this->printer.printAccepted(body, result.document);
        return ExitCode::Done;
    }
    if (result.document.contains("state")) {
        this->printer.printState(body, result.document);
        return hasFieldValue(result.document, "state", "unused") ? ExitCode::Refused : ExitCode::MayHaveRun;
    }
    return this->reportError(result, history);
}

ExitCode CommandRunner::reportError(const CallResult &result, const KeyHistory &history)
{
    this->printer.printError(result.answer->body, result.document);
    if (result.document.contains("verdict")) {
        const bool isNotRun = hasFieldValue(result.document, "verdict", "not-run");
        const bool isBadInput = isNotRun && hasFieldValue(result.document, "code", "bad-input");
        const ExitCode refused = isBadInput ? ExitCode::BadInput : ExitCode::Refused;
        return isNotRun ? refused : ExitCode::MayHaveRun;
    }
    if (history.mayHaveArrived) {
        return ExitCode::MayHaveRun;
    }
    if (hasFieldValue(result.document, "code", "bad-input")) {
        return ExitCode::BadInput;
    }
    return history.isNewlyIssued ? ExitCode::Refused : ExitCode::MayHaveRun;
}

ExitCode CommandRunner::reportFailure(const CallResult &result)
{
    if (result.mayHaveArrived) {
        this->printer.printLocalError("lost", result.message, {}, "may-have-run");
        return ExitCode::MayHaveRun;
    }
    this->printer.printLocalError("unreachable", result.message, {}, {});
    return ExitCode::Unreachable;
}

} // namespace Tanagertally
