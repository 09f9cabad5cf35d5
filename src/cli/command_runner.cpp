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

constexpr Duration CallTimeout = std::chrono::seconds(15); ///< Time for a call that doesn't wait for a job.
constexpr Duration ReplyMargin = std::chrono::seconds(10); ///< Time beyond a job's timeout in which its reply has to come.
constexpr Duration FetchTimeout = std::chrono::seconds(60); ///< Time after which a waiting fetch is asked again.
constexpr Duration ProgressInterval = std::chrono::milliseconds(500); ///< Time between two looks at a job's progress.
constexpr std::chrono::milliseconds FirstRetryDelay(200); ///< Pause before the first further try.
constexpr std::chrono::milliseconds MaxRetryDelay(5000); ///< Longest pause between two tries.
constexpr std::string_view JobsTarget = "/v1/jobs";

std::string jobTarget(const std::string &key)
{
    return std::string(JobsTarget) + "/" + percentEncode(key);
}

Document parseDocument(const std::string &body)
{
    return Document::parse(body, nullptr, false);
}

/** @return Whether a document is one of this system's: an object or array, not some proxy's page. */
bool isDocument(const Document &document)
{
    return document.is_object() || document.is_array();
}

bool hasText(const Document &document, const char *field, std::string_view text)
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
    const bool isFresh = key.empty();
    if (isFresh) {
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
    const Outcome outcome = this->callRepeatedly(call, "resubmitting under the same key " + key);
    const bool isAccepted = outcome.answer && outcome.answer->status == 202;
    if (isAccepted && command.wait) {
        this->printer.note("accepted under the key " + key);
        const ExitCode code = this->follow(key);
        return code == ExitCode::Unreachable ? ExitCode::MayHaveRun : code;
    }
    return this->conclude(outcome, KeyHistory{isFresh, outcome.wasLost});
}

ExitCode CommandRunner::run(const FetchCommand &command)
{
    if (command.wait) {
        return this->follow(command.key);
    }
    const HttpCall call = this->makeCall("GET", jobTarget(command.key), {}, CallTimeout);
    return this->conclude(this->callRepeatedly(call, "asking again"), KeyHistory());
}

ExitCode CommandRunner::run(const CancelCommand &command)
{
    const HttpCall call = this->makeCall("DELETE", jobTarget(command.key), {}, CallTimeout);
    const Outcome outcome = this->callRepeatedly(call, "cancelling again");
    const bool isCancelled = outcome.answer && hasText(outcome.document, "reason", "cancelled");
    const ExitCode code = this->conclude(outcome, KeyHistory());
    return isCancelled ? ExitCode::Done : code;
}

ExitCode CommandRunner::run(const KeysCommand &command)
{
    const std::string body = Document{{"count", command.count}}.dump();
    const Outcome outcome = this->callRepeatedly(this->makeCall("POST", "/v1/keys", body, CallTimeout), "asking again");
    if (!outcome.answer || outcome.answer->status != 200) {
        return this->concludeHarmless(outcome);
    }
    this->printer.printKeys(outcome.answer->body, outcome.document);
    return ExitCode::Done;
}

ExitCode CommandRunner::run(const OperateCommand &command)
{
    Document body{{"text", command.text}};
    if (command.dryRun) {
        body["dryRun"] = true;
    }
    const bool isRepeatable = command.isQuery || command.dryRun;
    const HttpCall call = this->makeCall("POST", "/v1/operate", body.dump(-1, ' ', false, Document::error_handler_t::replace), CallTimeout);
    const Outcome outcome = isRepeatable ? this->callRepeatedly(call, "asking again") : this->tryOnce(call);
    if (!outcome.answer || outcome.answer->status != 200) {
        return isRepeatable ? this->concludeHarmless(outcome) : this->conclude(outcome, KeyHistory{true, outcome.wasLost});
    }
    this->printer.printRows(outcome.answer->body, outcome.document);
    return ExitCode::Done;
}

ExitCode CommandRunner::run(const StatusCommand & /*command*/)
{
    const Outcome outcome = this->tryOnce(this->makeCall("GET", "/readyz", {}, CallTimeout));
    if (!outcome.answer || !outcome.document.contains("ready")) {
        return this->concludeHarmless(outcome);
    }
    this->printer.printReadiness(outcome.answer->body, outcome.document);
    return outcome.answer->status == 200 ? ExitCode::Done : ExitCode::Refused;
}

CommandRunner::Outcome CommandRunner::tryOnce(const HttpCall &call) const
{
    Outcome outcome;
    HttpExchange ended = exchange(this->server, call);
    if (const HttpFailure *failure = std::get_if<HttpFailure>(&ended)) {
        outcome.wasLost = failure->mayHaveArrived;
        outcome.timedOut = failure->timedOut;
        outcome.message = failure->message;
        return outcome;
    }
    outcome.document = parseDocument(std::get<HttpAnswer>(ended).body);
    if (!isDocument(outcome.document)) {
        outcome.wasLost = true;
        outcome.message = "a reply with status " + std::to_string(std::get<HttpAnswer>(ended).status) + " is not of tanagertally";
        return outcome;
    }
    outcome.answer = std::move(std::get<HttpAnswer>(ended));
    return outcome;
}

/** Make a call that does no harm when it is made again, until it gets a reply. */
CommandRunner::Outcome CommandRunner::callRepeatedly(const HttpCall &call, const std::string &purpose)
{
    Outcome outcome = this->tryOnce(call);
    std::chrono::milliseconds delay = FirstRetryDelay;
    for (std::uint32_t retry = 1; retry <= this->options.retries && !outcome.answer; ++retry) {
        this->printer.note(outcome.message + "; " + purpose + ", try " + std::to_string(retry + 1));
        std::this_thread::sleep_for(delay);
        delay = std::min(delay * 2, MaxRetryDelay);
        const bool wasLost = outcome.wasLost;
        outcome = this->tryOnce(call);
        outcome.wasLost = outcome.wasLost || wasLost;
    }
    return outcome;
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

/** Have a key issued for a submission. @return How the tool ends if that fails. */
std::optional<ExitCode> CommandRunner::issueKey(std::string &key)
{
    const Outcome outcome = this->callRepeatedly(this->makeCall("POST", "/v1/keys", R"({"count":1})", CallTimeout), "asking again");
    const bool isIssued = outcome.answer && outcome.answer->status == 200;
    if (!isIssued) {
        return this->concludeHarmless(outcome);
    }
    const Document keys = outcome.document.value("keys", Document::array());
    if (keys.empty() || !keys.front().is_string()) {
        this->printer.printLocalError("internal", "the server issued no key", {}, "not-run");
        return ExitCode::Refused;
    }
    key = keys.front().get<std::string>();
    return std::nullopt;
}

/** Wait for a job's answer: by asking for its progress where a person watches, else by one long call after another. */
ExitCode CommandRunner::follow(const std::string &key)
{
    const bool polls = this->printer.isInteractive();
    const HttpCall call = this->makeCall("GET", jobTarget(key) + (polls ? "" : "?wait=true"), {}, polls ? CallTimeout : FetchTimeout);
    while (true) {
        Outcome outcome = this->tryOnce(call);
        if (outcome.timedOut && !polls) {
            continue;
        }
        if (!outcome.answer) {
            outcome = this->callRepeatedly(call, "asking again");
        }
        const bool isGoingOn = hasText(outcome.document, "state", "pending") || hasText(outcome.document, "state", "running");
        if (!outcome.answer || !isGoingOn) {
            return this->conclude(outcome, KeyHistory());
        }
        this->printer.showProgress(outcome.document);
        std::this_thread::sleep_for(ProgressInterval);
    }
}

/** Print how a call ended that runs nothing, so that a lost reply loses no more than itself. */
ExitCode CommandRunner::concludeHarmless(Outcome outcome)
{
    outcome.wasLost = false;
    return this->conclude(outcome, KeyHistory{true, false});
}

/** Print how a call about a job ended. */
ExitCode CommandRunner::conclude(const Outcome &outcome, const KeyHistory &history)
{
    if (!outcome.answer) {
        return this->concludeFailure(outcome);
    }
    const std::string &body = outcome.answer->body;
    if (outcome.document.contains("outcome")) {
        this->printer.printAnswer(body, outcome.document);
        return hasText(outcome.document, "outcome", "complete") ? ExitCode::Done : ExitCode::JobFailed;
    }
    if (outcome.document.contains("href")) {
        this->printer.printAccepted(body, outcome.document);
        return ExitCode::Done;
    }
    if (outcome.document.contains("state")) {
        this->printer.printState(body, outcome.document);
        return hasText(outcome.document, "state", "unused") ? ExitCode::Refused : ExitCode::MayHaveRun;
    }
    return this->concludeError(outcome, history);
}

ExitCode CommandRunner::concludeError(const Outcome &outcome, const KeyHistory &history)
{
    this->printer.printError(outcome.answer->body, outcome.document);
    if (outcome.document.contains("verdict")) {
        const bool isNotRun = hasText(outcome.document, "verdict", "not-run");
        const bool isBadInput = isNotRun && hasText(outcome.document, "code", "bad-input");
        const ExitCode refused = isBadInput ? ExitCode::BadInput : ExitCode::Refused;
        return isNotRun ? refused : ExitCode::MayHaveRun;
    }
    if (history.wasLost) {
        return ExitCode::MayHaveRun;
    }
    if (hasText(outcome.document, "code", "bad-input")) {
        return ExitCode::BadInput;
    }
    return history.isFresh ? ExitCode::Refused : ExitCode::MayHaveRun;
}

ExitCode CommandRunner::concludeFailure(const Outcome &outcome)
{
    if (outcome.wasLost) {
        this->printer.printLocalError("lost", outcome.message, {}, "may-have-run");
        return ExitCode::MayHaveRun;
    }
    this->printer.printLocalError("unreachable", outcome.message, {}, {});
    return ExitCode::Unreachable;
}

} // namespace Tanagertally
