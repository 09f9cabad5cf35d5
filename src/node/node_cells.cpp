// Part of Node: runs the leaders of the cells that this instance leads.
#include "node/node.h"
#include "node/overloaded_func.h"

#include <algorithm>
#include <array>
#include <cassert>

namespace Tanagertally::Cells {

namespace {

constexpr Duration CellReadRetryDelay = std::chrono::milliseconds(150); // Delay after a failed read of a cell's rows.
constexpr Duration EndpointFollowTime = std::chrono::seconds(10); // The registry is followed after a lead ends, as the lead may return.

/**
 * Tables with rows of a cell, in the order in which they are read. Another cell may hand a job over between two of these reads, which
 * writes its rows in both of the last two tables at once: its progress must not be missing where its job is found.
 */
constexpr std::array<std::string_view, 4> CellTables = {CellsTable, TransfersTable, JobsTable, ProgressTable};

/** @return The error of a result; nothing if it holds a value. */
template<typename T>
std::optional<Error> errorOf(const Result<T> &read)
{
    return read.has_error() ? std::optional(read.error()) : std::nullopt;
}

} // namespace

void Node::setEndpoints(std::vector<EndpointRecord> records)
{
    this->endpoints = std::move(records);
    this->areEndpointsKnown = true;
    std::vector<CellName> names;
    for (const auto &[cell, entry] : this->ledCells) {
        names.push_back(cell);
    }
    for (const CellName &cell : names) {
        this->ledCells.at(cell).leader->setEndpoints(this->ports.now(), this->endpointsOf(cell));
        this->runActions(cell);
    }
}

void Node::requestEndpoints(TimePoint now)
{
    this->endpointsNeededUntil = now + EndpointFollowTime;
}

bool Node::needsEndpoints() const
{
    return !this->ledCells.empty() || this->ports.now() < this->endpointsNeededUntil;
}

void Node::clearEndpoints()
{
    assert(this->ledCells.empty());
    this->areEndpointsKnown = false;
    this->endpoints.clear();
}

bool Node::isServiceNamed(const ServiceName &service) const
{
    const std::vector<ServiceConfig> &services = this->fleetConfig.services;
    return services.empty() || std::ranges::find(services, service, &ServiceConfig::name) != services.end();
}

std::vector<EndpointRecord> Node::endpointsOf(const CellName &cell) const
{
    const DomainLayout &layout = this->layouts.at(this->cells.at(cell).domain);
    std::vector<EndpointRecord> own;
    std::ranges::copy_if(this->endpoints, std::back_inserter(own), [&](const EndpointRecord &record) {
        return record.domain == layout.domain && cellOf(layout, record) == cell && this->isServiceNamed(record.service);
    });
    return own;
}

void Node::runActions(const CellName &cell)
{
    const auto found = this->ledCells.find(cell);
    if (found == this->ledCells.end()) {
        return;
    }
    const std::uint64_t generation = found->second.generation;
    if (!found->second.isAdvertised && found->second.leader->isLeading()) {
        found->second.isAdvertised = true;
        this->areLinksDue = true;
        this->isAdvertDue = true;
    }
    if (!found->second.isRoomAdvertised && found->second.leader->hasListedEndpoints()) {
        found->second.isRoomAdvertised = true;
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
            [&](CommitTransaction &commit) {
                this->ports.commit(std::move(commit.transaction), [this, cell, generation](TransactionResult result) {
                    this->withLeader(cell, generation,
                                     [&](CellLeader &leader) { leader.onCommitted(this->ports.now(), std::move(result)); });
                });
            },
            [&](ReadLeadRow &read) {
                this->ports.read({read.key.table, read.key.partition, read.key.key, 1}, [this, cell, generation](const ReadResult &result) {
                    this->withLeader(cell, generation, [&](CellLeader &leader) { leader.onLeadRead(this->ports.now(), result); });
                });
            },
            [&](ReadCellRows &) { this->readCellRows(cell, generation, std::make_shared<CellContent>(), 0, {}); },
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
                this->ports.holdEndpoint(hold, [this, cell, generation, endpoint = hold.endpoint](const HoldResult &result) {
                    this->withLeader(cell, generation,
                                     [&](CellLeader &leader) { leader.onHoldAnswered(this->ports.now(), endpoint, result); });
                });
            },
            [&](AnswerSubmission &reply) { this->onSubmitAnswer(reply.call, std::move(reply.answer)); },
            [&](AnswerCancel &reply) { this->onJobAnswer(reply.call, reply.answer); },
            [&](AnnounceTransfers &announcement) {
                this->announceTransfers({cell, announcement.target, std::move(announcement.transfers)});
            },
            [&](ConfirmTransfers &confirmation) {
                this->confirmTransfers({confirmation.source, std::move(confirmation.jobs)});
            },
            [&](ReadTransferredJob &read) { this->readTransferredJob(cell, generation, read.job); },
            [&](LeadEnded &ending) {
                CellView &view = this->cells.at(cell);
                this->ledCells.erase(cell);
                this->requestEndpoints(this->ports.now());
                view.isVacant = false; // A vacancy from before this lead must not count, so that the other candidates get their turn first.
                if (view.leader == this->options.self.name) {
                    view.leader = InstanceName();
                }
                if (!ending.leader.empty()) {
                    this->applyStoredLead(cell, ending);
                }
                this->isAdvertDue = true;
            },
            [&](WriteLogLine &line) { this->ports.log(line); },
        },
        action);
}

void Node::readCellRows(const CellName &cell, std::uint64_t generation, std::shared_ptr<CellContent> content, std::size_t tableIndex,
                        const std::string &firstKey)
{
    if (tableIndex == CellTables.size()) {
        this->withLeader(cell, generation, [&](CellLeader &leader) { leader.onRecovered(this->ports.now(), std::move(*content)); });
        return;
    }
    this->ports.read({std::string(CellTables[tableIndex]), cell.value, firstKey, 0}, [this, cell, generation, content, tableIndex,
                                                                                      firstKey](const ReadResult &result) {
        const auto found = this->ledCells.find(cell);
        if (found == this->ledCells.end() || found->second.generation != generation) {
            return;
        }
        if (!result.isAnswered) {
            this->log("cell-read-failed", {{"cell", cell.value}, {"error", result.error}}, true);
            this->callLater(CellReadRetryDelay, [this, cell, generation, content, tableIndex, firstKey] {
                this->readCellRows(cell, generation, content, tableIndex, firstKey);
            });
            return;
        }
        for (const Row &row : result.rows) {
            std::optional<Error> error;
            if (row.key == rosterKey(cell)) {
                Result<std::vector<EndpointRecord>> roster = decodeRoster(row.value);
                error = errorOf(roster);
                if (!error) {
                    content->roster = std::move(roster).value();
                }
            } else if (row.key == lossesKey(cell)) {
                Result<std::vector<EndpointLoss>> losses = decodeLosses(row.value);
                error = errorOf(losses);
                if (!error) {
                    content->losses = std::move(losses).value();
                }
            } else if (row.key.table == TransfersTable) {
                Result<JobTransfer> transfer = decodeTransfer(JobId(row.key.key), row.value);
                error = errorOf(transfer);
                if (!error) {
                    content->transfers.push_back(std::move(transfer).value());
                }
            } else if (row.key.table == ProgressTable) {
                Result<JobProgress> progress = decodeProgress(row.value);
                error = errorOf(progress);
                if (!error) {
                    content->progress.push_back({JobId(row.key.key), std::move(progress).value()});
                }
            } else if (row.key.table == JobsTable) {
                Result<StoredJob> job = decodeJob(JobId(row.key.key), row.value);
                error = errorOf(job);
                if (!error) {
                    content->jobs.push_back(std::move(job).value());
                }
            }
            if (error) {
                this->log("row-unreadable", {{"table", row.key.table}, {"key", row.key.key}, {"error", error->message}}, true);
            }
        }
        if (result.hasMore && !result.rows.empty()) {
            this->readCellRows(cell, generation, content, tableIndex, result.rows.back().key.key + '\0');
            return;
        }
        this->readCellRows(cell, generation, content, tableIndex + 1, {});
    });
}

void Node::beginShutdown()
{
    this->isLeaving = true;
    this->isAdvertDue = true;
    this->nextHeartbeatAt = this->ports.now();
    std::vector<CellName> names;
    for (const auto &[cell, entry] : this->ledCells) {
        names.push_back(cell);
    }
    for (const CellName &cell : names) {
        this->ledCells.at(cell).leader->release(this->ports.now());
        this->runActions(cell);
    }
}

} // namespace Tanagertally::Cells
