// The part of the leader that stores jobs and their progress.
#include "cells/cell_leader.h"

#include <algorithm>
#include <cassert>

namespace Tanagertally::Cells {

namespace {

constexpr std::size_t MaxEntriesPerTransaction = 100; // The platform's limit.
constexpr std::size_t LeadEntries = 2; // The chain adds the condition and the rewrite of the lead row.
constexpr std::size_t MaxSubmissionsPerTransaction = 24; // Three entries each.
constexpr std::size_t MaxSubmissionsBesideTransfers = 8; // Leaves room for the entries of the transfers.
constexpr std::size_t MaxProgressPerTransaction = 12; // Two entries each.
// Total size of the values, in bytes. The platform accepts 1 MB per transaction, in which a value takes a third more.
constexpr std::size_t MaxSubmittedValueBytes = 500'000;
constexpr std::size_t MaxSubmittedValueBytesBesideTransfers = 250'000;
constexpr std::size_t MaxValueBytesBeforeProgress = 550'000;
constexpr std::size_t RowHeaderBytes = 16; // At most, of an encoded list.
constexpr std::size_t EntriesPerRemoval = 2;
constexpr std::size_t MaxRemovalsPerTransaction = 40;
constexpr std::size_t MaxRemovalsBesideOthers = MaxProgressPerTransaction; // No more jobs than that end with a transaction.
constexpr Duration ProgressDelay = std::chrono::milliseconds(300); // Batches progress; ends have to be acknowledged within 4 s.
// Less than half of the time after which other instances take the leader as cut off from the store; the rest covers a late event loop.
constexpr Duration LeadRenewalInterval = std::chrono::seconds(1);
constexpr Duration EndedJobRetention = std::chrono::seconds(150); // The platform queries the state of jobs for 120 s.

std::string toText(std::uint64_t number)
{
    return std::to_string(number);
}

} // namespace

void CellLeader::onCommitted(TimePoint now, TransactionResult result)
{
    if (result.outcome != TransactionOutcome::Applied) {
        this->log("commit-not-applied", {{"end", toText(static_cast<std::uint64_t>(result.outcome))}, {"error", result.error}}, true);
    }
    std::vector<Row> rows;
    switch (this->chain.onCommitted(now, std::move(result), rows, this->actions)) {
    case ChainOutcome::Pending:
        return;
    case ChainOutcome::Applied:
        this->onApplied(now);
        return;
    case ChainOutcome::Rejected:
        this->onRejected(now, rows);
        return;
    case ChainOutcome::LeadLost:
        this->endLead("another instance leads", false);
        return;
    }
}

void CellLeader::onApplied(TimePoint now)
{
    const Batch stored = std::exchange(this->batch, {});
    if (this->phase == Phase::Claiming) {
        this->phase = Phase::Recovering;
        this->claimedAt = now;
        this->actions.emplace_back(ReadCellRows{this->options.cell});
        return;
    }
    for (const PendingSubmission &submission : stored.submissions) {
        this->jobs.emplace(submission.job->id, submission.job);
        this->addToReadyJobs(now, *submission.job);
        this->log("job-accepted", {{"job", submission.job->id.value}, {"queue", submission.job->terms.queue.value}});
        for (const CallId call : submission.calls) {
            this->answerSubmission(call, {SubmitVerdict::Accepted, {}, {}, {}});
        }
    }
    for (const EndpointName &name : stored.roster) {
        if (CellEndpoint *endpoint = this->findEndpoint(name)) {
            endpoint->isInRoster = true;
        }
    }
    for (const auto &[id, state] : stored.progress) {
        for (auto &[name, endpoint] : this->endpoints) {
            const auto lastEnd = stored.lastListedEnds.find(name);
            if (lastEnd != stored.lastListedEnds.end()) {
                endpoint->settleEnds(id, lastEnd->second);
                endpoint->nextHoldAt = std::min(endpoint->nextHoldAt, now);
            }
        }
        if (isFinal(state) && this->jobs.contains(id)) {
            this->finishJob(now, id);
            // Ends that were listed since the transaction was sent change nothing any more.
            for (auto &[name, endpoint] : this->endpoints) {
                endpoint->settleEnds(id, endpoint->lastListedEnd());
            }
        }
    }
    for (const JobTransfer &transfer : stored.transfers) {
        // Ends that were listed since the transaction was sent change nothing: the runs were given up before.
        for (auto &[name, endpoint] : this->endpoints) {
            endpoint->settleEnds(transfer.job, endpoint->lastListedEnd());
        }
    }
    this->onTransfersStored(now, stored);
    for (const JobId &id : stored.removedJobs) {
        this->ended.erase(id);
    }
    if (stored.releasesLead) {
        this->endLead("released", true);
        return;
    }
    this->startReadyJobs(now);
    this->holdEndpoints(now);
    this->flush(now);
}

void CellLeader::onRejected(TimePoint now, const std::vector<Row> &rows)
{
    // Only submissions add conditions of their own, on the id rows; a job whose id row exists is already stored, by this cell or another.
    Batch rejected = std::exchange(this->batch, {});
    for (auto submission = rejected.submissions.rbegin(); submission != rejected.submissions.rend(); ++submission) {
        const auto row = std::ranges::find(rows, idKey(submission->job->id), &Row::key);
        if (row == rows.end() || row->version == RowVersion(0)) {
            this->pendingSubmissions.push_front(std::move(*submission));
            continue;
        }
        this->log("job-known", {{"job", submission->job->id.value}, {"cell", row->value}});
        for (const CallId call : submission->calls) {
            this->answerSubmission(call, {SubmitVerdict::Accepted, {}, {}, {}});
        }
    }
    for (const auto &[id, state] : rejected.progress) {
        if (const std::shared_ptr<CellJob> job = this->findJob(id)) {
            this->markProgressDirty(now, *job);
        }
    }
    this->onTransfersRejected(now, rejected);
    this->removableJobs.insert(this->removableJobs.begin(), rejected.removedJobs.begin(), rejected.removedJobs.end());
    this->isRosterDirty = this->isRosterDirty || rejected.storesRoster;
    this->isCrashRowUrgent = this->isCrashRowUrgent || rejected.storesCrashes;
    this->flush(now);
}

bool CellLeader::isCommitDue(TimePoint now) const
{
    if (this->isReleaseRequested || !this->pendingSubmissions.empty() || this->hasUrgentProgress || this->isRosterDirty
        || this->isCrashRowUrgent || !this->pendingTransfers.empty()) {
        return true;
    }
    if (!this->dirtyJobs.empty() && now >= this->dirtySince + ProgressDelay) {
        return true;
    }
    return now >= this->lastCommitAt + LeadRenewalInterval || this->chain.confirmedAt() < this->resumedAt;
}

void CellLeader::flush(TimePoint now)
{
    if (this->phase != Phase::Leading || !this->chain.isIdle() || !this->isCommitDue(now)) {
        return;
    }
    StoreTransaction transaction;
    this->addSubmissions(transaction);
    this->addTransfers(transaction);
    this->addProgress(transaction);
    this->addRoster(now, transaction);
    this->addCrashes(now, transaction);
    this->addRemovals(now, transaction);
    this->batch.releasesLead = this->isReleaseRequested && this->pendingSubmissions.empty() && this->dirtyJobs.empty();
    this->lastCommitAt = now;
    this->chain.commit(now, std::move(transaction), this->batch.releasesLead, this->actions);
}

void CellLeader::addSubmissions(StoreTransaction &transaction)
{
    const bool haveTransfers = !this->pendingTransfers.empty() || !this->confirmedTransfers.empty();
    const std::size_t limit = haveTransfers ? MaxSubmissionsBesideTransfers : MaxSubmissionsPerTransaction;
    const std::size_t maxBytes = haveTransfers ? MaxSubmittedValueBytesBesideTransfers : MaxSubmittedValueBytes;
    std::size_t bytes = 0;
    while (!this->pendingSubmissions.empty() && this->batch.submissions.size() < limit) {
        bytes += this->pendingSubmissions.front().row.size();
        if (bytes > maxBytes && !this->batch.submissions.empty()) {
            return;
        }
        PendingSubmission submission = std::move(this->pendingSubmissions.front());
        this->pendingSubmissions.pop_front();
        const JobId &id = submission.job->id;
        transaction.conditions.push_back({idKey(id), RowVersion(0)});
        transaction.writes.push_back({idKey(id), this->options.cell.value});
        transaction.writes.push_back({jobKey(this->options.cell, id), submission.row});
        this->batch.submissions.push_back(std::move(submission));
    }
}

void CellLeader::addProgress(StoreTransaction &transaction)
{
    const std::size_t limit = std::min(this->dirtyJobs.size(), MaxProgressPerTransaction);
    std::size_t count = 0;
    while (count < limit && (count == 0 || transaction.valueBytes() <= MaxValueBytesBeforeProgress)) {
        const JobId &id = this->dirtyJobs[count++];
        const std::shared_ptr<CellJob> job = this->findJob(id);
        if (!job || std::ranges::find(this->batch.transfers, id, &JobTransfer::job) != this->batch.transfers.end()) {
            continue;
        }
        const RowKey key = progressKey(this->options.cell, id);
        std::string row = encodeProgress(job->progress());
        if (!this->fitsIntoRow(key, row)) {
            if (!isFinal(job->state)) {
                continue; // Its ends stay unacknowledged until the job has ended.
            }
            row = encodeProgress({job->state, {}, {}, 0}); // All that is read of an ended job.
        }
        transaction.writes.push_back({key, std::move(row)});
        if (isFinal(job->state)) {
            transaction.removals.push_back(jobKey(this->options.cell, id));
        }
        this->batch.progress.emplace_back(id, job->state);
    }
    this->dirtyJobs.erase(this->dirtyJobs.begin(), this->dirtyJobs.begin() + static_cast<std::ptrdiff_t>(count));
    this->hasUrgentProgress = std::ranges::any_of(this->dirtyJobs, [this](const JobId &id) {
        const std::shared_ptr<CellJob> job = this->findJob(id);
        return job && isFinal(job->state);
    });
    for (const auto &[name, endpoint] : this->endpoints) {
        if (endpoint->hasUnsettledEnds()) {
            this->batch.lastListedEnds.emplace(name, endpoint->lastListedEnd());
        }
    }
}

void CellLeader::addRemovals(TimePoint now, StoreTransaction &transaction)
{
    const bool isAwaited = !this->batch.submissions.empty() || !this->batch.progress.empty() || !this->batch.transfers.empty();
    const std::size_t used = LeadEntries + transaction.conditions.size() + transaction.writes.size() + transaction.removals.size();
    assert(used <= MaxEntriesPerTransaction);
    const std::size_t room = (MaxEntriesPerTransaction - used) / EntriesPerRemoval;
    const std::size_t limit = std::min(room, isAwaited ? MaxRemovalsBesideOthers : MaxRemovalsPerTransaction);
    const auto isDue = [&](const JobId &id) { return this->ended.at(id).endedAt + EndedJobRetention < now; };
    // The id rows are in other partitions, and a transaction over several partitions takes longer.
    const bool isAcrossPartitions = !this->batch.submissions.empty() || !this->batch.transfers.empty();
    const bool isFullBatchDue = this->removableJobs.size() >= limit && limit > 0 && isDue(this->removableJobs[limit - 1]);
    if (isAwaited && !isAcrossPartitions && !isFullBatchDue) {
        return;
    }
    while (!this->removableJobs.empty() && this->batch.removedJobs.size() < limit && isDue(this->removableJobs.front())) {
        const JobId &id = this->removableJobs.front();
        transaction.removals.push_back(progressKey(this->options.cell, id));
        transaction.removals.push_back(idKey(id));
        this->batch.removedJobs.push_back(id);
        this->removableJobs.pop_front();
    }
}

void CellLeader::addRoster(TimePoint now, StoreTransaction &transaction)
{
    for (const auto &[name, endpoint] : this->endpoints) {
        if (endpoint->isInRoster && this->hasLeft(now, *endpoint)) {
            endpoint->isInRoster = false; // If it registers again, it gets no runs before it is stored again.
            this->isRosterOutdated = true;
        }
    }
    if (!this->isRosterDirty && !this->isRosterOutdated) {
        return;
    }
    this->isRosterDirty = false;
    this->isRosterOutdated = false;
    std::vector<EndpointRecord> present;
    for (const bool isInRoster : {true, false}) { // Those that may have runs are the last to be left out.
        for (const auto &[name, endpoint] : this->endpoints) {
            if (endpoint->isInRoster == isInRoster && !this->hasLeft(now, *endpoint)) {
                present.push_back(endpoint->record);
            }
        }
    }
    std::string row = encodeRoster(present);
    if (!this->fitsIntoRow(rosterKey(this->options.cell), row)) {
        std::size_t bytes = RowHeaderBytes;
        const auto firstLeftOut = std::ranges::find_if(present, [&](const EndpointRecord &record) {
            bytes += encodeRoster({&record, 1}).size();
            return bytes > this->options.maxRowBytes;
        });
        for (auto record = firstLeftOut; record != present.end(); ++record) {
            this->endpoints.at(record->name)->isInRoster = false; // It gets no runs.
        }
        present.erase(firstLeftOut, present.end());
        row = encodeRoster(present);
    }
    for (const EndpointRecord &record : present) {
        this->batch.roster.push_back(record.name);
    }
    this->batch.storesRoster = true;
    transaction.writes.push_back({rosterKey(this->options.cell), std::move(row)});
}

bool CellLeader::hasLeft(TimePoint now, const CellEndpoint &endpoint) const
{
    const bool hasNoRuns = endpoint.runs.empty() && (endpoint.hasListedRuns || this->isRecoverySettled);
    return !endpoint.isRegistered && hasNoRuns && !endpoint.hasUnsettledEnds() && !endpoint.hasStrayOrders(now);
}

void CellLeader::addCrashes(TimePoint now, StoreTransaction &transaction)
{
    this->isCrashRowDirty = this->crashes.forgetOld(now) || this->isCrashRowDirty;
    if (!this->isCrashRowDirty && !this->isCrashRowUrgent) {
        return;
    }
    this->isCrashRowDirty = false;
    this->isCrashRowUrgent = false;
    this->batch.storesCrashes = true;
    std::span<const EndpointLoss> losses = this->crashes.losses();
    std::string row = encodeLosses(losses);
    if (!this->fitsIntoRow(lossesKey(this->options.cell), row)) {
        while (!losses.empty() && row.size() > this->options.maxRowBytes) {
            losses = losses.subspan((losses.size() + 1) / 2); // The next leader needs the latest ones most.
            row = encodeLosses(losses);
        }
    }
    transaction.writes.push_back({lossesKey(this->options.cell), std::move(row)});
}

bool CellLeader::fitsIntoRow(const RowKey &key, std::string_view value)
{
    if (value.size() <= this->options.maxRowBytes) {
        return true;
    }
    this->log("row-too-large",
              {{"table", key.table}, {"key", key.key}, {"bytes", toText(value.size())}, {"limit", toText(this->options.maxRowBytes)}},
              true);
    return false;
}

void CellLeader::markProgressDirty(TimePoint now, CellJob &job)
{
    assert(!job.spec.isBestEffort);
    if (std::ranges::find(this->dirtyJobs, job.id) == this->dirtyJobs.end()) {
        if (this->dirtyJobs.empty()) {
            this->dirtySince = now;
        }
        this->dirtyJobs.push_back(job.id);
    }
    this->hasUrgentProgress = this->hasUrgentProgress || isFinal(job.state);
}

} // namespace Tanagertally::Cells
