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
    const Result<void> checkedObject = checkObject(document, JsonObjectSchema{"", {"text", "dryRun"}});
    if (checkedObject.has_error()) {
        return checkedObject.error();
    }
    if (!document.contains("text")) {
        return makeError(ErrorCode::BadInput, "expected a query or command", "text");
    }
    Result<std::string> text = readString(document["text"], "text");
    if (text.has_error()) {
        return text.error();
    }
    if (text.value().empty() || text.value().size() > MaxOperatorTextBytes) {
        return makeError(ErrorCode::BadInput, "expected 1 to " + std::to_string(MaxOperatorTextBytes) + " bytes", "text");
    }
    OperatorInput decoded;
    decoded.text = std::move(text.value());
    if (!document.contains("dryRun")) {
        return decoded;
    }
    const Result<bool> dryRun = readBool(document["dryRun"], "dryRun");
    if (dryRun.has_error()) {
        return dryRun.error();
    }
    decoded.dryRun = dryRun.value();
    return decoded;
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
