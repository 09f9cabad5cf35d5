#include "controllers/drain_controller.h"

#include <fmt/format.h>

namespace Tanagertally {

namespace {

constexpr Duration ReadInterval = std::chrono::seconds(1);
constexpr Duration ReadTimeout = std::chrono::seconds(1);
constexpr Duration WriteTimeout = std::chrono::seconds(2);
constexpr std::string_view DrainPrefix = "drains/";

RowKey drainRowKey(DrainScope scope, std::string_view name)
{
    constexpr std::array<std::string_view, 4> Names = {"worker", "rack", "domain", "instance"};
    return RowKey(fmt::format("{}{}/{}", DrainPrefix, Names.at(static_cast<std::size_t>(scope)), name));
}

} // namespace

DrainController::DrainController(Blackboard &board, Outbox &outbox, PlatformCalls &platform, EndpointController &endpoints)
    : board(board)
    , outbox(outbox)
    , platform(platform)
    , endpoints(endpoints)
{
}

void DrainController::execute(const DrainCommand &command, Handler handler)
{
    const RowKey key = drainRowKey(command.scope, command.name);
    const DrainRow row{command.scope, command.name, command.by};
    const auto current = this->versions.find(key);
    AuditRow audit = command.audit;
    audit.outcome = command.draining ? "drained" : "undrained";
    TableTransaction transaction;
    transaction.conditions.push_back(RowCondition{key, current == this->versions.end() ? RowVersion() : current->second});
    transaction.writes.push_back(RowWrite{key, command.draining ? std::optional<std::string>(encodeRow(row)) : std::nullopt});
    transaction.writes.push_back(RowWrite{auditRowKey(audit, this->board.identity.incarnation, ++this->commandCount), encodeRow(audit)});
    this->platform.send(std::move(transaction), WriteTimeout, [this, handler = std::move(handler)](const PlatformReply &reply) {
        this->nextRead = this->board.now;
        if (const auto *committed = std::get_if<Committed>(&reply)) {
            handler(committed->rows.front().version);
            return;
        }
        if (std::holds_alternative<ConditionFailed>(reply)) {
            handler(makeError(ErrorCode::Conflict, "another operator's drain or undrain came first; ask again"));
            return;
        }
        handler(makeError(ErrorCode::Unavailable, "the platform did not confirm the command"));
    });
}

void DrainController::advance()
{
    if (!this->isReading && this->board.now >= this->nextRead) {
        this->read();
    }
}

TimePoint DrainController::nextDeadline() const
{
    return this->isReading ? TimePoint::max() : this->nextRead;
}

void DrainController::read()
{
    this->isReading = true;
    this->nextRead = this->board.now + ReadInterval;
    TableRead request;
    request.prefixes.push_back(RowKey(std::string(DrainPrefix)));
    this->platform.send(std::move(request), ReadTimeout, [this](const PlatformReply &reply) {
        this->isReading = false;
        const auto *read = std::get_if<RowsRead>(&reply);
        if (read == nullptr) {
            return;
        }
        this->rows.clear();
        this->versions.clear();
        for (const TableRow &row : read->rows) {
            const Result<DrainRow> drain = decodeRow<DrainRow>(row.value);
            if (drain) {
                this->rows.push_back(drain.value());
                this->versions[row.key] = row.version;
            }
        }
        this->applyDrains();
    });
}

bool DrainController::isDrained(const EndpointRecord &endpoint) const
{
    const auto covers = [&](const DrainRow &drain) {
        switch (drain.scope) {
        case DrainScope::Worker:
            return drain.name == endpoint.listed.worker.value;
        case DrainScope::Rack:
            return drain.name == endpoint.listed.rack.value;
        case DrainScope::Domain:
            return drain.name == endpoint.listed.domain.value;
        case DrainScope::Instance:
            return false;
        }
        return false;
    };
    return std::any_of(this->rows.begin(), this->rows.end(), covers);
}

void DrainController::applyDrains()
{
    const InstanceName &ownName = this->board.identity.name;
    const auto drainsSelf = [&](const DrainRow &drain) { return drain.scope == DrainScope::Instance && drain.name == ownName.value; };
    if (std::any_of(this->rows.begin(), this->rows.end(), drainsSelf)) {
        this->board.lifecycle.apply(InstanceEvent::StopRequested);
    }
    for (auto &[id, endpoint] : this->board.endpoints.all()) {
        this->endpoints.setDrained(endpoint.listed.worker, this->isDrained(endpoint));
    }
}

void DrainController::handle(const DrainNotice &notice)
{
    EndpointRecord *endpoint = this->board.endpoints.find(notice.worker);
    if (endpoint == nullptr || !notice.draining || endpoint->leaving.selfReported) {
        return;
    }
    this->announcedWorkers.insert(notice.worker);
    this->endpoints.recordEvidence(endpoint->id, EndpointEvidence::ReportedLeaving, this->board.now);
}

void DrainController::announceDepartures()
{
    for (const WorkerName &worker : this->board.leavingToAnnounce) {
        if (!this->announcedWorkers.insert(worker).second) {
            continue;
        }
        for (const auto &[id, peer] : this->board.peers.all()) {
            if (peer.identity.domain == this->board.identity.domain) {
                this->outbox.emit(SendToPeer{id, DrainNotice{worker, true, 0}});
            }
        }
    }
    this->board.leavingToAnnounce.clear();
}

} // namespace Tanagertally
