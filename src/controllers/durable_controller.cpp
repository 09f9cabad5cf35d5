#include "controllers/durable_controller.h"

#include "controllers/key_type.h"

namespace Tanagertally {

namespace {

constexpr Duration WriteTimeout = std::chrono::seconds(2);
constexpr Duration RetryInterval = std::chrono::milliseconds(500);
constexpr Duration DefaultRetryAfter = std::chrono::seconds(1);
constexpr std::uint32_t MarkStep = 64; // tasks

std::vector<TableRow> rowsIn(const CommitResult &result)
{
    const auto *failed = std::get_if<ConditionFailed>(&result);
    return failed == nullptr ? std::vector<TableRow>() : failed->rows;
}

/** @return A refusal that allows a retry, with the verdict that tasks may have run. */
Refusal refusalOf(ErrorCode code, std::string message)
{
    return Refusal{makeError(code, std::move(message)), Verdict::MayHaveRun, DefaultRetryAfter};
}

RowVersion versionOf(const std::vector<TableRow> &rows, const RowKey &key)
{
    for (const TableRow &row : rows) {
        if (row.key == key) {
            return row.version;
        }
    }
    return RowVersion();
}

} // namespace

DurableController::DurableController(Blackboard &board, Outbox &outbox, PlatformCalls &platform, GroupCommit &commits,
                                     ClaimController &claims, JobController &jobs, ReplySender &replies, StartLease &lease)
    : board(board)
    , outbox(outbox)
    , platform(platform)
    , commits(commits)
    , claims(claims)
    , jobs(jobs)
    , replies(replies)
    , lease(lease)
{
    this->jobs.setDurableAnswerHandler([this](JobRecord &job, std::shared_ptr<const JobAnswer> answer) {
        DurableJob *durable = this->find(job.id);
        if (durable == nullptr) {
            return;
        }
        durable->answer = std::move(answer);
        if (!durable->accepted && job.deadline <= this->board.now) {
            this->jobs.refuseWaiters(job, refusalOf(ErrorCode::Unavailable, "the platform did not confirm the job"));
        }
        this->recordAnswer(job.id);
    });
}

void DurableController::setMayBeDurableHandler(std::function<void(const TeamKey &)> handler)
{
    this->mayBeDurableHandler = std::move(handler);
}

void DurableController::discardAll()
{
    std::vector<JobId> held;
    for (const auto &[id, durable] : this->durables) {
        held.push_back(id);
    }
    std::sort(held.begin(), held.end());
    for (const JobId id : held) {
        this->discardLostJob(id);
    }
}

DurableController::DurableJob *DurableController::find(JobId job)
{
    const auto found = this->durables.find(job);
    return found == this->durables.end() ? nullptr : &found->second;
}

void DurableController::accept(NewJob job, const ReplyTarget &target, ElsewhereHandler elsewhere)
{
    job.authority = StartAuthority::DurableClaim;
    JobRecord &record = this->jobs.add(std::move(job));
    DurableJob &durable = this->durables[record.id];
    durable.row.team = record.team;
    durable.row.key = record.key;
    durable.row.holder = this->claims.ownHolder();
    durable.row.job = jobObjectName(this->board.identity.incarnation, record.id);
    durable.acceptWaiters.push_back(target);
    durable.elsewhere = std::move(elsewhere);
    this->storeJob(record.id);
}

void DurableController::storeJob(JobId job)
{
    const DurableJob &durable = this->durables.at(job);
    ObjectPut put{durable.row.job, encodeJob(this->board.jobs.find(job)->spec)};
    this->platform.send(std::move(put), WriteTimeout, [this, job](const PlatformReply &reply) {
        DurableJob *durableJob = this->find(job);
        if (durableJob == nullptr) {
            return;
        }
        if (std::holds_alternative<ObjectStored>(reply)) {
            this->insertRows(job);
            return;
        }
        this->onNotAccepted(job, "the platform's object store can't be reached");
    });
}

void DurableController::insertRows(JobId job)
{
    DurableJob &durable = this->durables.at(job);
    const TeamKey name{durable.row.team, durable.row.key};
    const RowKey claimKey = claimRowKey(name);
    const RowKey rowKey = durableRowKey(durable.row.holder.domain, name);
    const bool idempotent = isIdempotent(this->board, this->board.jobs.find(job)->spec);
    CommitOp op;
    op.conditions = {RowCondition{claimKey, RowVersion()}, RowCondition{rowKey, RowVersion()}};
    op.writes
        = {RowWrite{claimKey, encodeRow(ClaimRow{durable.row.holder, true, idempotent, false})}, RowWrite{rowKey, encodeRow(durable.row)}};
    op.onDone = [this, job](const CommitResult &result) { this->onInserted(job, result); };
    this->commits.submit(std::move(op));
}

void DurableController::onInserted(JobId job, const CommitResult &result)
{
    DurableJob *durable = this->find(job);
    if (durable == nullptr) {
        return;
    }
    const RowKey rowKey = durableRowKey(durable->row.holder.domain, TeamKey{durable->row.team, durable->row.key});
    if (const auto *committed = std::get_if<Committed>(&result)) {
        this->onAccepted(job, versionOf(committed->rows, rowKey));
        return;
    }
    if (std::holds_alternative<ConditionFailed>(result)) {
        this->resolveInsert(job, rowsIn(result));
        return;
    }
    const auto &unavailable = std::get<PlatformUnavailable>(result);
    if (!unavailable.mayHaveTakenEffect) {
        this->onNotAccepted(job, unavailable.message);
        return;
    }
    this->mayBeDurableHandler(TeamKey{durable->row.team, durable->row.key});
    this->refuseAccept(*durable, refusalOf(ErrorCode::Unavailable, "the platform did not confirm the write"));
    this->retries.add(this->board.now, Retry{job, Step::Insert});
}

RowVersion DurableController::ownRowVersion(const DurableJob &durable, const std::vector<TableRow> &rows) const
{
    const RowKey rowKey = durableRowKey(durable.row.holder.domain, TeamKey{durable.row.team, durable.row.key});
    for (const TableRow &row : rows) {
        if (row.key != rowKey || row.version == RowVersion()) {
            continue;
        }
        const Result<DurableJobRow> current = decodeRow<DurableJobRow>(row.value);
        if (current && current.value().holder.incarnation == this->board.identity.incarnation && current.value().job == durable.row.job) {
            return row.version;
        }
    }
    return RowVersion();
}

void DurableController::resolveInsert(JobId job, const std::vector<TableRow> &rows)
{
    DurableJob &durable = this->durables.at(job);
    const RowVersion own = this->ownRowVersion(durable, rows);
    if (own != RowVersion()) {
        this->onAccepted(job, own);
        return;
    }
    const RowKey claimKey = claimRowKey(TeamKey{durable.row.team, durable.row.key});
    ClaimOutcome outcome = ClaimUnknown{"the key is in use"};
    for (const TableRow &row : rows) {
        const Result<ClaimRow> claim = decodeRow<ClaimRow>(row.value);
        if (row.key == claimKey && row.version != RowVersion() && claim) {
            outcome = ClaimElsewhere{claim.value(), row.version};
        }
    }
    const ElsewhereHandler elsewhere = durable.elsewhere;
    std::vector<ReplyTarget> targets;
    targets.swap(durable.acceptWaiters);
    this->discard(job, refusalOf(ErrorCode::HomeUnreachable, "another instance holds the key; ask again"));
    for (const ReplyTarget &target : targets) {
        elsewhere(outcome, target);
    }
}

void DurableController::readBackRows(JobId job)
{
    const DurableJob &durable = this->durables.at(job);
    const TeamKey name{durable.row.team, durable.row.key};
    TableRead read;
    read.keys = {claimRowKey(name), durableRowKey(durable.row.holder.domain, name)};
    this->platform.send(std::move(read), WriteTimeout, [this, job](const PlatformReply &reply) {
        const auto *rows = std::get_if<RowsRead>(&reply);
        if (this->find(job) == nullptr) {
            return;
        }
        if (rows == nullptr) {
            this->retries.add(this->board.now + RetryInterval, Retry{job, Step::Insert});
            return;
        }
        if (rows->rows.empty()) {
            this->insertRows(job);
            return;
        }
        this->resolveInsert(job, rows->rows);
    });
}

void DurableController::onAccepted(JobId job, RowVersion rowVersion)
{
    DurableJob &durable = this->durables.at(job);
    durable.accepted = true;
    durable.rowVersion = rowVersion;
    this->mayBeDurableHandler(TeamKey{durable.row.team, durable.row.key});
    this->lease.activate();
    this->outbox.log("job-accepted", {{"key", durable.row.key.value}, {"team", durable.row.team.value}});
    for (const ReplyTarget &target : durable.acceptWaiters) {
        this->replies.send(target, JobAccepted{durable.row.key});
    }
    durable.acceptWaiters.clear();
    if (durable.answer != nullptr) {
        this->recordAnswer(job);
        return;
    }
    this->moveMark(*this->board.jobs.find(job), durable);
}

void DurableController::reply(JobRecord &job, SubmitMode mode, const ReplyTarget &target)
{
    DurableJob *durable = this->find(job.id);
    if (mode == SubmitMode::Wait) {
        this->jobs.replyWhenAnswered(job, target);
        return;
    }
    if (durable == nullptr || durable->accepted) {
        this->replies.send(target, JobAccepted{job.key});
        return;
    }
    durable->acceptWaiters.push_back(target);
}

void DurableController::refuseAccept(DurableJob &durable, const Refusal &refusal)
{
    std::vector<ReplyTarget> waiters;
    waiters.swap(durable.acceptWaiters);
    for (const ReplyTarget &target : waiters) {
        this->replies.refuse(target, refusal.error, refusal.verdict, refusal.retryAfter);
    }
}

void DurableController::onNotAccepted(JobId job, const std::string &message)
{
    Refusal refusal = refusalOf(ErrorCode::Unavailable, message);
    refusal.verdict = hasIssuedForm(this->durables.at(job).row.key) ? Verdict::NotRun : Verdict::MayHaveRun;
    this->discard(job, refusal);
}

void DurableController::discardLostJob(JobId job)
{
    this->outbox.log("job-lost", {{"key", this->durables.at(job).row.key.value}});
    this->discard(job, refusalOf(ErrorCode::HomeUnreachable, "another instance took the job over"));
}

void DurableController::discard(JobId job, const Refusal &refusal)
{
    this->refuseAccept(this->durables.at(job), refusal);
    this->durables.erase(job);
    this->jobs.discard(job, refusal);
}

void DurableController::advanceMarks()
{
    for (const JobId id : this->board.jobsToCheck) {
        DurableJob *durable = this->find(id);
        JobRecord *job = this->board.jobs.find(id);
        if (job != nullptr && durable != nullptr && durable->accepted && durable->answer == nullptr) {
            this->moveMark(*job, *durable);
        }
    }
}

void DurableController::moveMark(JobRecord &job, DurableJob &durable)
{
    const auto count = static_cast<std::uint32_t>(job.tasks.size());
    const std::uint32_t begun = job.running + job.ended;
    const bool enough = job.startLimit >= count || job.startLimit > begun + MarkStep / 2;
    if (enough || job.failing || durable.writing) {
        return;
    }
    const std::uint32_t mark = std::min(count, job.startLimit + MarkStep);
    DurableJobRow row = durable.row;
    row.mark = mark;
    const RowKey rowKey = durableRowKey(row.holder.domain, TeamKey{row.team, row.key});
    durable.writing = true;
    CommitOp op;
    op.conditions = {RowCondition{rowKey, durable.rowVersion}};
    op.writes = {RowWrite{rowKey, encodeRow(row)}};
    op.onDone = [this, id = job.id, mark](const CommitResult &result) { this->onMarkMoved(id, mark, result); };
    this->commits.submit(std::move(op));
}

void DurableController::onMarkMoved(JobId job, std::uint32_t mark, const CommitResult &result)
{
    DurableJob *durable = this->find(job);
    JobRecord *record = this->board.jobs.find(job);
    if (durable == nullptr || record == nullptr) {
        return;
    }
    const RowKey rowKey = durableRowKey(durable->row.holder.domain, TeamKey{durable->row.team, durable->row.key});
    durable->writing = false;
    if (std::holds_alternative<PlatformUnavailable>(result)) {
        durable->writing = true;
        this->retries.add(this->board.now + RetryInterval, Retry{job, Step::Mark});
        return;
    }
    if (const auto *committed = std::get_if<Committed>(&result)) {
        durable->rowVersion = versionOf(committed->rows, rowKey);
    } else {
        const RowVersion own = this->ownRowVersion(*durable, rowsIn(result));
        if (own == RowVersion()) {
            this->discardLostJob(job);
            return;
        }
        durable->rowVersion = own;
        if (durable->answer != nullptr) {
            this->recordAnswer(job);
            return;
        }
        this->moveMark(*record, *durable);
        return;
    }
    durable->row.mark = mark;
    if (durable->answer != nullptr) {
        this->recordAnswer(job);
        return;
    }
    if (!record->failing) {
        this->jobs.start(*record, mark);
    }
}

void DurableController::recordAnswer(JobId job)
{
    DurableJob *durable = this->find(job);
    if (durable == nullptr || durable->answer == nullptr || durable->writing || !durable->accepted) {
        return;
    }
    durable->writing = true;
    if (durable->answerStored) {
        this->writeAnsweredRow(job);
        return;
    }
    durable->row.answer = answerObjectName(this->board.identity.incarnation, job);
    ObjectPut put{durable->row.answer, encodeAnswer(*durable->answer)};
    this->platform.send(std::move(put), WriteTimeout, [this, job](const PlatformReply &reply) {
        DurableJob *durableJob = this->find(job);
        if (durableJob == nullptr) {
            return;
        }
        if (!std::holds_alternative<ObjectStored>(reply)) {
            this->retries.add(this->board.now + RetryInterval, Retry{job, Step::Answer});
            return;
        }
        durableJob->answerStored = true;
        this->writeAnsweredRow(job);
    });
}

void DurableController::writeAnsweredRow(JobId job)
{
    DurableJob &durable = this->durables.at(job);
    durable.row.state = DurableState::Answered;
    const RowKey rowKey = durableRowKey(durable.row.holder.domain, TeamKey{durable.row.team, durable.row.key});
    CommitOp op;
    op.conditions = {RowCondition{rowKey, durable.rowVersion}};
    op.writes = {RowWrite{rowKey, encodeRow(durable.row)}};
    op.onDone = [this, job](const CommitResult &result) { this->onAnswerRecorded(job, result); };
    this->commits.submit(std::move(op));
}

void DurableController::onAnswerRecorded(JobId job, const CommitResult &result)
{
    DurableJob *durable = this->find(job);
    if (durable == nullptr) {
        return;
    }
    if (std::holds_alternative<PlatformUnavailable>(result)) {
        this->retries.add(this->board.now + RetryInterval, Retry{job, Step::Answer});
        return;
    }
    if (std::holds_alternative<ConditionFailed>(result)) {
        const std::vector<TableRow> rows = rowsIn(result);
        const RowVersion own = this->ownRowVersion(*durable, rows);
        if (own == RowVersion()) {
            this->discardLostJob(job);
            return;
        }
        durable->rowVersion = own;
        this->retries.add(this->board.now, Retry{job, Step::Answer});
        return;
    }
    const std::shared_ptr<const JobAnswer> answer = durable->answer;
    this->durables.erase(job);
    this->jobs.publish(*this->board.jobs.find(job), answer);
}

void DurableController::adopt(const AdoptedJob &adopted)
{
    const TeamKey name{adopted.row.team, adopted.row.key};
    JobRecord &record = this->jobs.add(NewJob{adopted.row.key, adopted.row.team, adopted.spec, StartAuthority::DurableClaim});
    const JobId id = record.id;
    DurableJob &durable = this->durables[id];
    durable.row = adopted.row;
    durable.row.holder = this->claims.ownHolder();
    durable.writing = true;
    const RowKey rowKey = durableRowKey(durable.row.holder.domain, name);
    const RowKey claimKey = claimRowKey(name);
    const bool idempotent = isIdempotent(this->board, record.spec);
    CommitOp op;
    op.conditions = {RowCondition{claimKey, adopted.claimVersion}, RowCondition{rowKey, adopted.rowVersion}};
    op.writes
        = {RowWrite{claimKey, encodeRow(ClaimRow{durable.row.holder, true, idempotent, false})}, RowWrite{rowKey, encodeRow(durable.row)}};
    op.onDone = [this, id, rowKey](const CommitResult &result) {
        const auto *committed = std::get_if<Committed>(&result);
        JobRecord *job = this->board.jobs.find(id);
        if (job == nullptr) {
            return;
        }
        if (committed == nullptr) {
            this->discardLostJob(id);
            return;
        }
        DurableJob &adoptedJob = this->durables.at(id);
        adoptedJob.writing = false;
        const std::uint32_t mark = std::min(adoptedJob.row.mark, static_cast<std::uint32_t>(job->tasks.size()));
        this->outbox.log("job-adopted", {{"key", job->key.value}, {"mark", std::to_string(mark)}});
        for (std::uint32_t task = 0; task < mark; ++task) {
            if (!isIdempotent(this->board, job->spec.tasks[task].kind)) {
                endTask(this->board, *job, task,
                        TaskAnswer{Verdict::MayHaveRun, false, nullptr, "its instance died after it may have started"});
                continue;
            }
            job->tasks[task].answer.verdict = Verdict::MayHaveRun;
        }
        this->jobs.start(*job, mark);
        this->onAccepted(id, versionOf(committed->rows, rowKey));
    };
    this->commits.submit(std::move(op));
}

void DurableController::advance()
{
    while (const std::optional<Retry> retry = this->retries.popDue(this->board.now)) {
        DurableJob *durable = this->find(retry->job);
        if (durable == nullptr) {
            continue;
        }
        switch (retry->step) {
        case Step::Insert:
            this->readBackRows(retry->job);
            break;
        case Step::Mark:
            durable->writing = false;
            if (durable->answer != nullptr) {
                this->recordAnswer(retry->job);
            } else {
                this->moveMark(*this->board.jobs.find(retry->job), *durable);
            }
            break;
        case Step::Answer:
            durable->writing = false;
            this->recordAnswer(retry->job);
            break;
        }
    }
}

TimePoint DurableController::nextDeadline() const
{
    return this->retries.next();
}

} // namespace Tanagertally
