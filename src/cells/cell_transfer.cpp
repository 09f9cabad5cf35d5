// The part of the leader that hands idle stored jobs over to other cells, and takes over theirs; see job_transfer.h.
//
// Pattern: stranded work. The endpoints of a cell leave, fail or fill up under jobs that it has accepted, while those of other cells have
// room. Without transfers such a job waits for as long as its cell stays that way.
#include "cells/cell_leader.h"
#include "cells/placement.h"

#include <algorithm>
#include <cassert>

namespace Tanagertally::Cells {

namespace {

// Registrations that the registry has dropped while the store was down are back within this time.
constexpr Duration IdleTime = std::chrono::seconds(2);
constexpr Duration IdleLookInterval = std::chrono::milliseconds(250);
constexpr std::size_t MaxIdleJobs = 64; // Bounds the time of a look.
constexpr Duration PostponedLookInterval = std::chrono::milliseconds(50); // Leaders of other cells answer within some milliseconds.
constexpr Duration RepeatedOfferInterval
    = std::chrono::seconds(1); // Between looks at a job that no other cell takes; leaves others a turn.
constexpr std::size_t MaxTransfersPerTransaction = 6; // Six entries each; the platform accepts 100 entries per transaction.
constexpr std::size_t MaxValueBytesBeforeTransfer = 400'000; // Leaves room for a transfer; the platform accepts 1 MB per transaction.
constexpr std::size_t MaxEndedTransfersPerTransaction = 10; // One entry each.
constexpr std::size_t MaxAnnouncedTransfers = 24; // Bounds the size of a message.
constexpr Duration AnnouncementInterval = std::chrono::milliseconds(300); // The other leader reads two rows before it confirms.

} // namespace

std::vector<EndpointLoss> lossesUnder(const std::vector<EndpointLoss> &losses, const JobId &job)
{
    std::vector<EndpointLoss> own;
    for (EndpointLoss loss : losses) {
        std::erase_if(loss.tasks, [&job](const LostTask &lost) { return lost.task.job != job; });
        if (!loss.tasks.empty()) {
            own.push_back(std::move(loss));
        }
    }
    return own;
}

bool CellLeader::canBeTransferred(TimePoint now, const CellJob &job) const
{
    const bool hasNothingRunning = job.placedTasks == 0 && !this->hasRunOf(job);
    const auto hasStrayOrder = [&](const auto &entry) {
        return std::ranges::any_of(entry.second->strayOrders,
                                   [&](const StrayOrder &order) { return order.task.job == job.id && now < order.until; });
    };
    // The record of a former transfer has to go first, as its confirmation would be taken for that of the next one.
    return this->isRecoverySettled && !job.spec.isBestEffort && !job.isLeaving && !isFinal(job.state) && hasNothingRunning
           && !this->transfers.contains(job.id) && std::ranges::none_of(this->endpoints, hasStrayOrder);
}

bool CellLeader::canRunOneOf(const CellJob &job, std::span<const std::uint32_t> steps) const
{
    return std::ranges::any_of(this->endpoints, [&](const auto &entry) {
        const CellEndpoint &endpoint = *entry.second;
        const bool acceptsWork = endpoint.isRegistered && !endpoint.record.isDraining && endpoint.record.service == job.terms.service;
        return acceptsWork
               && std::ranges::any_of(steps, [&](std::uint32_t step) { return canEverRun(endpoint.record, job.spec.steps[step]); });
    });
}

std::vector<IdleJob> CellLeader::idleJobs(TimePoint now)
{
    std::vector<IdleJob> idle;
    if (this->phase != Phase::Leading || this->isReleaseRequested || now < this->nextIdleLookAt) {
        return idle;
    }
    this->nextIdleLookAt = now + IdleLookInterval;
    std::erase_if(this->transferableAt, [this](const auto &entry) { return !this->jobs.contains(entry.first); });
    std::vector<std::pair<TimePoint, std::shared_ptr<CellJob>>> due;
    for (const auto &[id, job] : this->jobs) {
        if (job->spec.isBestEffort || job->placedTasks > 0 || isFinal(job->state)) {
            this->transferableAt.erase(id);
            continue;
        }
        const TimePoint offeredAt = this->transferableAt.try_emplace(id, now + IdleTime).first->second;
        if (now >= offeredAt) {
            due.emplace_back(offeredAt, job);
        }
    }
    // Each job gets its turn, however many there are that no other cell takes.
    std::ranges::sort(due, {}, [](const auto &entry) { return entry.first; });
    for (const auto &[offeredAt, job] : due) {
        if (idle.size() == MaxIdleJobs) {
            break;
        }
        // A job that awaits evidence would do so in the other cell as well.
        if (!this->canBeTransferred(now, *job) || this->awaitsEvidence(*job, now)) {
            continue;
        }
        this->transferableAt[job->id] = now + RepeatedOfferInterval;
        IdleJob entry{job, job->startableSteps(), job->openSteps(), offeredAt, false};
        if (!entry.nextSteps.empty()) {
            entry.canRunHere = !this->evacuation && this->canRunOneOf(*job, entry.nextSteps);
            idle.push_back(std::move(entry));
        }
    }
    return idle;
}

void CellLeader::postponeTransfers(TimePoint now, std::span<const IdleJob> idle)
{
    this->nextIdleLookAt = now + PostponedLookInterval;
    for (const IdleJob &entry : idle) {
        this->transferableAt[entry.job->id] = entry.dueAt; // They keep their turn.
    }
}

std::vector<EndpointRoom> CellLeader::rooms(TimePoint now) const
{
    std::vector<EndpointRoom> result;
    if (!this->canGiveOrders(now) || this->evacuation) {
        return result;
    }
    for (const auto &[name, endpoint] : this->endpoints) {
        // A suspect endpoint may refuse a task at its last attempt.
        if (this->canPlace(now, *endpoint) && !endpoint->health.isSuspect()) {
            result.push_back({name, endpoint->freeResources()});
        }
    }
    return result;
}

void CellLeader::transfer(TimePoint now, const JobId &id, const CellName &target)
{
    const std::shared_ptr<CellJob> job = this->findJob(id);
    if (!job || !this->canBeTransferred(now, *job)) {
        return;
    }
    job->isLeaving = true; // Nothing of it is started from here on.
    this->pendingTransfers.push_back({id, target, lossesUnder(this->crashes.losses(), id)});
    this->flush(now);
}

void CellLeader::addTransfers(StoreTransaction &transaction)
{
    while (!this->pendingTransfers.empty() && this->batch.transfers.size() < MaxTransfersPerTransaction
           && transaction.valueBytes() <= MaxValueBytesBeforeTransfer) {
        JobTransfer transfer = std::move(this->pendingTransfers.front());
        this->pendingTransfers.pop_front();
        const std::shared_ptr<CellJob> job = this->findJob(transfer.job);
        if (!job || isFinal(job->state)) {
            continue; // It was cancelled in the meantime, and its end is stored here.
        }
        JobProgress progress = job->progress();
        progress.runsBefore = this->lastRunNumber(*job);
        transaction.writes.push_back({jobKey(transfer.target, job->id), encodeJob(job->spec, job->terms)});
        transaction.writes.push_back({progressKey(transfer.target, job->id), encodeProgress(progress)});
        transaction.writes.push_back({idKey(job->id), transfer.target.value});
        transaction.writes.push_back({transferKey(this->options.cell, job->id), encodeTransfer(transfer)});
        transaction.removals.push_back(jobKey(this->options.cell, job->id));
        transaction.removals.push_back(progressKey(this->options.cell, job->id));
        this->batch.transfers.push_back(std::move(transfer));
    }
    while (!this->confirmedTransfers.empty() && this->batch.endedTransfers.size() < MaxEndedTransfersPerTransaction) {
        transaction.removals.push_back(transferKey(this->options.cell, this->confirmedTransfers.back()));
        this->batch.endedTransfers.push_back(std::move(this->confirmedTransfers.back()));
        this->confirmedTransfers.pop_back();
    }
}

void CellLeader::onTransfersStored(TimePoint now, const Batch &stored)
{
    for (const JobTransfer &transfer : stored.transfers) {
        const std::shared_ptr<CellJob> job = this->findJob(transfer.job);
        assert(job && job->isLeaving && job->placedTasks == 0);
        this->log("job-transferred", {{"job", job->id.value},
                                      {"queue", job->terms.queue.value},
                                      {"target", transfer.target.value},
                                      {"losses", std::to_string(transfer.losses.size())}});
        if (const auto calls = this->cancelCalls.extract(job->id)) {
            for (const CallId call : calls.mapped()) {
                this->actions.emplace_back(
                    AnswerCancel{call, {JobAnswer::Kind::Unknown, JobState::Queued}}); // Asked again of the other cell.
            }
        }
        this->isCrashRowDirty = this->crashes.forgetJob(job->id) || this->isCrashRowDirty;
        this->removeFromReadyJobs(*job);
        this->transferableAt.erase(job->id);
        this->transfers.emplace(job->id, transfer);
        this->jobs.erase(job->id);
    }
    for (const JobId &id : stored.endedTransfers) {
        this->transfers.erase(id);
    }
    this->nextAnnouncementAt = stored.transfers.empty() ? this->nextAnnouncementAt : now;
}

void CellLeader::onTransfersRejected(TimePoint now, Batch &rejected)
{
    for (const JobTransfer &transfer : rejected.transfers) {
        if (const std::shared_ptr<CellJob> job = this->findJob(transfer.job)) {
            job->isLeaving = false;
            this->markProgressDirty(now, *job); // The transfer would have stored it.
        }
    }
    std::ranges::move(rejected.endedTransfers, std::back_inserter(this->confirmedTransfers));
}

void CellLeader::announceTransfers(TimePoint now)
{
    if (now < this->nextAnnouncementAt || this->transfers.empty()) {
        return;
    }
    this->nextAnnouncementAt = now + AnnouncementInterval;
    std::map<CellName, std::vector<JobTransfer>> byTarget;
    for (const auto &[id, transfer] : this->transfers) {
        std::vector<JobTransfer> &announced = byTarget[transfer.target];
        const bool isConfirmed = std::ranges::find(this->confirmedTransfers, id) != this->confirmedTransfers.end();
        if (!isConfirmed && announced.size() < MaxAnnouncedTransfers) {
            announced.push_back(transfer);
        }
    }
    for (auto &[target, announced] : byTarget) {
        if (!announced.empty()) {
            this->actions.emplace_back(AnnounceTransfers{target, std::move(announced)});
        }
    }
}

void CellLeader::onTransfersConfirmed(TimePoint now, std::span<const JobId> ids)
{
    for (const JobId &id : ids) {
        const bool isConfirmed = std::ranges::find(this->confirmedTransfers, id) != this->confirmedTransfers.end()
                                 || std::ranges::find(this->batch.endedTransfers, id) != this->batch.endedTransfers.end();
        if (this->transfers.contains(id) && !isConfirmed) {
            this->confirmedTransfers.push_back(id);
        }
    }
    this->flush(now);
}

void CellLeader::onTransfersAnnounced(TimePoint now, const CellName &source, std::span<const JobTransfer> announced)
{
    if (this->phase != Phase::Leading) {
        return;
    }
    std::vector<JobId> known;
    for (const JobTransfer &transfer : announced) {
        if (this->jobs.contains(transfer.job) || this->ended.contains(transfer.job)) {
            known.push_back(transfer.job);
        } else if (this->arrivals.try_emplace(transfer.job, Arrival{source, transfer.losses}).second) {
            this->actions.emplace_back(ReadTransferredJob{this->options.cell, transfer.job});
        }
    }
    if (!known.empty()) {
        this->actions.emplace_back(ConfirmTransfers{source, std::move(known)});
    }
    this->advance(now);
}

void CellLeader::onTransferredJobRead(TimePoint now, const JobId &id, TransferredRows rows)
{
    const auto arrival = this->arrivals.extract(id);
    if (!arrival || !rows.areRead || this->phase != Phase::Leading) {
        return; // It is announced again.
    }
    this->actions.emplace_back(ConfirmTransfers{arrival.mapped().source, {id}});
    // Without a row the announcement was an old one: the job has ended here or was handed on.
    if (!rows.spec || this->jobs.contains(id) || this->ended.contains(id) || isFinal(rows.progress.state)) {
        return;
    }
    auto job = std::make_shared<CellJob>(id, std::move(*rows.spec), std::move(rows.terms), now);
    job->restore(rows.progress);
    job->releaseUnaccounted(); // A job is handed over only when nothing of it runs or may still be started.
    this->jobs.emplace(id, job);
    this->log("job-arrived", {{"job", id.value}, {"queue", job->terms.queue.value}, {"source", arrival.mapped().source.value}});
    for (EndpointLoss &loss : arrival.mapped().losses) {
        loss.at = now;
        this->crashes.recordLoss(std::move(loss));
        this->isCrashRowUrgent = true;
    }
    this->addToReadyJobs(now, *job);
    this->startReadyJobs(now);
    this->holdEndpoints(now);
    this->flush(now);
}

} // namespace Tanagertally::Cells
