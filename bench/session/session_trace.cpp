#include "session/session_trace_func.h"

#include <fmt/format.h>

namespace Tanagertally {

namespace {

std::string conditionsOf(const TableTransaction &transaction)
{
    std::string text;
    for (const RowCondition &condition : transaction.conditions) {
        text += fmt::format(" {}@{}", condition.key.value, condition.version.value);
    }
    return text;
}

std::string writesOf(const TableTransaction &transaction)
{
    std::string text;
    for (const RowWrite &write : transaction.writes) {
        text += fmt::format(" {}{}", write.value ? "" : "-", write.key.value);
    }
    return text;
}

std::string outcomeOf(const PlatformReply &reply)
{
    const auto *failed = std::get_if<ConditionFailed>(&reply);
    if (failed == nullptr) {
        return "done";
    }
    std::string text = "failed on";
    for (const TableRow &row : failed->rows) {
        text += fmt::format(" {}@{}", row.key.value, row.version.value);
    }
    return text;
}

} // namespace

std::string toTraceText(const PlatformRequest &request, const PlatformReply &reply)
{
    if (const auto *put = std::get_if<ObjectPut>(&request)) {
        return fmt::format("puts object {}", put->name.value);
    }
    const auto *transaction = std::get_if<TableTransaction>(&request);
    if (transaction == nullptr) {
        return {};
    }
    return fmt::format("writes{} if{}: {}", writesOf(*transaction), conditionsOf(*transaction), outcomeOf(reply));
}

std::string toTraceText(const PeerMessage &message)
{
    if (const auto *submit = std::get_if<ForwardedSubmit>(&message)) {
        return fmt::format("forwards submit {}", submit->key.value);
    }
    if (const auto *fetch = std::get_if<ForwardedFetch>(&message)) {
        return fmt::format("forwards fetch {}", fetch->key.value);
    }
    if (const auto *cancel = std::get_if<ForwardedCancel>(&message)) {
        return fmt::format("forwards cancel {}", cancel->key.value);
    }
    return {};
}

} // namespace Tanagertally
