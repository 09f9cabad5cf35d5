#include "operator/operator_codec.h"

#include "caller/error_document.h"
#include "caller/json_input.h"

namespace Tanagertally {

Result<OperatorInput> decodeOperatorInput(std::string_view body)
{
    const Result<JsonInput> input = parseJsonInput(body);
    if (input.has_error()) {
        return input.error();
    }
    const nlohmann::json &document = input.value().document;
    const Result<void> shape = checkObject(document, JsonObjectRule{"", {"text", "dryRun"}});
    if (shape.has_error()) {
        return shape.error();
    }
    if (!document.contains("text")) {
        return makeError(ErrorCode::BadInput, "expected a query or command", "text");
    }
    Result<std::string> text = readText(document["text"], "text");
    if (text.has_error()) {
        return text.error();
    }
    if (text.value().empty() || text.value().size() > MaxOperatorTextBytes) {
        return makeError(ErrorCode::BadInput, "expected 1 to " + std::to_string(MaxOperatorTextBytes) + " bytes", "text");
    }
    OperatorInput read;
    read.text = std::move(text.value());
    if (!document.contains("dryRun")) {
        return read;
    }
    const Result<bool> dryRun = readFlag(document["dryRun"], "dryRun");
    if (dryRun.has_error()) {
        return dryRun.error();
    }
    read.dryRun = dryRun.value();
    return read;
}

HttpReply encodeOperatorReply(const ReplyToOperator &reply)
{
    if (reply.error) {
        return errorReply(ErrorDocument{*reply.error, std::nullopt, std::nullopt});
    }
    HttpReply answer;
    answer.body = reply.json;
    return answer;
}

} // namespace Tanagertally
