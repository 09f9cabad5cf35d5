#include "controllers/row_type.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace Tanagertally {

namespace {

using Json = nlohmann::json;

constexpr std::array<std::string_view, 2> DurableStateNames = {"accepted", "answered"};
constexpr std::array<std::string_view, 2> ProposalStateNames = {"proposed", "accepted"};
constexpr std::array<std::string_view, 4> DrainScopeNames = {"worker", "rack", "domain", "instance"};
constexpr std::array<std::string_view, 3> VerdictNames = {"not-run", "may-have-run", "ran"};

template<typename Enum, std::size_t Count>
std::string nameOf(const std::array<std::string_view, Count> &names, Enum value)
{
    return std::string(names.at(static_cast<std::size_t>(value)));
}

template<typename Enum, std::size_t Count>
Enum valueOf(const std::array<std::string_view, Count> &names, const Json &name)
{
    const auto text = name.get<std::string>();
    for (std::size_t index = 0; index < Count; ++index) {
        if (names[index] == text) {
            return static_cast<Enum>(index);
        }
    }
    throw std::out_of_range("unknown name " + text);
}

/** Runs a decoder and converts the exceptions that nlohmann throws on malformed input to an Error. */
template<typename Function>
auto decode(std::string_view text, Function function) -> Result<decltype(function(Json()))>
{
    try {
        return function(Json::parse(text));
    } catch (const std::exception &error) {
        return makeError(ErrorCode::Internal, error.what());
    }
}

Json toJson(const ClaimHolder &holder)
{
    return Json{{"name", holder.name.value},
                {"domain", holder.domain.value},
                {"address", holder.address.value},
                {"incarnation", fmt::format("{:016x}", holder.incarnation.value)}};
}

ClaimHolder holderFrom(const Json &json)
{
    ClaimHolder holder;
    holder.name = InstanceName(json.at("name").get<std::string>());
    holder.domain = FailureDomain(json.at("domain").get<std::string>());
    holder.address = NetAddress(json.at("address").get<std::string>());
    holder.incarnation = Incarnation(std::stoull(json.at("incarnation").get<std::string>(), nullptr, 16));
    return holder;
}

} // namespace

RowKey claimRowKey(const TeamKey &name)
{
    return RowKey(fmt::format("claims/{}/{}", name.team.value, name.key.value));
}

RowKey durablePrefix(const FailureDomain &domain)
{
    return RowKey(fmt::format("durable/{}/", domain.value));
}

RowKey durableRowKey(const FailureDomain &domain, const TeamKey &name)
{
    return RowKey(fmt::format("durable/{}/{}/{}", domain.value, name.team.value, name.key.value));
}

ObjectName jobObjectName(Incarnation incarnation, JobId job)
{
    return ObjectName(fmt::format("job-{:016x}-{}", incarnation.value, job.value));
}

ObjectName answerObjectName(Incarnation incarnation, JobId job)
{
    return ObjectName(fmt::format("answer-{:016x}-{}", incarnation.value, job.value));
}

std::string encodeRow(const ClaimRow &row)
{
    return Json{{"holder", toJson(row.holder)}, {"durable", row.durable}, {"idempotent", row.idempotent}, {"takenOver", row.takenOver}}
        .dump();
}

template<>
Result<ClaimRow> decodeRow<ClaimRow>(std::string_view text)
{
    return decode(text, [](const Json &json) {
        return ClaimRow{holderFrom(json.at("holder")), json.at("durable").get<bool>(), json.at("idempotent").get<bool>(),
                        json.value("takenOver", false)};
    });
}

std::string encodeRow(const DurableJobRow &row)
{
    return Json{
        {"team", row.team.value}, {"key", row.key.value}, {"holder", toJson(row.holder)}, {"state", nameOf(DurableStateNames, row.state)},
        {"mark", row.mark},       {"job", row.job.value}, {"answer", row.answer.value}}
        .dump();
}

template<>
Result<DurableJobRow> decodeRow<DurableJobRow>(std::string_view text)
{
    return decode(text, [](const Json &json) {
        DurableJobRow row;
        row.team = TeamName(json.at("team").get<std::string>());
        row.key = JobKey(json.at("key").get<std::string>());
        row.holder = holderFrom(json.at("holder"));
        row.state = valueOf<DurableState>(DurableStateNames, json.at("state"));
        row.mark = json.at("mark").get<std::uint32_t>();
        row.job = ObjectName(json.at("job").get<std::string>());
        row.answer = ObjectName(json.at("answer").get<std::string>());
        return row;
    });
}

std::string encodeRow(const ConfigRow &row)
{
    return Json{
        {"config", Json::parse(fleetConfigToJson(row.config))}, {"state", nameOf(ProposalStateNames, row.state)}, {"by", row.by.value}}
        .dump();
}

template<>
Result<ConfigRow> decodeRow<ConfigRow>(std::string_view text)
{
    return decode(text, [](const Json &json) {
        Result<FleetConfig> config = fleetConfigFromJson(json.at("config").dump());
        if (!config) {
            throw std::invalid_argument(config.error().message);
        }
        return ConfigRow{std::move(config.value()), valueOf<ProposalState>(ProposalStateNames, json.at("state")),
                         OperatorName(json.at("by").get<std::string>())};
    });
}

std::string encodeRow(const DrainRow &row)
{
    return Json{{"scope", nameOf(DrainScopeNames, row.scope)}, {"name", row.name}, {"by", row.by.value}}.dump();
}

template<>
Result<DrainRow> decodeRow<DrainRow>(std::string_view text)
{
    return decode(text, [](const Json &json) {
        return DrainRow{valueOf<DrainScope>(DrainScopeNames, json.at("scope")), json.at("name").get<std::string>(),
                        OperatorName(json.at("by").get<std::string>())};
    });
}

std::string encodeRow(const AuditRow &row)
{
    return Json{{"atMs", row.atMs}, {"by", row.by.value}, {"command", row.command}, {"outcome", row.outcome}}.dump();
}

template<>
Result<AuditRow> decodeRow<AuditRow>(std::string_view text)
{
    return decode(text, [](const Json &json) {
        return AuditRow{json.at("atMs").get<std::int64_t>(), OperatorName(json.at("by").get<std::string>()),
                        json.at("command").get<std::string>(), json.at("outcome").get<std::string>()};
    });
}

std::string encodeJob(const JobSpec &job)
{
    Json tasks = Json::array();
    for (const TaskSpec &task : job.tasks) {
        tasks.push_back(Json::array({task.kind.value, *task.payload, task.declaredRunTime.count()}));
    }
    return Json{{"tasks", std::move(tasks)}, {"timeoutNs", job.timeout.count()}}.dump();
}

Result<JobSpec> decodeJob(std::string_view text)
{
    return decode(text, [](const Json &json) {
        JobSpec job;
        job.mode = SubmitMode::Later;
        job.timeout = Duration(json.at("timeoutNs").get<std::int64_t>());
        for (const Json &task : json.at("tasks")) {
            job.tasks.push_back(TaskSpec{KindName(task.at(0).get<std::string>()),
                                         std::make_shared<const std::string>(task.at(1).get<std::string>()),
                                         Duration(task.at(2).get<std::int64_t>())});
        }
        return job;
    });
}

std::string encodeAnswer(const JobAnswer &answer)
{
    Json tasks = Json::array();
    for (const TaskAnswer &task : answer.tasks) {
        const Json output = task.output == nullptr ? Json() : Json(*task.output);
        tasks.push_back(Json::array({nameOf(VerdictNames, task.verdict), task.succeeded, output, task.error}));
    }
    return Json{{"key", answer.key.value},
                {"complete", answer.outcome == JobOutcome::Complete},
                {"reason", static_cast<int>(answer.reason)},
                {"message", answer.message},
                {"tasks", std::move(tasks)}}
        .dump();
}

Result<JobAnswer> decodeAnswer(std::string_view text)
{
    return decode(text, [](const Json &json) {
        JobAnswer answer;
        answer.key = JobKey(json.at("key").get<std::string>());
        answer.outcome = json.at("complete").get<bool>() ? JobOutcome::Complete : JobOutcome::Failed;
        answer.reason = static_cast<ErrorCode>(json.at("reason").get<int>());
        answer.message = json.at("message").get<std::string>();
        for (const Json &task : json.at("tasks")) {
            TaskAnswer one;
            one.verdict = valueOf<Verdict>(VerdictNames, task.at(0));
            one.succeeded = task.at(1).get<bool>();
            one.output = task.at(2).is_null() ? nullptr : std::make_shared<const std::string>(task.at(2).get<std::string>());
            one.error = task.at(3).get<std::string>();
            answer.tasks.push_back(std::move(one));
        }
        return answer;
    });
}

} // namespace Tanagertally
