#include "controllers/query_rows.h"

#include "controllers/row_type.h"
#include "language/language_table.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace Tanagertally {

namespace {

using Json = nlohmann::ordered_json;

Value number(std::uint64_t value)
{
    return static_cast<double>(value);
}

Value text(std::string_view value)
{
    return std::string(value);
}

JobState stateOf(const JobRecord &job)
{
    if (job.answer != nullptr) {
        return JobState::Answered;
    }
    return job.running + job.ended == 0 ? JobState::Pending : JobState::Running;
}

std::vector<Row> makeJobRows(const Blackboard &board)
{
    std::vector<Row> rows;
    for (const auto &[id, job] : board.jobs.all()) {
        Row row{{Field::Key, text(job.key.value)},
                {Field::State, text(toString(stateOf(job)))},
                {Field::Team, text(job.team.value)},
                {Field::Age, board.now - job.submittedAt},
                {Field::Timeout, job.spec.timeout},
                {Field::Mode, text(job.spec.mode == SubmitMode::Wait ? "wait" : "later")},
                {Field::Home, text(board.identity.name.value)},
                {Field::Tasks, number(job.tasks.size())},
                {Field::Started, number(job.running + job.ended)},
                {Field::Finished, number(job.ended)}};
        if (job.answer != nullptr) {
            const bool complete = job.answer->outcome == JobOutcome::Complete;
            row.emplace_back(Field::Outcome, text(complete ? "complete" : "failed"));
            row.emplace_back(Field::Reason, complete ? Value() : text(toString(job.answer->reason)));
        }
        rows.push_back(std::move(row));
    }
    return rows;
}

std::string_view nameOf(const TaskRecord &task)
{
    switch (task.state) {
    case TaskState::Waiting:
        return "waiting";
    case TaskState::Running:
        return "running";
    case TaskState::Ended:
        return task.answer.succeeded ? "succeeded" : "failed";
    }
    return "failed";
}

std::vector<Row> makeTaskRows(const Blackboard &board)
{
    std::vector<Row> rows;
    for (const auto &[id, job] : board.jobs.all()) {
        if (job.answer != nullptr) {
            continue;
        }
        for (std::size_t index = 0; index < job.tasks.size(); ++index) {
            const TaskRecord &task = job.tasks[index];
            const Verdict verdict = task.inFlight > 0 ? combine(task.answer.verdict, Verdict::MayHaveRun) : task.answer.verdict;
            rows.push_back(Row{{Field::Job, text(job.key.value)},
                               {Field::Index, number(index)},
                               {Field::Kind, text(job.spec.tasks[index].kind.value)},
                               {Field::Team, text(job.team.value)},
                               {Field::State, text(nameOf(task))},
                               {Field::RunVerdict, text(toString(verdict))},
                               {Field::Attempts, number(std::uint64_t(task.attempts) + task.inFlight)},
                               {Field::Age, board.now - job.submittedAt}});
        }
    }
    return rows;
}

std::vector<Row> makeEndpointRows(const Blackboard &board)
{
    std::vector<Row> rows;
    for (const auto &[id, endpoint] : board.endpoints.all()) {
        rows.push_back(Row{{Field::Worker, text(endpoint.listed.worker.value)},
                           {Field::Rack, text(endpoint.listed.rack.value)},
                           {Field::Domain, text(endpoint.listed.domain.value)},
                           {Field::Address, text(endpoint.listed.address.value)},
                           {Field::State, text(toString(endpoint.lifecycle.state()))},
                           {Field::Slots, number(endpoint.listed.slots)},
                           {Field::Running, number(endpoint.inFlight)},
                           {Field::Failures, number(endpoint.consecutiveFailures)}});
    }
    return rows;
}

std::vector<Row> makeInstanceRows(const Blackboard &board)
{
    const InstanceIdentity &self = board.identity;
    return {Row{{Field::Name, text(self.name.value)},
                {Field::Domain, text(self.domain.value)},
                {Field::Address, text(self.peerAddress.value)},
                {Field::State, text(toString(board.lifecycle.state()))},
                {Field::ProcessIncarnation, fmt::format("{:016x}", self.incarnation.value)},
                {Field::Config, number(board.config.version.value)},
                {Field::Queued, number(board.stats.queued)},
                {Field::Running, number(board.stats.running)}}};
}

std::vector<Row> makeDomainRows(const Blackboard &board)
{
    std::uint64_t slots = 0;
    for (const auto &[id, endpoint] : board.endpoints.all()) {
        slots += endpoint.listed.slots;
    }
    return {Row{{Field::Domain, text(board.identity.domain.value)},
                {Field::Config, number(board.config.version.value)},
                {Field::Endpoints, number(board.endpoints.all().size())},
                {Field::Slots, number(slots)},
                {Field::Running, number(board.stats.running)},
                {Field::Queued, number(board.stats.queued)}}};
}

std::vector<Row> makeTeamRows(const Blackboard &board)
{
    std::vector<Row> rows;
    for (const auto &[name, load] : board.teams) {
        const TeamConfig *config = findTeam(board.config, name);
        rows.push_back(Row{{Field::Team, text(name.value)},
                           {Field::Quota, number(config == nullptr ? 0 : config->quota)},
                           {Field::Weight, number(config == nullptr ? 1 : config->weight)},
                           {Field::Running, number(load.running)},
                           {Field::Queued, number(load.waiting)}});
    }
    return rows;
}

std::vector<Row> makeConfigRows(const Blackboard &board, const ConfigController &config)
{
    return {Row{{Field::Version, number(board.config.version.value)}, {Field::State, text(config.isAccepted() ? "accepted" : "in-force")}}};
}

std::vector<Row> makeRefusalRows(const Blackboard &board, const DecisionTrail &trail)
{
    std::vector<Row> rows;
    for (const TrailEntry &entry : trail.all()) {
        if (entry.event == "refused") {
            rows.push_back(Row{{Field::Id, number(entry.number.value)},
                               {Field::Code, text(fieldOf(entry, "code"))},
                               {Field::RunVerdict, text(fieldOf(entry, "verdict"))},
                               {Field::Age, board.now - entry.at},
                               {Field::Message, text(fieldOf(entry, "message"))}});
        }
    }
    return rows;
}

/** Visitor that converts a value to JSON. */
struct ValueToJson {
    Json operator()(std::monostate /*unset*/) const
    {
        return nullptr;
    }
    Json operator()(const std::string &value) const
    {
        return value;
    }
    Json operator()(double value) const
    {
        return value;
    }
    Json operator()(Duration value) const
    {
        return std::chrono::duration<double>(value).count();
    }
};

Value valueFrom(const Json &json, FieldType type)
{
    if (json.is_null()) {
        return {};
    }
    switch (type) {
    case FieldType::Text:
    case FieldType::Name:
        return json.get<std::string>();
    case FieldType::Number:
        return json.get<double>();
    case FieldType::TimeSpan:
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(json.get<double>()));
    }
    return {};
}

} // namespace

std::vector<Row> makeRows(Subject subject, const Blackboard &board, const ConfigController &config, const DecisionTrail &trail)
{
    switch (subject) {
    case Subject::Jobs:
        return makeJobRows(board);
    case Subject::Tasks:
        return makeTaskRows(board);
    case Subject::Endpoints:
        return makeEndpointRows(board);
    case Subject::Instances:
        return makeInstanceRows(board);
    case Subject::Domains:
        return makeDomainRows(board);
    case Subject::Teams:
        return makeTeamRows(board);
    case Subject::Config:
        return makeConfigRows(board, config);
    case Subject::Refusals:
        return makeRefusalRows(board, trail);
    case Subject::Audit:
        return {};
    }
    return {};
}

std::vector<Row> makeAuditRows(const std::vector<TableRow> &rows, std::int64_t nowMs)
{
    std::vector<Row> result;
    for (const TableRow &row : rows) {
        const Result<AuditRow> audit = decodeRow<AuditRow>(row.value);
        if (audit) {
            result.push_back(Row{{Field::Index, number(result.size())},
                                 {Field::By, text(audit.value().by.value)},
                                 {Field::Age, Duration(std::chrono::milliseconds(nowMs - audit.value().atMs))},
                                 {Field::Text, text(audit.value().command)},
                                 {Field::Message, text(audit.value().outcome)}});
        }
    }
    return result;
}

std::string rowsToJson(const std::vector<Row> &rows)
{
    Json result = Json::array();
    for (const Row &row : rows) {
        Json object = Json::object();
        for (const auto &[field, value] : row) {
            object[std::string(fieldName(field))] = std::visit(ValueToJson(), value);
        }
        result.push_back(std::move(object));
    }
    return result.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<std::vector<Row>> rowsFromJson(Subject subject, std::string_view json)
{
    try {
        std::vector<Row> rows;
        const SubjectInfo &info = subjectInfo(subject);
        for (const Json &object : Json::parse(json)) {
            Row row;
            for (const auto &[name, value] : object.items()) {
                const FieldInfo *field = findField(info, name);
                if (field != nullptr) {
                    row.emplace_back(field->field, valueFrom(value, field->type));
                }
            }
            rows.push_back(std::move(row));
        }
        return rows;
    } catch (const std::exception &error) {
        return makeError(ErrorCode::Internal, error.what());
    }
}

} // namespace Tanagertally
