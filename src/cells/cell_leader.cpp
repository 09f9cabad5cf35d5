#include "cells/cell_leader.h"

#include "cells/placement.h"

#include <algorithm>
#include <cassert>

namespace Tanagertally::Cells {

namespace {

constexpr std::size_t MaxAcceptsPerTransaction = 24; // Three entries each; the platform takes 100 entries a transaction.
constexpr std::size_t MaxProgressPerTransaction = 12; // Two entries each.
constexpr std::size_t MaxRemovalsPerTransaction = 40; // Two entries each.
constexpr Duration ProgressDelay = std::chrono::milliseconds(300); // Ends are to be acknowledged within 4 s; this groups them.
constexpr Duration LeadRenewal = std::chrono::seconds(2); // A third of the time after which a leader gives no orders unconfirmed.
constexpr Duration LeadReadRetry = std::chrono::milliseconds(200); // Pause after a failed read of the lead row.
constexpr Duration OverloadRetryAfter = std::chrono::seconds(2); // Bursts last about 4 s; half of it spreads the returns.
constexpr Duration OrphanPatience = std::chrono::milliseconds(1200); // Instances notice a change of leader within 1.2 s.
constexpr Duration RecoveryMargin = std::chrono::milliseconds(200); // For the slowest clock and timers that fire late.
constexpr Duration EndedJobRetention = std::chrono::seconds(150); // The platform asks for the state of jobs for 120 s.

std::string toText(std::uint64_t number)
{
    return std::to_string(number);
}

/** @return Time until work that waits, in core-milliseconds, has got room. */
Duration waitFor(double work, std::int64_t capacityCpu)
{
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::milli>(work / (static_cast<double>(capacityCpu) / 1000)));
}

} // namespace

CellLeader::CellLeader(CellLeaderOptions leaderOptions, TimePoint now)
    : options(std::move(leaderOptions))
    , chain(this->options.cell, this->options.self, this->options.incarnation)
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
        endpoint->isRegistered = std::ranges::find(records, name, &EndpointRecord::name) != records.end();
    }
    for (const EndpointRecord &record : records) {
        const auto found = this->endpoints.find(record.name);
        if (found != this->endpoints.end()) {
            found->second->record = record;
            continue;
        }
        this->endpoints.emplace(record.name, std::make_unique<CellEndpoint>(record, this->options.lease));
        this->isRosterDirty = true;
    }
    std::erase_if(this->endpoints, [](const auto &entry) {
        const CellEndpoint &endpoint = *entry.second;
        return !endpoint.isRegistered && endpoint.isListed && endpoint.runs.empty() && !endpoint.isHoldInFlight;
    });
    this->advance(now);
}

void CellLeader::submit(TimePoint now, CallId call, JobId id, JobSpec spec, JobTerms terms, bool wasOffered)
{
    if (spec.isBestEffort) {
        this->submitBestEffort(now, call, std::move(id), std::move(spec), std::move(terms), wasOffered);
        return;
    }
    if (this->jobs.contains(id) || this->ended.contains(id)) {
        this->answer(call, {SubmitVerdict::Accepted, {}, {}, {}});
        return;
    }
    if (PendingAccept *pending = this->findPending(id)) {
        pending->calls.push_back(call);
        return;
    }
    if (std::optional<std::string> refusal = this->findRefusal(spec, terms)) {
        this->log("job-refused", {{"job", id.value}, {"queue", terms.queue.value}, {"reason", *refusal}});
        this->answer(call, {SubmitVerdict::Refused, std::move(*refusal), {}, {}});
        return;
    }
    auto job = std::make_shared<CellJob>(std::move(id), std::move(spec), std::move(terms), now);
    this->pendingAccepts.push_back({std::move(job), {call}});
    this->flush(now);
}

void CellLeader::submitBestEffort(TimePoint now, CallId call, JobId id, JobSpec spec, JobTerms terms, bool wasOffered)
{
    if (const auto known = this->bestEffortCalls.find(id); known != this->bestEffortCalls.end()) {
        this->answer(known->second, {SubmitVerdict::Unknown, "handed in again", {}, {}});
        known->second = call;
        return;
    }
    if (std::optional<std::string> refusal = this->findRefusal(spec, terms)) {
        this->log("job-refused", {{"job", id.value}, {"queue", terms.queue.value}, {"reason", *refusal}});
        this->answer(call, {SubmitVerdict::Refused, std::move(*refusal), {}, {}});
        return;
    }
    auto job = std::make_shared<CellJob>(std::move(id), std::move(spec), std::move(terms), now);
    if (!wasOffered && this->isOverloadedFor(*job, now)) {
        this->log("job-refused", {{"job", job->id.value}, {"queue", job->terms.queue.value}, {"reason", std::string(OverloadedReason)}});
        this->answer(call, {SubmitVerdict::Refused, std::string(OverloadedReason), OverloadRetryAfter, {}});
        return;
    }
    this->bestEffortCalls.emplace(job->id, call);
    this->jobs.emplace(job->id, job);
    if (wasOffered) {
        this->attachOrphans(now, *job);
        if (isFinal(job->state)) {
            this->finishBestEffort(now, job);
            return;
        }
    }
    this->queueJob(now, *job);
    this->pump(now);
    this->holdEndpoints(now);
}

std::int64_t CellLeader::openCapacity() const
{
    std::int64_t capacity = 0;
    for (const auto &[name, endpoint] : this->endpoints) {
        const bool isOpen = endpoint->isListed && endpoint->isRegistered && !endpoint->record.isDraining && endpoint->failuresInRow == 0;
        capacity += isOpen ? endpoint->record.capacity.cpu : 0;
    }
    return capacity;
}

bool CellLeader::isOverloadedFor(const CellJob &job, TimePoint now) const
{
    const std::int64_t capacity = this->openCapacity();
    if (capacity == 0) {
        return false;
    }
    const JobRank rank = rankOf(job.id, job.urgency(), now);
    double workAhead = 0;
    for (const JobRank &other : this->ready) {
        if (rank < other) {
            break;
        }
        workAhead += this->findJob(other.id)->waitingWork();
    }
    return chanceOf(job.urgency(), now + waitFor(workAhead, capacity)) != JobChance::OnTime;
}

void CellLeader::attachOrphans(TimePoint now, CellJob &job)
{
    job.restore({});
    for (auto &[name, endpoint] : this->endpoints) {
        for (auto &[task, run] : endpoint->runs) {
            if (task.job == job.id && job.hasTask(task) && run.phase == RunPhase::Running
                && job.task(task).phase == TaskPhase::Unaccounted) {
                endpoint->setDemand(task, job.step(task).demand);
                job.task(task).phase = TaskPhase::Placed;
                ++job.placedTasks;
                job.state = JobState::Running;
            }
        }
    }
    for (auto end = this->orphanEnds.begin(); end != this->orphanEnds.end();) {
        const TaskRef &task = end->first;
        if (task.job != job.id) {
            ++end;
            continue;
        }
        if (job.hasTask(task) && job.task(task).phase == TaskPhase::Unaccounted && end->second == RunEnd::Done) {
            job.markDone(task);
        }
        end = this->orphanEnds.erase(end);
    }
    this->log("job-taken-over", {{"job", job.id.value}, {"placed", toText(job.placedTasks)}, {"state", std::string(toString(job.state))}});
    if (this->isRecoverySettled) {
        job.releaseUnaccounted();
    }
    static_cast<void>(now);
}

void CellLeader::stopOrphans(TimePoint now)
{
    if (this->areOrphansOver || now < this->claimedAt + OrphanPatience) {
        return;
    }
    this->areOrphansOver = true;
    this->orphanEnds.clear();
    for (auto &[name, endpoint] : this->endpoints) {
        for (auto &[task, run] : endpoint->runs) {
            if (!this->jobs.contains(task.job) && run.phase == RunPhase::Running) {
                run.phase = RunPhase::Stopping;
                this->orderStop(now, *endpoint, task, run);
            }
        }
    }
}

void CellLeader::finishBestEffort(TimePoint now, const std::shared_ptr<CellJob> &job)
{
    const auto call = this->bestEffortCalls.find(job->id);
    if (call != this->bestEffortCalls.end()) {
        this->answer(call->second, {SubmitVerdict::Ended, {}, {}, job->state});
        this->bestEffortCalls.erase(call);
    }
    this->logEnd(now, *job);
    this->unqueueJob(*job);
    this->jobs.erase(job->id);
}

void CellLeader::refuseHopeless(TimePoint now)
{
    const std::int64_t capacity = this->openCapacity();
    if (capacity == 0) {
        return;
    }
    std::vector<std::shared_ptr<CellJob>> refused;
    double workAhead = 0;
    for (const JobRank &rank : this->ready) {
        const std::shared_ptr<CellJob> job = this->findJob(rank.id);
        const bool isUntried = job->state == JobState::Queued && job->placedTasks == 0 && !job->wasRecovered;
        if (job->spec.isBestEffort && isUntried && chanceOf(job->urgency(), now + waitFor(workAhead, capacity)) == JobChance::Hopeless) {
            refused.push_back(job);
            continue;
        }
        workAhead += job->waitingWork();
    }
    for (const std::shared_ptr<CellJob> &job : refused) {
        this->refuseUntried(now, job);
    }
}

void CellLeader::refuseUntried(TimePoint now, const std::shared_ptr<CellJob> &job)
{
    assert(job->placedTasks == 0 && job->state == JobState::Queued);
    const auto call = this->bestEffortCalls.find(job->id);
    if (call != this->bestEffortCalls.end()) {
        this->answer(call->second, {SubmitVerdict::Refused, std::string(OverloadedReason), OverloadRetryAfter, {}});
        this->bestEffortCalls.erase(call);
    }
    job->end(JobState::Cancelled);
    this->finishBestEffort(now, job);
}

void CellLeader::withdraw(TimePoint now, CallId call)
{
    const auto found = std::ranges::find_if(this->bestEffortCalls, [call](const auto &entry) { return entry.second == call; });
    if (found == this->bestEffortCalls.end()) {
        return;
    }
    const std::shared_ptr<CellJob> job = this->findJob(found->first);
    this->bestEffortCalls.erase(found);
    job->end(JobState::Cancelled);
    this->stopRuns(now, job->id);
    this->finishBestEffort(now, job);
    this->pump(now);
}

std::optional<std::string> CellLeader::findRefusal(const JobSpec &spec, const JobTerms &terms) const
{
    if (!this->isLeading() || this->wantsRelease) {
        return std::string(NotLeadingReason);
    }
    for (const StepSpec &step : spec.steps) {
        const bool isServable = std::ranges::any_of(this->endpoints, [&](const auto &entry) {
            const EndpointRecord &record = entry.second->record;
            return record.service == terms.service && entry.second->isRegistered && canEverRun(record, step);
        });
        if (!isServable) {
            return std::string(NoEndpointReason);
        }
    }
    return std::nullopt;
}

void CellLeader::cancel(TimePoint now, CallId call, const JobId &id)
{
    if (const auto found = this->ended.find(id); found != this->ended.end()) {
        this->actions.emplace_back(AnswerCancel{call, {JobAnswer::Kind::Known, found->second.state}});
        return;
    }
    const std::shared_ptr<CellJob> job = this->findJob(id);
    if (!job) {
        const JobAnswer::Kind kind = this->query(id).kind;
        this->actions.emplace_back(AnswerCancel{call, {kind, JobState::Queued}});
        return;
    }
    this->cancelCalls[id].push_back(call);
    if (!isFinal(job->state)) {
        this->log("job-cancelled", {{"job", id.value}, {"running", toText(job->placedTasks)}});
        job->end(JobState::Cancelled);
        this->stopRuns(now, id);
        this->noteProgress(now, *job);
    }
    this->flush(now);
}

JobAnswer CellLeader::query(const JobId &id) const
{
    if (const auto found = this->ended.find(id); found != this->ended.end()) {
        return {JobAnswer::Kind::Known, found->second.state};
    }
    if (const auto found = this->jobs.find(id); found != this->jobs.end()) {
        const JobState state = found->second->state;
        return {JobAnswer::Kind::Known, isFinal(state) ? JobState::Running : state};
    }
    const auto isSame = [&id](const PendingAccept &pending) { return pending.job->id == id; };
    const bool isBeingStored = std::ranges::any_of(this->pendingAccepts, isSame) || std::ranges::any_of(this->batch.accepts, isSame);
    if (!this->isLeading() || isBeingStored) {
        return {JobAnswer::Kind::Unknown, JobState::Queued};
    }
    return {JobAnswer::Kind::NoSuchJob, JobState::Queued};
}

void CellLeader::release(TimePoint now)
{
    if (this->phase == Phase::Reading || this->phase == Phase::Ended) {
        this->endLead("released before the lead was taken", false);
        return;
    }
    this->wantsRelease = true;
    for (const PendingAccept &pending : std::exchange(this->pendingAccepts, {})) {
        for (const CallId call : pending.calls) {
            this->answer(call, {SubmitVerdict::Refused, std::string(NotLeadingReason), {}, {}});
        }
    }
    this->flush(now);
}

bool CellLeader::isReleasing() const
{
    return this->wantsRelease;
}

bool CellLeader::isLeading() const
{
    return this->phase == Phase::Leading;
}

FenceToken CellLeader::token() const
{
    return this->chain.token();
}

Duration CellLeader::storeSilence(TimePoint now) const
{
    return now - this->chain.confirmedAt();
}

CellLoad CellLeader::load() const
{
    CellLoad load;
    for (const auto &[name, endpoint] : this->endpoints) {
        if (!endpoint->isRegistered) {
            continue;
        }
        for (const std::string &label : endpoint->record.labels) {
            if (std::ranges::find(load.labels, label) == load.labels.end()) {
                load.labels.push_back(label);
            }
        }
        if (!endpoint->record.isDraining && endpoint->isListed) {
            load.capacityCpu += endpoint->record.capacity.cpu;
            load.freeCpu += std::max<std::int64_t>(0, endpoint->room().cpu);
        }
    }
    for (const auto &[id, job] : this->jobs) {
        if (job->state == JobState::Queued) {
            ++load.pendingJobs[job->terms.queue];
        }
    }
    for (const JobRank &rank : this->ready) {
        const std::shared_ptr<CellJob> job = this->findJob(rank.id);
        for (const TaskRef &task : job->waiting()) {
            const StepSpec &step = job->step(task);
            load.waitingWork
                += std::chrono::duration<double, std::milli>(step.estimate).count() * static_cast<double>(step.demand.cpu) / 1000;
        }
    }
    return load;
}

void CellLeader::onLeadRead(TimePoint now, const ReadResult &result)
{
    if (this->phase != Phase::Reading) {
        std::vector<Row> rows;
        const ChainStep step = this->chain.onLeadRead(now, result, this->actions);
        if (step == ChainStep::Applied) {
            this->onApplied(now);
        } else if (step == ChainStep::Deposed) {
            this->endLead("another instance leads", false);
        }
        return;
    }
    this->isLeadReadInFlight = false;
    if (!result.isAnswered) {
        this->nextLeadReadAt = now + LeadReadRetry;
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
    this->chain.adopt(former, version);
    this->phase = Phase::Claiming;
    this->log("lead-claim", {{"former", former ? former->owner.value : ""}, {"token", toText(this->chain.token().value)}});
    this->chain.commit(now, {}, false, this->actions);
}

void CellLeader::onCommitted(TimePoint now, TransactionResult result)
{
    if (result.end != TransactionEnd::Applied) {
        this->log("commit-not-applied", {{"end", toText(static_cast<std::uint64_t>(result.end))}, {"error", result.error}}, true);
    }
    std::vector<Row> rows;
    switch (this->chain.onCommitted(now, std::move(result), rows, this->actions)) {
    case ChainStep::Waiting:
        return;
    case ChainStep::Applied:
        this->onApplied(now);
        return;
    case ChainStep::Rejected:
        this->onRejected(now, rows);
        return;
    case ChainStep::Deposed:
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
        this->actions.emplace_back(ReadCell{this->options.cell});
        return;
    }
    for (const PendingAccept &accept : stored.accepts) {
        accept.job->isStored = true;
        this->jobs.emplace(accept.job->id, accept.job);
        this->queueJob(now, *accept.job);
        this->log("job-accepted", {{"job", accept.job->id.value}, {"queue", accept.job->terms.queue.value}});
        for (const CallId call : accept.calls) {
            this->answer(call, {SubmitVerdict::Accepted, {}, {}, {}});
        }
    }
    for (const EndpointName &name : stored.roster) {
        if (CellEndpoint *endpoint = this->findEndpoint(name)) {
            endpoint->isRostered = true;
        }
    }
    for (const auto &[id, state] : stored.progress) {
        for (auto &[name, endpoint] : this->endpoints) {
            const auto mark = stored.endMarks.find(name);
            if (mark != stored.endMarks.end()) {
                endpoint->settleEnds(id, mark->second);
                endpoint->nextHoldAt = std::min(endpoint->nextHoldAt, now);
            }
        }
        if (const std::shared_ptr<CellJob> job = this->findJob(id)) {
            job->storedState = state;
            if (isFinal(state)) {
                this->finishJob(now, id);
            }
        }
    }
    for (const JobId &id : stored.forgotten) {
        this->ended.erase(id);
    }
    if (stored.releases) {
        this->endLead("released", true);
        return;
    }
    this->pump(now);
    this->holdEndpoints(now);
    this->flush(now);
}

void CellLeader::onRejected(TimePoint now, const std::vector<Row> &rows)
{
    // Only the rows of job names have conditions of their own: such a job is stored already, by this cell or another.
    Batch rejected = std::exchange(this->batch, {});
    for (auto accept = rejected.accepts.rbegin(); accept != rejected.accepts.rend(); ++accept) {
        const auto row = std::ranges::find(rows, idKey(accept->job->id), &Row::key);
        if (row == rows.end() || row->version == RowVersion(0)) {
            this->pendingAccepts.push_front(std::move(*accept));
            continue;
        }
        this->log("job-known", {{"job", accept->job->id.value}, {"cell", row->value}});
        for (const CallId call : accept->calls) {
            this->answer(call, {SubmitVerdict::Accepted, {}, {}, {}});
        }
    }
    for (const auto &[id, state] : rejected.progress) {
        if (const std::shared_ptr<CellJob> job = this->findJob(id)) {
            job->isProgressDirty = false;
            this->noteProgress(now, *job);
        }
    }
    this->isRosterDirty = this->isRosterDirty || !rejected.roster.empty();
    this->flush(now);
}

void CellLeader::onRecovered(TimePoint now, CellContent content)
{
    if (this->phase != Phase::Recovering) {
        return;
    }
    std::unordered_map<JobId, JobProgress> progress;
    for (StoredProgress &entry : content.progress) {
        if (isFinal(entry.progress.state)) {
            this->ended.emplace(entry.id, EndedJob{entry.progress.state, now});
            continue;
        }
        progress.emplace(entry.id, std::move(entry.progress));
    }
    for (StoredJob &stored : content.jobs) {
        if (this->ended.contains(stored.id) || !findSpecFault(stored.spec).empty()) {
            continue;
        }
        auto job = std::make_shared<CellJob>(stored.id, std::move(stored.spec), std::move(stored.terms), now);
        job->isStored = true;
        job->restore(progress[stored.id]);
        if (job->isProgressDirty) {
            job->isProgressDirty = false;
            this->noteProgress(now, *job);
        }
        this->jobs.emplace(stored.id, std::move(job));
    }
    for (const EndpointRecord &record : content.roster) {
        this->unheard.insert(record.name);
        auto &endpoint = this->endpoints[record.name];
        if (!endpoint) {
            endpoint = std::make_unique<CellEndpoint>(record, this->options.lease);
            endpoint->isRegistered = false;
        }
        endpoint->isRostered = true;
    }
    this->phase = Phase::Leading;
    this->log("lead-taken", {{"token", toText(this->chain.token().value)},
                             {"jobs", toText(this->jobs.size())},
                             {"ended", toText(this->ended.size())},
                             {"roster", toText(content.roster.size())},
                             {"endpoints", toText(this->endpoints.size())}});
    this->isRosterDirty = std::ranges::any_of(this->endpoints, [](const auto &entry) { return !entry.second->isRostered; });
    this->advance(now);
}

void CellLeader::settleRecovery(TimePoint now)
{
    if (this->isRecoverySettled || this->phase != Phase::Leading) {
        return;
    }
    const auto longestLease = std::chrono::duration_cast<Duration>(this->options.lease.longest / LeaseTerms::SlowestClock);
    const bool areLapsed = now >= this->claimedAt + UnconfirmedLeadLimit + longestLease + RecoveryMargin;
    if (!this->unheard.empty() && !areLapsed) {
        return;
    }
    this->isRecoverySettled = true;
    this->log("recovery-settled", {{"unheard", toText(this->unheard.size())}, {"jobs", toText(this->jobs.size())}});
    this->unheard.clear();
    for (auto &[id, job] : this->jobs) {
        job->releaseUnaccounted();
        this->queueJob(now, *job);
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
            this->actions.emplace_back(ReadLead{leadKey(this->options.cell)});
        }
        return;
    }
    this->chain.advance(now, this->actions);
    if (this->phase != Phase::Leading) {
        return;
    }
    for (auto &[name, endpoint] : this->endpoints) {
        if (!endpoint->runs.empty() && endpoint->isLapsed(now)) {
            this->loseEndpoint(now, *endpoint, "lease-lapsed");
        }
        for (auto &[task, run] : endpoint->runs) {
            const bool isStopOwed = run.phase == RunPhase::Stopping || run.phase == RunPhase::Doubtful;
            if (isStopOwed && !run.isStopConfirmed && !run.isStopInFlight && now >= run.nextStopAt) {
                this->orderStop(now, *endpoint, task, run);
            }
        }
        this->stopStalledRuns(now, *endpoint);
    }
    this->settleRecovery(now);
    this->stopOrphans(now);
    this->refreshRanks(now);
    this->refuseHopeless(now);
    this->pump(now);
    this->holdEndpoints(now);
    this->flush(now);
}

bool CellLeader::isCommitDue(TimePoint now) const
{
    if (this->wantsRelease || !this->pendingAccepts.empty() || this->hasUrgentProgress || this->isRosterDirty) {
        return true;
    }
    if (!this->dirtyJobs.empty() && now >= this->dirtySince + ProgressDelay) {
        return true;
    }
    return now >= this->lastCommitAt + LeadRenewal;
}

void CellLeader::flush(TimePoint now)
{
    if (this->phase != Phase::Leading || !this->chain.isIdle() || !this->isCommitDue(now)) {
        return;
    }
    StoreTransaction transaction;
    this->addAccepts(transaction);
    this->addProgress(transaction);
    this->addRoster(transaction);
    this->addRemovals(now, transaction);
    this->batch.releases = this->wantsRelease && this->pendingAccepts.empty() && this->dirtyJobs.empty();
    this->lastCommitAt = now;
    this->chain.commit(now, std::move(transaction), this->batch.releases, this->actions);
}

void CellLeader::addAccepts(StoreTransaction &transaction)
{
    while (!this->pendingAccepts.empty() && this->batch.accepts.size() < MaxAcceptsPerTransaction) {
        PendingAccept accept = std::move(this->pendingAccepts.front());
        this->pendingAccepts.pop_front();
        const JobId &id = accept.job->id;
        transaction.conditions.push_back({idKey(id), RowVersion(0)});
        transaction.writes.push_back({idKey(id), this->options.cell.value});
        transaction.writes.push_back({jobKey(this->options.cell, id), encodeJob(*accept.job)});
        this->batch.accepts.push_back(std::move(accept));
    }
}

void CellLeader::addProgress(StoreTransaction &transaction)
{
    const std::size_t count = std::min(this->dirtyJobs.size(), MaxProgressPerTransaction);
    for (std::size_t number = 0; number < count; ++number) {
        const JobId &id = this->dirtyJobs[number];
        const std::shared_ptr<CellJob> job = this->findJob(id);
        if (!job) {
            continue;
        }
        job->isProgressDirty = false;
        transaction.writes.push_back({progressKey(this->options.cell, id), encodeProgress(job->progress())});
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
            this->batch.endMarks.emplace(name, endpoint->lastListedEnd());
        }
    }
}

void CellLeader::addRemovals(TimePoint now, StoreTransaction &transaction)
{
    if (!this->batch.accepts.empty() || !this->batch.progress.empty()) {
        return; // Such a transaction is waited for.
    }
    for (const auto &[id, job] : this->ended) {
        if (this->batch.forgotten.size() == MaxRemovalsPerTransaction) {
            return;
        }
        if (job.endedAt + EndedJobRetention < now) {
            transaction.removals.push_back(progressKey(this->options.cell, id));
            transaction.removals.push_back(idKey(id));
            this->batch.forgotten.push_back(id);
        }
    }
}

void CellLeader::addRoster(StoreTransaction &transaction)
{
    if (!this->isRosterDirty) {
        return;
    }
    this->isRosterDirty = false;
    std::vector<EndpointRecord> roster;
    for (const auto &[name, endpoint] : this->endpoints) {
        roster.push_back(endpoint->record);
        this->batch.roster.push_back(name);
    }
    transaction.writes.push_back({rosterKey(this->options.cell), encodeRoster(roster)});
}

void CellLeader::noteProgress(TimePoint now, CellJob &job)
{
    assert(!job.spec.isBestEffort);
    job.isProgressDirty = true;
    if (std::ranges::find(this->dirtyJobs, job.id) == this->dirtyJobs.end()) {
        if (this->dirtyJobs.empty()) {
            this->dirtySince = now;
        }
        this->dirtyJobs.push_back(job.id);
    }
    this->hasUrgentProgress = this->hasUrgentProgress || isFinal(job.state);
}

void CellLeader::finishJob(TimePoint now, const JobId &id)
{
    const std::shared_ptr<CellJob> job = this->findJob(id);
    assert(job && isFinal(job->state));
    this->logEnd(now, *job);
    this->ended.emplace(id, EndedJob{job->state, now});
    if (const auto calls = this->cancelCalls.find(id); calls != this->cancelCalls.end()) {
        for (const CallId call : calls->second) {
            this->actions.emplace_back(AnswerCancel{call, {JobAnswer::Kind::Known, job->state}});
        }
        this->cancelCalls.erase(calls);
    }
    this->unqueueJob(*job);
    this->jobs.erase(id);
}

void CellLeader::logEnd(TimePoint now, const CellJob &job)
{
    const auto took = std::chrono::duration_cast<std::chrono::milliseconds>(now - job.acceptedAt).count();
    this->log("job-ended", {{"job", job.id.value},
                            {"queue", job.terms.queue.value},
                            {"state", std::string(toString(job.state))},
                            {"took_ms", toText(static_cast<std::uint64_t>(took))}});
}

void CellLeader::endLead(std::string reason, bool wasReleased)
{
    if (this->phase == Phase::Ended) {
        return;
    }
    this->phase = Phase::Ended;
    this->log("lead-ended", {{"reason", reason}}, !wasReleased);
    const auto answerUnknown = [this](const PendingAccept &accept) {
        for (const CallId call : accept.calls) {
            this->answer(call, {SubmitVerdict::Refused, std::string(MovedReason), {}, {}});
        }
    };
    std::ranges::for_each(this->batch.accepts, answerUnknown);
    for (const PendingAccept &accept : this->pendingAccepts) {
        for (const CallId call : accept.calls) {
            this->answer(call, {SubmitVerdict::Refused, std::string(NotLeadingReason), {}, {}});
        }
    }
    for (const auto &[id, call] : this->bestEffortCalls) {
        this->answer(call, {SubmitVerdict::Refused, std::string(MovedReason), {}, {}});
    }
    for (const auto &[id, calls] : this->cancelCalls) {
        for (const CallId call : calls) {
            this->actions.emplace_back(AnswerCancel{call, {JobAnswer::Kind::Unknown, JobState::Queued}});
        }
    }
    this->actions.emplace_back(LeadEnded{this->options.cell, std::move(reason), wasReleased});
}

CellLeader::PendingAccept *CellLeader::findPending(const JobId &id)
{
    const auto isSame = [&id](const PendingAccept &pending) { return pending.job->id == id; };
    const auto queued = std::ranges::find_if(this->pendingAccepts, isSame);
    if (queued != this->pendingAccepts.end()) {
        return &*queued;
    }
    const auto sent = std::ranges::find_if(this->batch.accepts, isSame);
    return sent == this->batch.accepts.end() ? nullptr : &*sent;
}

std::shared_ptr<CellJob> CellLeader::findJob(const JobId &id) const
{
    const auto found = this->jobs.find(id);
    return found == this->jobs.end() ? nullptr : found->second;
}

void CellLeader::answer(CallId call, SubmitAnswer submitAnswer)
{
    this->actions.emplace_back(AnswerSubmission{call, std::move(submitAnswer)});
}

void CellLeader::log(std::string event, std::vector<std::pair<std::string, std::string>> fields, bool isWarning)
{
    fields.emplace_back("cell", this->options.cell.value);
    this->actions.emplace_back(LogDecision{std::move(event), std::move(fields), isWarning});
}

} // namespace Tanagertally::Cells
