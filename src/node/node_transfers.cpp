// Part of Node: chooses other cells for stored jobs that their own cell leaves waiting, and passes transfers on between leaders.
#include "node/node.h"

#include "cells/placement.h"

#include <algorithm>
#include <tuple>

namespace Tanagertally::Cells {

void Node::planTransfers(TimePoint now)
{
    EndpointsByCell byCell;
    std::vector<CellName> names;
    for (const auto &[cell, entry] : this->ledCells) {
        names.push_back(cell);
    }
    for (const CellName &cell : names) {
        CellLeader &leader = *this->ledCells.at(cell).leader;
        const std::vector<IdleJob> idle = leader.idleJobs(now);
        if (idle.empty()) {
            continue;
        }
        if (byCell.empty()) {
            byCell = this->endpointsByCell();
        }
        for (const IdleJob &job : idle) {
            if (const std::optional<CellName> target = this->chooseTransferTarget(cell, job, byCell)) {
                leader.transfer(now, job.job->id, *target);
            }
        }
        this->runActions(cell);
    }
}

Node::EndpointsByCell Node::endpointsByCell() const
{
    EndpointsByCell result;
    for (const EndpointRecord &record : this->endpoints) {
        const auto layout = this->layouts.find(record.domain);
        if (layout != this->layouts.end() && !record.isDraining && this->isServiceNamed(record.service)) {
            result[cellOf(layout->second, record)].push_back(&record);
        }
    }
    return result;
}

std::optional<CellName> Node::chooseTransferTarget(const CellName &source, const IdleJob &idle, const EndpointsByCell &byCell)
{
    const CellJob &job = *idle.job;
    CellDemand next; // A task of each step that could start.
    for (const std::uint32_t step : idle.nextSteps) {
        next.cpu += static_cast<double>(job.spec.steps[step].demand.cpu);
        next.work += estimatedTaskWork(job.spec.steps[step]);
    }
    // Compared lexicographically; the smallest rank is the best.
    using Rank = std::tuple<bool, bool, double>;
    CellView *best = nullptr;
    CellName bestName;
    Rank bestRank;
    for (const auto &entry : byCell) {
        const CellName &name = entry.first;
        const std::vector<const EndpointRecord *> &records = entry.second;
        const auto canRun = [&](std::uint32_t step) {
            return std::ranges::any_of(records, [&](const EndpointRecord *record) {
                return record->service == job.terms.service && canEverRun(*record, job.spec.steps[step]);
            });
        };
        CellView &view = this->cells.at(name);
        const bool hasRoom = hasRoomFor(view, next);
        // A cell that could run the job itself keeps it unless the other one can start it at once.
        if (name == source || !acceptsJobs(view) || (idle.canRunHere && !hasRoom) || !std::ranges::any_of(idle.nextSteps, canRun)) {
            continue;
        }
        const Rank rank{!std::ranges::all_of(idle.openSteps, canRun), !hasRoom, view.load.waitingWork + view.sentWork};
        if (!best || rank < bestRank) {
            best = &view;
            bestName = name;
            bestRank = rank;
        }
    }
    if (!best) {
        return std::nullopt;
    }
    best->sentCpu += next.cpu;
    best->sentWork += next.work;
    return bestName;
}

void Node::announceTransfers(const LinkTransfer &announcement)
{
    if (!this->onTransfersAnnounced(announcement)) {
        this->sendToLeader(announcement.target, announcement);
    }
}

bool Node::onTransfersAnnounced(const LinkTransfer &announcement)
{
    const auto ledCell = this->ledCells.find(announcement.target);
    if (ledCell == this->ledCells.end()) {
        return false;
    }
    ledCell->second.leader->onTransfersAnnounced(this->ports.now(), announcement.source, announcement.transfers);
    this->runActions(announcement.target);
    return true;
}

void Node::confirmTransfers(const LinkTransferDone &confirmation)
{
    if (!this->onTransfersConfirmed(confirmation)) {
        this->sendToLeader(confirmation.source, confirmation);
    }
}

bool Node::onTransfersConfirmed(const LinkTransferDone &confirmation)
{
    const auto ledCell = this->ledCells.find(confirmation.source);
    if (ledCell == this->ledCells.end()) {
        return false;
    }
    ledCell->second.leader->onTransfersConfirmed(this->ports.now(), confirmation.jobs);
    this->runActions(confirmation.source);
    return true;
}

void Node::sendToLeader(const CellName &cell, const LinkMessage &message)
{
    // A message that can't be sent or gets lost is repeated, as the transfer is announced until it is confirmed.
    const auto found = this->cells.find(cell);
    const bool isKnown = found != this->cells.end() && !found->second.leader.empty() && !found->second.hasLeadEnded;
    if (isKnown && found->second.leader != this->options.self.name) {
        this->links.send(found->second.leader, encodeLinkMessage(message));
    }
}

void Node::readTransferredJob(const CellName &cell, std::uint64_t generation, const JobId &id)
{
    const auto report = [this, cell, generation, id](TransferredRows rows) {
        this->withLeader(cell, generation,
                         [&](CellLeader &leader) { leader.onTransferredJobRead(this->ports.now(), id, std::move(rows)); });
    };
    const RowKey key = jobKey(cell, id);
    // The job's row is read first: both rows are written at once, so that the progress that is read afterwards is there and not older.
    this->ports.read({key.table, key.partition, key.key, 1}, [this, cell, id, key, report](const ReadResult &result) {
        const auto row = std::ranges::find(result.rows, key, &Row::key);
        if (!result.isAnswered || row == result.rows.end()) {
            TransferredRows rows;
            rows.areRead = result.isAnswered;
            report(std::move(rows));
            return;
        }
        Result<StoredJob> job = decodeJob(id, row->value);
        if (job.has_error()) {
            this->log("row-unreadable", {{"table", key.table}, {"key", key.key}, {"error", job.error().message}}, true);
            report({});
            return;
        }
        TransferredRows rows;
        rows.spec = std::move(job.value().spec);
        rows.terms = std::move(job.value().terms);
        this->readTransferredProgress(cell, id, std::move(rows), report);
    });
}

void Node::readTransferredProgress(const CellName &cell, const JobId &id, TransferredRows rows,
                                   const std::function<void(TransferredRows)> &report)
{
    const RowKey key = progressKey(cell, id);
    this->ports.read({key.table, key.partition, key.key, 1}, [this, key, report, rows = std::move(rows)](const ReadResult &result) mutable {
        const auto row = std::ranges::find(result.rows, key, &Row::key);
        if (!result.isAnswered || row == result.rows.end()) {
            report({});
            return;
        }
        Result<JobProgress> progress = decodeProgress(row->value);
        if (progress.has_error()) {
            this->log("row-unreadable", {{"table", key.table}, {"key", key.key}, {"error", progress.error().message}}, true);
            report({});
            return;
        }
        rows.areRead = true;
        rows.progress = std::move(progress).value();
        report(std::move(rows));
    });
}

} // namespace Tanagertally::Cells
