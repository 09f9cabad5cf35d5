// The part of a node that runs the leaders of its cells.
#include "node/node.h"
#include "node/overloaded_func.h"

#include <algorithm>
#include <array>
#include <cassert>

namespace Tanagertally::Cells {

namespace {

constexpr Duration ReadRetry = std::chrono::milliseconds(150); // After a failed read of a cell's rows.
constexpr Duration EndpointLinger = std::chrono::seconds(10); // The registry is followed on after a lead, which may come back.

/** Tables of a cell's rows, in the order in which they are read. */
constexpr std::array<std::string_view, 3> CellTables = {CellsTable, ProgressTable, JobsTable};

/** @return Why a row can't be read; nothing if it can. */
template<typename T>
std::optional<Error> faultOf(const Result<T> &read)
{
    return read.has_error() ? std::optional(read.error()) : std::nullopt;
}

} // namespace

void Node::setEndpoints(std::vector<EndpointRecord> records)
{
    this->endpoints = std::move(records);
    this->areEndpointsKnown = true;
    std::vector<CellName> names;
    for (const auto &[cell, entry] : this->led) {
        names.push_back(cell);
    }
    for (const CellName &cell : names) {
        this->led.at(cell).leader->setEndpoints(this->ports.now(), this->endpointsOf(cell));
        this->runActions(cell);
    }
}

void Node::wantEndpoints(TimePoint now)
{
    this->endpointsWantedUntil = now + EndpointLinger;
}

bool Node::needsEndpoints() const
{
    return !this->led.empty() || this->ports.now() < this->endpointsWantedUntil;
}

void Node::forgetEndpoints()
{
    assert(this->led.empty());
    this->areEndpointsKnown = false;
    this->endpoints.clear();
}

std::vector<EndpointRecord> Node::endpointsOf(const CellName &cell) const
{
    std::vector<EndpointRecord> own;
    std::ranges::copy_if(this->endpoints, std::back_inserter(own),
                         [&cell](const EndpointRecord &record) { return record.domain.value == cell.value; });
    return own;
}

template<typename Use>
void Node::withLeader(const CellName &cell, std::uint64_t generation, Use use)
{
    const auto found = this->led.find(cell);
    if (found == this->led.end() || found->second.generation != generation) {
        return;
    }
    use(*found->second.leader);
    this->runActions(cell);
}

void Node::runActions(const CellName &cell)
{
    const auto found = this->led.find(cell);
    if (found == this->led.end()) {
        return;
    }
    const std::uint64_t generation = found->second.generation;
    if (!found->second.isKnown && found->second.leader->isLeading()) {
        found->second.isKnown = true;
        this->isAdvertDue = true;
    }
    std::vector<CellAction> actions = found->second.leader->takeActions();
    for (CellAction &action : actions) {
        this->runAction(cell, generation, std::move(action));
    }
}

void Node::runAction(const CellName &cell, std::uint64_t generation, CellAction &&action)
{
    std::visit(
        Overloaded{
            [&](CommitRows &commit) {
                this->ports.commit(std::move(commit.transaction), [this, cell, generation](TransactionResult result) {
                    this->withLeader(cell, generation,
                                     [&](CellLeader &leader) { leader.onCommitted(this->ports.now(), std::move(result)); });
                });
            },
            [&](ReadLead &read) {
                this->ports.read({read.key.table, read.key.part, read.key.key, 1}, [this, cell, generation](const ReadResult &result) {
                    this->withLeader(cell, generation, [&](CellLeader &leader) { leader.onLeadRead(this->ports.now(), result); });
                });
            },
            [&](ReadCell &) { this->readCell(cell, generation, std::make_shared<CellContent>(), 0, {}); },
            [&](StartRun &start) {
                this->ports.startRun(start, [this, cell, generation, endpoint = start.endpoint, task = start.task,
                                             run = start.run](const StartResult &result) {
                    this->withLeader(cell, generation,
                                     [&](CellLeader &leader) { leader.onStarted(this->ports.now(), endpoint, task, run, result); });
                });
            },
            [&](StopRun &stop) {
                this->ports.stopRun(
                    stop, [this, cell, generation, endpoint = stop.endpoint, task = stop.task, run = stop.run](StopResult result) {
                        this->withLeader(cell, generation,
                                         [&](CellLeader &leader) { leader.onStopped(this->ports.now(), endpoint, task, run, result); });
                    });
            },
            [&](HoldEndpoint &hold) {
                this->ports.hold(hold, [this, cell, generation, endpoint = hold.endpoint](const HoldResult &result) {
                    this->withLeader(cell, generation, [&](CellLeader &leader) { leader.onHeld(this->ports.now(), endpoint, result); });
                });
            },
            [&](AnswerSubmission &reply) { this->onSubmitAnswer(reply.call, std::move(reply.answer)); },
            [&](AnswerCancel &reply) { this->onJobAnswer(reply.call, reply.answer); },
            [&](LeadEnded &ending) {
                CellView &view = this->cells.at(cell);
                this->led.erase(cell);
                this->wantEndpoints(this->ports.now());
                view.isVacant = false; // A vacancy of before the lead says nothing of now: others have their turn first.
                if (view.leader == this->options.self.name) {
                    view.leader = InstanceName();
                }
                if (!ending.leader.empty()) {
                    this->noteLeaderInStore(cell, ending);
                }
                this->isAdvertDue = true;
            },
            [&](LogDecision &line) { this->ports.log(line); },
        },
        action);
}

void Node::readCell(const CellName &cell, std::uint64_t generation, std::shared_ptr<CellContent> content, std::size_t table,
                    const std::string &from)
{
    if (table == CellTables.size()) {
        this->withLeader(cell, generation, [&](CellLeader &leader) { leader.onRecovered(this->ports.now(), std::move(*content)); });
        return;
    }
    this->ports.read(
        {std::string(CellTables[table]), cell.value, from, 0}, [this, cell, generation, content, table, from](const ReadResult &result) {
            const auto found = this->led.find(cell);
            if (found == this->led.end() || found->second.generation != generation) {
                return;
            }
            if (!result.isAnswered) {
                this->log("cell-read-failed", {{"cell", cell.value}, {"error", result.error}}, true);
                this->callLater(ReadRetry,
                                [this, cell, generation, content, table, from] { this->readCell(cell, generation, content, table, from); });
                return;
            }
            for (const Row &row : result.rows) {
                std::optional<Error> fault;
                if (row.key == rosterKey(cell)) {
                    Result<std::vector<EndpointRecord>> roster = decodeRoster(row.value);
                    fault = faultOf(roster);
                    if (!fault) {
                        content->roster = std::move(roster).value();
                    }
                } else if (row.key.table == ProgressTable) {
                    Result<JobProgress> progress = decodeProgress(row.value);
                    fault = faultOf(progress);
                    if (!fault) {
                        content->progress.push_back({JobId(row.key.key), std::move(progress).value()});
                    }
                } else if (row.key.table == JobsTable) {
                    Result<StoredJob> job = decodeJob(JobId(row.key.key), row.value);
                    fault = faultOf(job);
                    if (!fault) {
                        content->jobs.push_back(std::move(job).value());
                    }
                }
                if (fault) {
                    this->log("row-unreadable", {{"table", row.key.table}, {"key", row.key.key}, {"error", fault->message}}, true);
                }
            }
            if (result.hasMore && !result.rows.empty()) {
                this->readCell(cell, generation, content, table, result.rows.back().key.key + '\0');
                return;
            }
            this->readCell(cell, generation, content, table + 1, {});
        });
}

void Node::leave()
{
    this->isLeaving = true;
    this->isAdvertDue = true;
    this->nextHeartbeatAt = this->ports.now();
    std::vector<CellName> names;
    for (const auto &[cell, entry] : this->led) {
        names.push_back(cell);
    }
    for (const CellName &cell : names) {
        this->led.at(cell).leader->release(this->ports.now());
        this->runActions(cell);
    }
}

} // namespace Tanagertally::Cells
