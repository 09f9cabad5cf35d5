// Part of Node: chooses other cells for stored jobs that their own cell leaves waiting, and passes transfers on between leaders.
#include "node/node.h"

#include "cells/placement.h"

#include <algorithm>
#include <tuple>

namespace Tanagertally::Cells {

namespace {

constexpr std::size_t MaxRoomQueries = 24; // Bounds the answers' bytes in a fleet of many cells, which then take turns.
constexpr Duration MaxRoomAge = std::chrono::milliseconds(800); // Below the interval at which an idle job is looked at again.
constexpr Duration RoomAnswerTimeout = std::chrono::milliseconds(300); // A leader that is up answers within some milliseconds.

} // namespace

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
        if (this->awaitsRooms(now, cell, byCell)) {
            leader.postponeTransfers(now, idle);
            continue;
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

bool Node::awaitsRooms(TimePoint now, const CellName &source, const EndpointsByCell &byCell)
{
    std::vector<std::pair<std::optional<TimePoint>, CellName>> candidates;
    for (const auto &[cell, records] : byCell) {
        if (cell != source && acceptsJobs(this->cells.at(cell))) {
            candidates.emplace_back(this->roomsOfCells[cell].askedAt, cell);
        }
    }
    const std::size_t count = std::min(candidates.size(), MaxRoomQueries);
    std::ranges::partial_sort(candidates, candidates.begin() + static_cast<std::ptrdiff_t>(count));
    bool isAwaited = false;
    for (const auto &[askedAt, cell] : std::span(candidates).first(count)) {
        CellRooms &answer = this->roomsOfCells.at(cell);
        if (!askedAt || now >= *askedAt + MaxRoomAge) {
            answer = {{}, now, std::nullopt};
            if (const auto ledCell = this->ledCells.find(cell); ledCell != this->ledCells.end()) {
                this->onRoomsAnswered(cell, ledCell->second.leader->rooms(now));
            } else {
                this->sendToLeader(cell, LinkRoomQuery{cell});
            }
        }
        isAwaited = isAwaited || (!answer.answeredAt && now < *answer.askedAt + RoomAnswerTimeout);
    }
    return isAwaited;
}

void Node::onRoomsAnswered(const CellName &cell, std::span<const EndpointRoom> rooms)
{
    const auto found = this->roomsOfCells.find(cell);
    if (found == this->roomsOfCells.end()) {
        return;
    }
    found->second.rooms.clear();
    for (const EndpointRoom &room : rooms) {
        found->second.rooms.emplace(room.endpoint, room.free);
    }
    found->second.answeredAt = this->ports.now();
}

std::optional<CellName> Node::chooseTransferTarget(const CellName &source, const IdleJob &idle, const EndpointsByCell &byCell)
{
    const CellJob &job = *idle.job;
    // Compared lexicographically; the smallest rank is the best.
    using Rank = std::tuple<bool, std::int64_t, double>;
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
        if (name == source || !acceptsJobs(view) || !std::ranges::any_of(idle.nextSteps, canRun)) {
            continue;
        }
        const auto known = this->roomsOfCells.find(name);
        const auto startable = known == this->roomsOfCells.end()
                                   ? std::int64_t(0)
                                   : static_cast<std::int64_t>(countStartableTasks(idle, records, known->second.rooms));
        // A cell that could run the job itself keeps it unless the other one can start it at once.
        if (idle.canRunHere && startable == 0) {
            continue;
        }
        const Rank rank{!std::ranges::all_of(idle.openSteps, canRun), -startable, view.load.waitingWork + view.sentWork};
        if (!best || rank < bestRank) {
            best = &view;
            bestName = name;
            bestRank = rank;
        }
    }
    if (!best) {
        return std::nullopt;
    }
    for (const std::uint32_t step : idle.nextSteps) { // A task of each step that could start.
        best->sentCpu += static_cast<double>(job.spec.steps[step].demand.cpu);
        best->sentWork += estimatedTaskWork(job.spec.steps[step]);
    }
    if (const auto known = this->roomsOfCells.find(bestName); known != this->roomsOfCells.end()) {
        takeRoom(idle, byCell.at(bestName), known->second.rooms);
    }
    this->log("transfer-chosen", {{"job", job.id.value},
                                  {"target", bestName.value},
                                  {"startable", std::to_string(-std::get<1>(bestRank))},
                                  {"could_run_here", idle.canRunHere ? "yes" : "no"}});
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
