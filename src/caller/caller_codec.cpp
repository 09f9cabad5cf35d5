#include "caller/caller_codec.h"

#include "caller/error_document.h"
#include "caller/json_input.h"
#include "caller/url_func.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Tanagertally {

namespace {

namespace http = boost::beast::http;
using Json = nlohmann::json;
using OrderedJson = nlohmann::ordered_json;
using std::chrono::milliseconds;

std::int64_t toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<milliseconds>(duration).count();
}

std::string dump(const OrderedJson &json)
{
    return json.dump(-1, ' ', false, OrderedJson::error_handler_t::replace);
}

bool isVisibleAscii(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](char c) { return c > 0x20 && c < 0x7f; });
}

/** Validates a name that is forwarded in an HTTP header: visible ASCII, which can't inject further headers, of limited length. */
Result<std::string> checkName(std::string_view text, std::string_view field, std::size_t maxBytes)
{
    if (text.empty() || text.size() > maxBytes || !isVisibleAscii(text)) {
        const std::string limit = std::to_string(maxBytes);
        return makeError(ErrorCode::BadInput, "expected 1 to " + limit + " visible ASCII characters without spaces", std::string(field));
    }
    return std::string(text);
}

Result<std::string> readName(const Json &value, const std::string &path, std::size_t maxBytes)
{
    Result<std::string> text = readString(value, path);
    if (text.has_error()) {
        return text;
    }
    return checkName(text.value(), path, maxBytes);
}

Result<Duration> readMilliseconds(const Json &value, const std::string &path, Duration highest)
{
    const Result<std::int64_t> number = readInteger(value, path, IntegerRange{1, toMilliseconds(highest)});
    if (number.has_error()) {
        return number.error();
    }
    return Duration(milliseconds(number.value()));
}

Result<TaskSpec> readTask(const JsonInput &input, std::size_t index)
{
    const std::string path = "tasks[" + std::to_string(index) + "]";
    const Json &value = input.document["tasks"][index];
    const Result<void> checkedObject = checkObject(value, JsonObjectSchema{path, {"kind", "payload", "declaredRunTimeMs"}});
    if (checkedObject.has_error()) {
        return checkedObject.error();
    }
    if (!value.contains("kind")) {
        return makeError(ErrorCode::BadInput, "expected the name of a kind of request", fieldPath(path, "kind"));
    }
    if (!value.contains("payload")) {
        return makeError(ErrorCode::BadInput, "expected the task's input, any JSON value", fieldPath(path, "payload"));
    }
    Result<std::string> kind = readName(value["kind"], fieldPath(path, "kind"), MaxKindBytes);
    if (kind.has_error()) {
        return kind.error();
    }
    TaskSpec task;
    task.kind = KindName(std::move(kind.value()));
    task.payload = input.payloads[value["payload"].get<std::size_t>()];
    if (!value.contains("declaredRunTimeMs")) {
        return task;
    }
    const Result<Duration> declared
        = readMilliseconds(value["declaredRunTimeMs"], fieldPath(path, "declaredRunTimeMs"), MaxDeclaredRunTime);
    if (declared.has_error()) {
        return declared.error();
    }
    task.declaredRunTime = declared.value();
    return task;
}

Result<std::vector<TaskSpec>> readTasks(const JsonInput &input)
{
    const std::string expectation = "expected an array of 1 to " + std::to_string(MaxTasksPerJob) + " tasks";
    const Json &document = input.document;
    const bool isArray = document.contains("tasks") && document["tasks"].is_array();
    if (!isArray || document["tasks"].empty() || document["tasks"].size() > MaxTasksPerJob) {
        return makeError(ErrorCode::BadInput, expectation, "tasks");
    }
    std::vector<TaskSpec> tasks;
    tasks.reserve(document["tasks"].size());
    for (std::size_t index = 0; index < document["tasks"].size(); ++index) {
        Result<TaskSpec> task = readTask(input, index);
        if (task.has_error()) {
            return task.error();
        }
        tasks.push_back(std::move(task.value()));
    }
    return tasks;
}

Result<SubmitMode> readMode(const Json &document)
{
    if (!document.contains("mode") || document["mode"] == "wait") {
        return SubmitMode::Wait;
    }
    if (document["mode"] == "later") {
        return SubmitMode::Later;
    }
    return makeError(ErrorCode::BadInput, "expected \"wait\" or \"later\"", "mode");
}

Result<Duration> readTimeout(const Json &document, SubmitMode mode)
{
    if (!document.contains("timeoutMs")) {
        return mode == SubmitMode::Wait ? DefaultWaitTimeout : DefaultLaterTimeout;
    }
    return readMilliseconds(document["timeoutMs"], "timeoutMs", MaxTimeout);
}

/** @return The value of an Idempotency-Key header, without the quotes of a structured field (RFC 8941) string. */
std::string_view stripQuotes(std::string_view text)
{
    const bool isQuoted = text.size() >= 2 && text.front() == '"' && text.back() == '"';
    return isQuoted ? text.substr(1, text.size() - 2) : text;
}

/** @return The key from the body or the header; empty if neither has one. BadInput if they differ. */
Result<JobKey> readKey(const Json &document, std::optional<std::string_view> headerKey)
{
    JobKey key;
    if (headerKey) {
        Result<JobKey> fromHeader = checkKey(stripQuotes(*headerKey), "Idempotency-Key");
        if (fromHeader.has_error()) {
            return fromHeader;
        }
        key = std::move(fromHeader.value());
    }
    if (!document.contains("key")) {
        return key;
    }
    Result<std::string> text = readName(document["key"], "key", MaxKeyBytes);
    if (text.has_error()) {
        return text.error();
    }
    if (headerKey && key.value != text.value()) {
        return makeError(ErrorCode::BadInput, "the key differs from the Idempotency-Key header", "key");
    }
    return JobKey(std::move(text.value()));
}

HttpReply jsonReply(http::status status, std::string body)
{
    HttpReply reply;
    reply.status = status;
    reply.body = std::move(body);
    return reply;
}

HttpReply encode(const KeysIssued &issued)
{
    OrderedJson keys = OrderedJson::array();
    for (const JobKey &key : issued.keys) {
        keys.push_back(key.value);
    }
    return jsonReply(http::status::ok, dump({{"keys", std::move(keys)}, {"validForMs", toMilliseconds(issued.validFor)}}));
}

HttpReply encode(const JobAccepted &accepted)
{
    const std::string href = "/v1/jobs/" + percentEncode(accepted.key.value);
    return jsonReply(http::status::accepted, dump({{"key", accepted.key.value}, {"href", href}}));
}

HttpReply encode(const JobStatus &status)
{
    return jsonReply(http::status::ok, dump({{"key", status.key.value},
                                             {"state", toString(status.state)},
                                             {"tasks", status.tasks},
                                             {"started", status.started},
                                             {"finished", status.finished}}));
}

/** Appends the entry of one task. The answer of a failed job carries no outputs. */
void appendTask(std::string &text, const TaskAnswer &task, JobOutcome outcome)
{
    text += R"({"verdict":")";
    text += toString(task.verdict);
    text += R"(","succeeded":)";
    text += task.succeeded ? "true" : "false";
    if (outcome == JobOutcome::Complete) {
        text += R"(,"output":)";
        text += task.output && !task.output->empty() ? std::string_view(*task.output) : std::string_view("null");
    } else if (!task.error.empty()) {
        text += R"(,"error":)";
        text += dump(task.error);
    }
    text += '}';
}

HttpReply encode(const JobAnswer &answer)
{
    const bool isComplete = answer.outcome == JobOutcome::Complete;
    OrderedJson head;
    head["key"] = answer.key.value;
    head["outcome"] = isComplete ? "complete" : "failed";
    if (!isComplete) {
        head["reason"] = toString(answer.reason);
        head["message"] = answer.message;
    }
    std::string text = dump(head);
    text.pop_back();
    text += R"(,"tasks":[)";
    for (std::size_t index = 0; index < answer.tasks.size(); ++index) {
        text += index > 0 ? "," : "";
        appendTask(text, answer.tasks[index], answer.outcome);
    }
    text += "]}";
    return jsonReply(http::status::ok, std::move(text));
}

HttpReply encode(const Refusal &refusal)
{
    return errorReply(ErrorDocument{refusal.error, refusal.verdict, refusal.retryAfter});
}

} // namespace

Result<std::uint32_t> decodeKeysRequest(std::string_view body)
{
    if (body.empty()) {
        return 1U;
    }
    const Result<JsonInput> input = parseJsonInput(body);
    if (input.has_error()) {
        return input.error();
    }
    const Json &document = input.value().document;
    const Result<void> checkedObject = checkObject(document, JsonObjectSchema{"", {"count"}});
    if (checkedObject.has_error()) {
        return checkedObject.error();
    }
    if (!document.contains("count")) {
        return 1U;
    }
    const Result<std::int64_t> count = readInteger(document["count"], "count", IntegerRange{1, MaxKeysPerCall});
    if (count.has_error()) {
        return count.error();
    }
    return static_cast<std::uint32_t>(count.value());
}

Result<Submission> decodeSubmission(std::string_view body, std::optional<std::string_view> headerKey)
{
    const Result<JsonInput> input = parseJsonInput(body);
    if (input.has_error()) {
        return input.error();
    }
    const Json &document = input.value().document;
    const Result<void> checkedObject = checkObject(document, JsonObjectSchema{"", {"key", "mode", "timeoutMs", "tasks"}});
    if (checkedObject.has_error()) {
        return checkedObject.error();
    }
    Result<JobKey> key = readKey(document, headerKey);
    if (key.has_error()) {
        return key.error();
    }
    const Result<SubmitMode> mode = readMode(document);
    if (mode.has_error()) {
        return mode.error();
    }
    const Result<Duration> timeout = readTimeout(document, mode.value());
    if (timeout.has_error()) {
        return timeout.error();
    }
    Result<std::vector<TaskSpec>> tasks = readTasks(input.value());
    if (tasks.has_error()) {
        return tasks.error();
    }
    Submission submission;
    submission.key = std::move(key.value());
    submission.job = JobSpec{std::move(tasks.value()), timeout.value(), mode.value()};
    return submission;
}

Result<JobKey> checkKey(std::string_view text, std::string_view field)
{
    Result<std::string> checked = checkName(text, field, MaxKeyBytes);
    if (checked.has_error()) {
        return checked.error();
    }
    return JobKey(std::move(checked.value()));
}

HttpReply encodeCallerReply(const CallerReply &reply)
{
    return std::visit([](const auto &document) { return encode(document); }, reply);
}

} // namespace Tanagertally
