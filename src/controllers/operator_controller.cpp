#include "controllers/operator_controller.h"

#include "controllers/query_rows.h"
#include "language/language_func.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace Tanagertally {

namespace {

using Json = nlohmann::ordered_json;

constexpr Duration QueryTimeout = std::chrono::milliseconds(500);
constexpr Duration AuditTimeout = std::chrono::seconds(2);
constexpr std::uint32_t AuditLimit = 1000; // rows
constexpr std::string_view AuditPrefix = "audit/";

/** @return Whether a statement is a command, which changes state, rather than a query. */
bool isCommand(const Statement &statement)
{
    return !std::holds_alternative<ShowRows>(statement) && !std::holds_alternative<ShowCount>(statement)
           && !std::holds_alternative<ExplainJob>(statement) && !std::holds_alternative<ExplainEndpoint>(statement)
           && !std::holds_alternative<ExplainRefusal>(statement);
}

bool isCancel(const Statement &statement)
{
    return std::holds_alternative<CancelJob>(statement) || std::holds_alternative<CancelJobs>(statement);
}

/** @return Recorded decisions as rows of the audit subject, in the given order. */
std::vector<Row> trailRows(const Blackboard &board, const std::vector<const TrailEntry *> &entries)
{
    std::vector<Row> rows;
    for (const TrailEntry *entry : entries) {
        std::string line(entry->event);
        for (const LogField &field : entry->fields) {
            line += fmt::format(" {}={}", field.key, field.value);
        }
        rows.push_back(Row{{Field::Age, board.now - entry->at}, {Field::By, board.identity.name.value}, {Field::Text, std::move(line)}});
    }
    return rows;
}

/** Target of a drain in the form stored in the table. */
struct StoredDrainTarget {
    DrainScope scope = DrainScope::Worker;
    std::string name;
};

/** Visitor that converts the target of a drain statement. */
struct ToStoredDrainTarget {
    StoredDrainTarget operator()(const WorkerName &worker) const
    {
        return {DrainScope::Worker, worker.value};
    }
    StoredDrainTarget operator()(const RackName &rack) const
    {
        return {DrainScope::Rack, rack.value};
    }
    StoredDrainTarget operator()(const InstanceName &instance) const
    {
        return {DrainScope::Instance, instance.value};
    }
    StoredDrainTarget operator()(const FailureDomain &domain) const
    {
        return {DrainScope::Domain, domain.value};
    }
};

} // namespace

OperatorController::OperatorController(Blackboard &board, Outbox &outbox, PlatformCalls &platform, ConfigController &config,
                                       DrainController &drains, JobController &jobs)
    : board(board)
    , outbox(outbox)
    , platform(platform)
    , config(config)
    , drains(drains)
    , jobs(jobs)
{
}

void OperatorController::replyError(RequestId request, Error error)
{
    --this->board.openCalls;
    this->outbox.emit(ReplyToOperator{request, std::move(error), {}});
}

void OperatorController::replyJson(RequestId request, std::string json)
{
    --this->board.openCalls;
    this->outbox.emit(ReplyToOperator{request, std::nullopt, std::move(json)});
}

void OperatorController::handle(const OperatorRequested &asked)
{
    Result<Statement> statement = parseStatement(asked.text);
    if (!statement) {
        this->replyError(asked.request, statement.error());
        return;
    }
    if (!isCommand(statement.value())) {
        const auto *rows = std::get_if<ShowRows>(&statement.value());
        if (rows != nullptr && rows->subject == Subject::Audit) {
            this->queryAudit(asked, *rows);
            return;
        }
        this->queryFleet(asked, std::move(statement.value()));
        return;
    }
    this->outbox.log("command", {{"by", asked.by.value}, {"text", asked.text}, {"dryrun", asked.dryRun ? "yes" : "no"}});
    std::visit(
        [&](const auto &command) {
            if constexpr (requires { this->execute(asked, command); }) {
                this->execute(asked, command);
            }
        },
        statement.value());
}

Subject OperatorController::subjectOf(const Statement &statement) const
{
    if (const auto *rows = std::get_if<ShowRows>(&statement)) {
        return rows->subject;
    }
    if (const auto *count = std::get_if<ShowCount>(&statement)) {
        return count->subject;
    }
    return isCancel(statement) ? Subject::Jobs : Subject::Audit;
}

std::vector<Row> OperatorController::localRows(const Statement &statement)
{
    const DecisionTrail &trail = this->outbox.decisions();
    if (const auto *explained = std::get_if<ExplainJob>(&statement)) {
        return trailRows(this->board, trail.find("key", explained->key.value));
    }
    if (const auto *explained = std::get_if<ExplainEndpoint>(&statement)) {
        return trailRows(this->board, trail.find("worker", explained->worker.value));
    }
    if (const auto *explained = std::get_if<ExplainRefusal>(&statement)) {
        std::vector<const TrailEntry *> entries;
        for (const TrailEntry &entry : trail.all()) {
            if (entry.event == "refused" && entry.number.value == explained->id.value) {
                entries.push_back(&entry);
            }
        }
        return trailRows(this->board, entries);
    }
    std::vector<Row> rows = makeRows(this->subjectOf(statement), this->board, this->config, trail);
    if (const auto *cancelled = std::get_if<CancelJob>(&statement)) {
        std::erase_if(rows, [&](const Row &row) { return fieldValue(row, Field::Key) != Value(cancelled->key.value); });
    }
    if (const auto *cancelled = std::get_if<CancelJobs>(&statement)) {
        std::erase_if(rows, [&](const Row &row) { return !matchesCondition(cancelled->where, row); });
    }
    return rows;
}

void OperatorController::queryFleet(const OperatorRequested &asked, Statement statement)
{
    const ForwardId id(++this->lastId);
    PendingQuery &query = this->pending[id];
    query.request = asked.request;
    query.rows = this->localRows(statement);
    query.answered.push_back(this->board.identity.domain);
    query.statement = std::move(statement);
    for (const auto &[peer, record] : this->board.peers.all()) {
        query.awaited[peer] = record.identity.domain;
        this->outbox.emit(SendToPeer{peer, ForwardedStatement{id, asked.text}});
    }
    this->deadlines.add(this->board.now + QueryTimeout, id);
    if (query.awaited.empty()) {
        this->replyToQuery(id);
    }
}

void OperatorController::handle(const PeerRecord &peer, const ForwardedStatement &query)
{
    const Result<Statement> statement = parseStatement(query.text);
    if (!statement) {
        this->outbox.emit(SendToPeer{peer.id, QueryRows{query.id, "[]"}});
        return;
    }
    const std::vector<Row> rows = this->localRows(statement.value());
    if (isCancel(statement.value())) {
        for (const Row &row : rows) {
            const TeamKey name{TeamName(std::get<std::string>(fieldValue(row, Field::Team))),
                               JobKey(std::get<std::string>(fieldValue(row, Field::Key)))};
            this->jobs.cancel(*this->board.jobs.find(name));
        }
    }
    this->outbox.emit(SendToPeer{peer.id, QueryRows{query.id, rowsToJson(rows)}});
}

void OperatorController::handle(const PeerRecord &peer, const QueryRows &rows)
{
    const auto found = this->pending.find(rows.id);
    if (found == this->pending.end() || found->second.awaited.erase(peer.id) == 0) {
        return;
    }
    PendingQuery &query = found->second;
    Result<std::vector<Row>> read = rowsFromJson(this->subjectOf(query.statement), rows.json);
    if (read) {
        query.answered.push_back(peer.identity.domain);
        query.rows.insert(query.rows.end(), std::make_move_iterator(read.value().begin()), std::make_move_iterator(read.value().end()));
    }
    if (query.awaited.empty()) {
        this->replyToQuery(rows.id);
    }
}

std::string OperatorController::missingDomains(const PendingQuery &query) const
{
    Json missing = Json::array();
    for (const FailureDomain &domain : this->board.domains) {
        const bool answered = std::find(query.answered.begin(), query.answered.end(), domain) != query.answered.end();
        if (!answered) {
            const auto since = this->board.domainLostAt.find(domain);
            Json entry{{"domain", domain.value}};
            if (since != this->board.domainLostAt.end()) {
                entry["silentForSeconds"] = std::chrono::duration<double>(this->board.now - since->second).count();
            }
            missing.push_back(std::move(entry));
        }
    }
    return missing.dump();
}

void OperatorController::replyToQuery(ForwardId id)
{
    const auto found = this->pending.find(id);
    if (found == this->pending.end()) {
        return;
    }
    PendingQuery query = std::move(found->second);
    this->pending.erase(found);
    const std::string missing = this->missingDomains(query);
    if (const auto *count = std::get_if<ShowCount>(&query.statement)) {
        this->replyJson(query.request, fmt::format(R"({{"count":{},"missingDomains":{}}})", countRows(*count, query.rows), missing));
        return;
    }
    if (const auto *show = std::get_if<ShowRows>(&query.statement)) {
        query.rows = selectRows(*show, std::move(query.rows));
    } else if (!isCancel(query.statement)) {
        std::stable_sort(query.rows.begin(), query.rows.end(), [](const Row &left, const Row &right) {
            return std::get<Duration>(fieldValue(left, Field::Age)) > std::get<Duration>(fieldValue(right, Field::Age));
        });
    }
    const std::string_view name = isCancel(query.statement) ? "cancelled" : "rows";
    this->replyJson(query.request, fmt::format(R"({{"{}":{},"missingDomains":{}}})", name, rowsToJson(query.rows), missing));
}

void OperatorController::advance()
{
    while (const std::optional<ForwardId> id = this->deadlines.popDue(this->board.now)) {
        this->replyToQuery(*id);
    }
}

TimePoint OperatorController::nextDeadline() const
{
    return this->deadlines.next();
}

void OperatorController::queryAudit(const OperatorRequested &asked, const ShowRows &query)
{
    TableRead read;
    read.prefixes.push_back(RowKey(std::string(AuditPrefix)));
    read.limit = AuditLimit;
    this->platform.send(std::move(read), AuditTimeout, [this, asked, query](const PlatformReply &reply) {
        const auto *rows = std::get_if<RowsRead>(&reply);
        if (rows == nullptr) {
            this->replyError(asked.request,
                             makeError(ErrorCode::Unavailable, "the platform's table, which holds the audit trail, can't be reached"));
            return;
        }
        const std::vector<Row> selected = selectRows(query, makeAuditRows(rows->rows, asked.wallClockMs));
        this->replyJson(asked.request, fmt::format(R"({{"rows":{},"missingDomains":[]}})", rowsToJson(selected)));
    });
}

AuditRow OperatorController::auditOf(const OperatorRequested &asked) const
{
    return AuditRow{asked.wallClockMs, asked.by, asked.text, {}};
}

Error OperatorController::versionConflict(ConfigVersion wanted) const
{
    return makeError(ErrorCode::Conflict, fmt::format("version {} is in force, not {}", this->board.config.version.value, wanted.value),
                     "version");
}

void OperatorController::execute(const OperatorRequested &asked, const Drain &command)
{
    if (command.ifVersion && *command.ifVersion != this->board.config.version) {
        this->replyError(asked.request, this->versionConflict(*command.ifVersion));
        return;
    }
    const StoredDrainTarget target = std::visit(ToStoredDrainTarget(), command.target);
    const std::string_view verb = command.isUndrain ? "undrain" : "drain";
    if (asked.dryRun) {
        this->replyJson(asked.request, Json{{"wouldDo", fmt::format("{} {}", verb, target.name)}}.dump());
        return;
    }
    const DrainCommand drain{target.scope, target.name, !command.isUndrain, asked.by, this->auditOf(asked)};
    this->drains.execute(drain, [this, request = asked.request](const Result<RowVersion> &result) {
        if (!result) {
            this->replyError(request, result.error());
            return;
        }
        this->replyJson(request, Json{{"accepted", true}, {"version", result.value().value}}.dump());
    });
}

void OperatorController::proposeConfig(const OperatorRequested &asked, Result<FleetConfig> proposal, std::optional<ConfigVersion> ifVersion)
{
    if (!proposal) {
        this->replyError(asked.request, proposal.error());
        return;
    }
    if (ifVersion && *ifVersion != this->board.config.version) {
        this->replyError(asked.request, this->versionConflict(*ifVersion));
        return;
    }
    if (asked.dryRun) {
        const std::string next = fleetConfigToJson(proposal.value());
        this->replyJson(asked.request, fmt::format(R"({{"wouldPropose":{}}})", next));
        return;
    }
    const ConfigVersion expected = ifVersion.value_or(ConfigVersion());
    this->config.propose(std::move(proposal.value()), asked.by, expected, this->auditOf(asked),
                         [this, request = asked.request](const Result<ConfigVersion> &version) {
                             if (!version) {
                                 this->replyError(request, version.error());
                                 return;
                             }
                             Json reply{{"state", "proposed"}, {"version", version.value().value}, {"inForce", Json::object()}};
                             for (const DomainConfigVersion &domain : this->config.versionsByDomain()) {
                                 reply["inForce"][domain.domain.value] = domain.version.value;
                             }
                             this->replyJson(request, reply.dump());
                         });
}

void OperatorController::execute(const OperatorRequested &asked, const SetLimit &command)
{
    FleetConfig next = this->board.config;
    const auto kind = std::find_if(next.kinds.begin(), next.kinds.end(), [&](const KindConfig &one) { return one.name == command.kind; });
    if (kind == next.kinds.end()) {
        this->replyError(asked.request, makeError(ErrorCode::NotFound, fmt::format("there is no kind \"{}\"", command.kind.value), "kind"));
        return;
    }
    kind->concurrencyLimit = command.concurrency;
    this->proposeConfig(asked, std::move(next), command.ifVersion);
}

void OperatorController::execute(const OperatorRequested &asked, const SetQuota &command)
{
    FleetConfig next = this->board.config;
    const auto team = std::find_if(next.teams.begin(), next.teams.end(), [&](const TeamConfig &one) { return one.name == command.team; });
    if (team == next.teams.end()) {
        next.teams.push_back(TeamConfig{command.team, command.quota, 1});
    } else {
        team->quota = command.quota;
    }
    this->proposeConfig(asked, std::move(next), command.ifVersion);
}

void OperatorController::execute(const OperatorRequested &asked, const Reconfigure &command)
{
    this->proposeConfig(asked, fleetConfigFromJson(command.json), command.ifVersion);
}

void OperatorController::execute(const OperatorRequested &asked, const CancelJob &command)
{
    this->executeCancel(asked, command);
}

void OperatorController::execute(const OperatorRequested &asked, const CancelJobs &command)
{
    this->executeCancel(asked, command);
}

void OperatorController::executeCancel(const OperatorRequested &asked, Statement statement)
{
    if (asked.dryRun) {
        ShowRows jobsToCancel{Subject::Jobs, std::nullopt, std::nullopt, std::nullopt};
        if (const auto *jobsWhere = std::get_if<CancelJobs>(&statement)) {
            jobsToCancel.where = jobsWhere->where;
        } else {
            jobsToCancel.where = Condition{Comparison{Field::Key, Comparator::Equal, std::get<CancelJob>(statement).key.value}};
        }
        OperatorRequested question = asked;
        question.text = printStatement(jobsToCancel);
        this->queryFleet(question, jobsToCancel);
        return;
    }
    AuditRow audit = this->auditOf(asked);
    audit.outcome = "accepted";
    TableTransaction transaction;
    transaction.writes.push_back(RowWrite{auditRowKey(audit, this->board.identity.incarnation, ++this->commandCount), encodeRow(audit)});
    this->platform.send(std::move(transaction), AuditTimeout, [this, asked, statement = std::move(statement)](const PlatformReply &reply) {
        if (!std::holds_alternative<Committed>(reply)) {
            this->replyError(
                asked.request,
                makeError(ErrorCode::Unavailable, "not carried out: the platform's table, which holds the audit trail, did not confirm"));
            return;
        }
        for (const Row &row : this->localRows(statement)) {
            const TeamKey name{TeamName(std::get<std::string>(fieldValue(row, Field::Team))),
                               JobKey(std::get<std::string>(fieldValue(row, Field::Key)))};
            this->jobs.cancel(*this->board.jobs.find(name));
        }
        this->queryFleet(asked, statement);
    });
}

} // namespace Tanagertally
