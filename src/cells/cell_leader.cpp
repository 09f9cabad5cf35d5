// The part of the leader that claims the lead, recovers the cell's state and releases the lead.
#include "cells/cell_leader.h"

#include <algorithm>
#include <cassert>

namespace Tanagertally::Cells {

namespace {

constexpr Duration LeadReadRetryInterval = std::chrono::milliseconds(200); // After a failed read of the lead row.
// Instances resubmit their jobs as soon as they hear of a new leader, which takes up to the first of these times, and the second one if
// they have to open a link to it.
constexpr Duration MinResubmissionTime = std::chrono::milliseconds(200);
constexpr Duration MaxResubmissionTime = std::chrono::milliseconds(400);
// The callers of an instance that was lost with its leader return 1.3 s after the loss, to an instance that may choose another cell. A stop
// takes up to 50 ms.
constexpr Duration OrphanTimeout = std::chrono::milliseconds(1150);
constexpr Duration RecoveryMargin = std::chrono::milliseconds(200); // Covers the slowest clock and late timers.

std::string toText(std::uint64_t number)
{
    return std::to_string(number);
}

} // namespace

CellLeader::CellLeader(CellLeaderOptions leaderOptions, TimePoint now)
    : options(std::move(leaderOptions))
    , chain(this->options.cell, this->options.self, this->options.incarnation)
    , advancedAt(now)
    , nextLeadReadAt(now)
{
    this->advance(now);
}

std::vector<CellAction> CellLeader::takeActions()
{
    return std::exchange(this->actions, {});
}

void CellLeader::setEndpoints(TimePoint now, std::span<const EndpointRecord> records)
{
    for (auto &[name, endpoint] : this->endpoints) {
        endpoint->isRegistered = false;
    }
    for (const EndpointRecord &record : records) {
        const auto found = this->endpoints.find(record.name);
        if (found != this->endpoints.end()) {
            this->updateRegistration(now, *found->second, record);
            continue;
        }
        auto endpoint = std::make_unique<CellEndpoint>(record, this->options.lease, this->runIndex);
        endpoint->registeredAt = now;
        this->endpoints.emplace(record.name, std::move(endpoint));
        this->isRosterDirty = true;
    }
    this->isCrashRowDirty = this->crashes.onRegistry(records) || this->isCrashRowDirty;
    std::erase_if(this->endpoints, [this, now](const auto &entry) {
        const CellEndpoint &endpoint = *entry.second;
        const bool isErased = this->hasLeft(now, endpoint) && !endpoint.isHoldInFlight;
        this->isRosterOutdated = this->isRosterOutdated || (isErased && endpoint.isInRoster);
        return isErased;
    });
    this->advance(now);
}

TimePoint CellLeader::orphanDeadline() const
{
    // An unset time lies so far back that the callers may return at any moment.
    return std::clamp(this->options.formerLeaderSeenAt + OrphanTimeout, this->leadingSince + MinResubmissionTime,
                      this->leadingSince + MaxResubmissionTime);
}

void CellLeader::stopOrphans(TimePoint now)
{
    if (this->areOrphansStopped || now < this->orphanDeadline()) {
        return;
    }
    this->areOrphansStopped = true;
    this->orphanEnds.clear();
    std::size_t stopped = 0;
    for (auto &[name, endpoint] : this->endpoints) {
        for (auto &[task, run] : endpoint->runs) {
            if (!this->jobs.contains(task.job) && run.phase == RunPhase::Running) {
                run.phase = RunPhase::Stopping;
                run.mayReturn = true;
                this->orderStop(now, *endpoint, task, run);
                ++stopped;
            }
        }
    }
    const auto ledFor = (now - this->leadingSince) / std::chrono::milliseconds(1);
    this->log("orphans-stopped", {{"runs", toText(stopped)}, {"led_ms", toText(static_cast<std::uint64_t>(ledFor))}});
}

void CellLeader::release(TimePoint now)
{
    if (this->phase == Phase::Reading || this->phase == Phase::Ended) {
        this->endLead("released before the lead was taken", false);
        return;
    }
    this->isReleaseRequested = true;
    this->flush(now);
}

void CellLeader::yieldTo(const InstanceName &successor, FenceToken successorToken)
{
    assert(successorToken > this->chain.token());
    this->leadEnded = {successor, successorToken};
    this->endLead(successor.value + " leads with a higher fencing token", false);
}

bool CellLeader::isReleasing() const
{
    return this->isReleaseRequested;
}

bool CellLeader::isLeading() const
{
    return this->phase == Phase::Leading;
}

bool CellLeader::hasToken() const
{
    return this->phase != Phase::Reading;
}

FenceToken CellLeader::token() const
{
    return this->chain.token();
}

Duration CellLeader::storeSilence(TimePoint now) const
{
    return now - this->chain.confirmedAt();
}

bool CellLeader::hasListedEndpoints() const
{
    return this->isLeading() && std::ranges::any_of(this->endpoints, [](const auto &entry) {
               return entry.second->isRegistered && entry.second->hasListedRuns;
           });
}

CellLoad CellLeader::load() const
{
    CellLoad load;
    load.usableCpu = 0;
    const std::int64_t typicalCpu = this->recentDemand.typicalCpu();
    for (const auto &[name, endpoint] : this->endpoints) {
        if (!endpoint->isRegistered) {
            continue;
        }
        for (const std::string &label : endpoint->record.labels) {
            if (std::ranges::find(load.labels, label) == load.labels.end()) {
                load.labels.push_back(label);
            }
        }
        if (!endpoint->record.isDraining && endpoint->hasListedRuns && !this->evacuation) {
            load.capacityCpu += endpoint->record.capacity.cpu;
            const std::int64_t freeCpu = std::max<std::int64_t>(0, endpoint->freeResources().cpu);
            load.freeCpu += freeCpu;
            const bool acceptsWork = endpoint->consecutiveFailures == 0 && !endpoint->health.isSuspect();
            load.usableCpu += acceptsWork ? freeCpu - unusableCpu(freeCpu, typicalCpu) : 0;
        }
    }
    load.rateCpu = static_cast<std::int64_t>(1000 * this->serviceRate.rate(this->effectiveCapacityCpu()));
    for (const auto &[id, job] : this->jobs) {
        if (job->state == JobState::Queued) {
            ++load.pendingJobs[job->terms.queue];
        }
        load.waitingWork += job->unaccountedWork();
    }
    for (const JobRank &rank : this->readyJobs) {
        load.waitingWork += this->findJob(rank.id)->waitingWork();
    }
    return load;
}

void CellLeader::onLeadRead(TimePoint now, const ReadResult &result)
{
    if (this->phase != Phase::Reading) {
        std::vector<Row> rows;
        const ChainOutcome outcome = this->chain.onLeadRead(now, result, this->actions);
        if (outcome == ChainOutcome::Applied) {
            this->onApplied(now);
        } else if (outcome == ChainOutcome::LeadLost) {
            this->endLead("another instance leads", false);
        }
        return;
    }
    this->isLeadReadInFlight = false;
    if (!result.isAnswered) {
        this->nextLeadReadAt = now + LeadReadRetryInterval;
        return;
    }
    std::optional<LeadRecord> former;
    RowVersion version;
    for (const Row &row : result.rows) {
        if (row.key != leadKey(this->options.cell)) {
            continue;
        }
        version = row.version;
        const Result<LeadRecord> lead = decodeLead(row.value);
        if (lead.has_error()) {
            this->log("lead-row-unreadable", {{"error", lead.error().message}}, true);
            this->endLead("the lead row can't be read", false);
            return;
        }
        former = lead.value();
    }
    if (former && !former->owner.empty() && !this->options.canReplace(*former)) {
        this->leadEnded = {former->owner, former->token};
        this->endLead("the store names " + former->owner.value + ", which is alive", false);
        return;
    }
    this->chain.prepareClaim(former, version);
    this->phase = Phase::Claiming;
    this->log("lead-claim", {{"former", former ? former->owner.value : ""}, {"token", toText(this->chain.token().value)}});
    this->chain.commit(now, {}, false, this->actions);
}

void CellLeader::onRecovered(TimePoint now, CellContent content)
{
    if (this->phase != Phase::Recovering) {
        return;
    }
    std::unordered_map<JobId, JobProgress> progress;
    for (StoredProgress &entry : content.progress) {
        if (isFinal(entry.progress.state)) {
            this->recordEnd(now, entry.id, entry.progress.state);
            continue;
        }
        progress.emplace(entry.id, std::move(entry.progress));
    }
    for (StoredJob &stored : content.jobs) {
        if (this->ended.contains(stored.id) || !validateSpec(stored.spec).empty()) {
            continue;
        }
        auto job = std::make_shared<CellJob>(stored.id, std::move(stored.spec), std::move(stored.terms), now);
        const JobProgress &restored = progress[stored.id];
        job->restore(restored);
        this->jobs.emplace(stored.id, job);
        if (job->state != restored.state) {
            this->markProgressDirty(now, *job);
        }
    }
    for (JobTransfer &transfer : content.transfers) {
        this->transfers.emplace(transfer.job, transfer);
    }
    for (EndpointLoss &loss : content.losses) {
        loss.at = now;
        this->crashes.recordLoss(std::move(loss));
    }
    for (const EndpointRecord &record : content.roster) {
        this->unlistedEndpoints.insert(record.name);
        auto &endpoint = this->endpoints[record.name];
        if (!endpoint) {
            endpoint = std::make_unique<CellEndpoint>(record, this->options.lease, this->runIndex);
            endpoint->isRegistered = false;
        }
        endpoint->isInRoster = true;
    }
    this->phase = Phase::Leading;
    this->leadingSince = now;
    this->log("lead-taken", {{"token", toText(this->chain.token().value)},
                             {"jobs", toText(this->jobs.size())},
                             {"ended", toText(this->ended.size())},
                             {"roster", toText(content.roster.size())},
                             {"losses", toText(this->crashes.losses().size())},
                             {"endpoints", toText(this->endpoints.size())}});
    this->isRosterDirty = std::ranges::any_of(this->endpoints, [](const auto &entry) { return !entry.second->isInRoster; });
    this->advance(now);
}

void CellLeader::settleRecovery(TimePoint now)
{
    if (this->isRecoverySettled || this->phase != Phase::Leading) {
        return;
    }
    const auto longestLease = std::chrono::duration_cast<Duration>(this->options.lease.longest / LeaseTerms::SlowestClock);
    const bool areFormerLeasesExpired = now >= this->claimedAt + UnconfirmedLeadLimit + longestLease + RecoveryMargin;
    if (!this->unlistedEndpoints.empty() && !areFormerLeasesExpired) {
        return;
    }
    this->isRecoverySettled = true;
    this->log("recovery-settled", {{"unlisted", toText(this->unlistedEndpoints.size())}, {"jobs", toText(this->jobs.size())}});
    this->unlistedEndpoints.clear();
    for (auto &[name, endpoint] : this->endpoints) {
        endpoint->settleRecovery();
        endpoint->nextHoldAt = std::min(endpoint->nextHoldAt, now);
    }
    for (auto &[id, job] : this->jobs) {
        job->releaseUnaccounted();
        this->addToReadyJobs(now, *job);
    }
}

void CellLeader::advance(TimePoint now)
{
    if (this->phase == Phase::Ended) {
        return;
    }
    if (this->phase == Phase::Reading) {
        if (!this->isLeadReadInFlight && now >= this->nextLeadReadAt) {
            this->isLeadReadInFlight = true;
            this->actions.emplace_back(ReadLeadRow{leadKey(this->options.cell)});
        }
        return;
    }
    this->detectSuspension(now);
    this->chain.advance(now, this->actions);
    if (this->phase != Phase::Leading) {
        return;
    }
    for (auto &[name, endpoint] : this->endpoints) {
        if (!endpoint->runs.empty() && endpoint->areLeasesExpired(now)) {
            this->dropRuns(now, *endpoint, LeaseLapsedReason);
        }
        for (auto &[task, run] : endpoint->runs) {
            const bool needsStop = run.phase == RunPhase::Stopping || run.phase == RunPhase::Unconfirmed;
            if (needsStop && !run.isStopConfirmed && !run.isStopInFlight && now >= run.nextStopAt) {
                this->orderStop(now, *endpoint, task, run);
            }
        }
        this->stopStalledRuns(now, *endpoint);
    }
    this->withdrawExpiredJobs(now);
    this->updateSpeeds(now);
    this->settleRecovery(now);
    this->stopOrphans(now);
    // Jobs that wait for faster endpoints, although others have room, don't show what the cell can do.
    this->serviceRate.advance(now, this->readyJobs.size() > static_cast<std::size_t>(this->deferrals) && !this->evacuation);
    this->refreshRanks(now);
    this->evacuateJobs(now);
    this->planRoom(now);
    this->smallestWaitingCpu = 0;
    this->startReadyJobs(now);
    this->announceTransfers(now);
    this->holdEndpoints(now);
    this->flush(now);
}

void CellLeader::detectSuspension(TimePoint now)
{
    const Duration gap = now - std::exchange(this->advancedAt, now);
    if (this->phase == Phase::Leading && gap > SuspensionLimit) {
        this->resumedAt = now;
        this->log("lead-unsure", {{"gap_ms", toText(static_cast<std::uint64_t>(gap / std::chrono::milliseconds(1)))}}, true);
        this->handBackUnstartedJobs(now, now - gap / 2);
    }
}

void CellLeader::handBackUnstartedJobs(TimePoint now, TimePoint acceptedBefore)
{
    // Their callers may have given up meanwhile, and may have them run elsewhere before that is known here.
    std::vector<std::shared_ptr<CellJob>> unstarted;
    for (const auto &[id, call] : this->bestEffortCalls) {
        const std::shared_ptr<CellJob> job = this->findJob(id);
        if (job->acceptedAt < acceptedBefore && job->placedTasks == 0 && job->hasNeverStarted()) {
            unstarted.push_back(job);
        }
    }
    for (const std::shared_ptr<CellJob> &job : unstarted) {
        this->handBack(now, job, SuspendedReason);
    }
}

void CellLeader::endLead(const std::string &reason, bool wasReleased)
{
    if (this->phase == Phase::Ended) {
        return;
    }
    this->phase = Phase::Ended;
    this->log("lead-ended", {{"reason", reason}}, !wasReleased);
    for (const PendingSubmission &submission : this->batch.submissions) {
        this->refuse(submission.calls, *submission.job, LeadMovedReason);
    }
    for (const PendingSubmission &submission : this->pendingSubmissions) {
        this->refuse(submission.calls, *submission.job, NotLeadingReason);
    }
    for (const auto &[id, call] : this->bestEffortCalls) {
        this->refuse({&call.call, 1}, *this->jobs.at(id), LeadMovedReason);
    }
    for (const auto &[id, calls] : this->cancelCalls) {
        for (const CallId call : calls) {
            this->actions.emplace_back(AnswerCancel{call, {JobAnswer::Kind::Unknown, JobState::Queued}});
        }
    }
    this->actions.emplace_back(this->leadEnded);
}

std::shared_ptr<CellJob> CellLeader::findJob(const JobId &id) const
{
    const auto found = this->jobs.find(id);
    return found == this->jobs.end() ? nullptr : found->second;
}

void CellLeader::answerSubmission(CallId call, SubmitAnswer submitAnswer)
{
    this->actions.emplace_back(AnswerSubmission{call, std::move(submitAnswer)});
}

void CellLeader::log(std::string event, std::vector<std::pair<std::string, std::string>> fields, bool isWarning)
{
    fields.emplace_back("cell", this->options.cell.value);
    this->actions.emplace_back(WriteLogLine{std::move(event), std::move(fields), isWarning});
}

} // namespace Tanagertally::Cells
