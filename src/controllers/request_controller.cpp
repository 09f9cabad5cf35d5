#include "controllers/request_controller.h"

#include "controllers/admission_func.h"

namespace Tanagertally {

namespace {

constexpr Duration StoppedComeBack = std::chrono::milliseconds(100);
constexpr Duration ComeBack = std::chrono::seconds(1);
constexpr Duration ForwardGrace = std::chrono::seconds(1);
constexpr Duration QuestionTimeout = std::chrono::seconds(5);
constexpr Duration AnswerTimeout = std::chrono::seconds(60);

/** @return What a submission asks about a job that is held elsewhere. */
JobQuestion::Kind questionOf(const Submission &submission)
{
    return submission.job.mode == SubmitMode::Later ? JobQuestion::Kind::State : JobQuestion::Kind::Answer;
}

} // namespace

RequestController::RequestController(Blackboard &board, ReplySender &replies, KeyController &keys, ForwardController &forwards,
                                     ClaimController &claims, DurableController &durables, JobController &jobs, PlatformCalls &platform)
    : board(board)
    , replies(replies)
    , keys(keys)
    , forwards(forwards)
    , claims(claims)
    , durables(durables)
    , jobs(jobs)
    , platform(platform)
{
    this->durables.onMayBeDurable([this](const TeamKey &name) { this->markIssuedUsed(name); });
}

void RequestController::markIssuedUsed(const TeamKey &name)
{
    if (!hasIssuedForm(name.key)) {
        return;
    }
    const Result<IssuedKey> key = parseIssuedKey(name.key);
    const bool own = key && key.value().incarnation == this->board.identity.incarnation;
    if (own && this->keys.state(key.value(), name.team) == KeyState::Unused) {
        this->keys.markUsed(key.value());
    }
}

Duration RequestController::comeBack() const
{
    return this->board.lifecycle.state() == InstanceState::Learning ? ComeBack : StoppedComeBack;
}

void RequestController::handle(const KeysRequested &request)
{
    if (this->board.lifecycle.state() != InstanceState::Serving) {
        this->replies.refuse(request.request, makeError(ErrorCode::Stopping, "this instance takes no new work"), Verdict::NotRun,
                             this->comeBack());
        return;
    }
    if (request.count < 1 || request.count > MaxKeysPerCall) {
        this->replies.refuse(request.request, makeError(ErrorCode::BadInput, "1 to 1000 keys are issued in one call", "count"),
                             Verdict::NotRun);
        return;
    }
    this->replies.send(request.request, KeysIssued{this->keys.issue(request.team, request.count), KeyLifetime});
}

bool RequestController::refuseIfNotServing(const Submission &submission)
{
    if (this->board.lifecycle.state() == InstanceState::Serving) {
        return false;
    }
    const Verdict verdict = submission.key.empty() ? Verdict::NotRun : Verdict::MayHaveRun;
    this->replies.refuse(submission.target, makeError(ErrorCode::Stopping, "this instance takes no new work"), verdict, this->comeBack());
    return true;
}

bool RequestController::refuseIfStopped(const ReplyTarget &target, const TeamKey &name)
{
    if (this->board.lifecycle.state() != InstanceState::Stopped) {
        return false;
    }
    const JobRecord *job = this->board.jobs.find(name);
    if (job != nullptr && job->answer != nullptr) {
        return false;
    }
    const Verdict verdict = name.key.empty() ? Verdict::NotRun : Verdict::MayHaveRun;
    this->replies.refuse(target, makeError(ErrorCode::Stopping, "this instance is about to exit; ask again"), verdict, StoppedComeBack);
    return true;
}

void RequestController::submit(Submission submission)
{
    if (this->refuseIfStopped(submission.target, TeamKey{submission.team, submission.key})) {
        return;
    }
    if (submission.key.empty()) {
        if (this->refuseIfNotServing(submission)) {
            return;
        }
        submission.key = this->keys.issue(submission.team, 1).front();
    }
    if (!hasIssuedForm(submission.key)) {
        this->submitOwn(std::move(submission));
        return;
    }
    const Result<IssuedKey> key = parseIssuedKey(submission.key);
    if (!key) {
        this->replies.refuse(submission.target, key.error(), Verdict::NotRun);
        return;
    }
    this->submitIssued(std::move(submission), key.value());
}

void RequestController::submitIssued(Submission submission, const IssuedKey &key)
{
    if (key.incarnation != this->board.identity.incarnation) {
        const bool goneForGood = submission.origin == RequestOrigin::Peer || key.address == this->board.identity.peerAddress;
        if (goneForGood) {
            const JobQuestion::Kind kind = questionOf(submission);
            const Error error = makeError(ErrorCode::HomeLost, "the instance that held this key is gone", "key");
            this->askWithoutHome(JobQuestion{submission.target, submission.origin, submission.team, submission.key, kind, false},
                                 Refusal{error, Verdict::MayHaveRun, std::nullopt});
            return;
        }
        this->forward(std::move(submission), HomeAddress{key.address, key.incarnation});
        return;
    }
    JobRecord *job = this->board.jobs.find(TeamKey{submission.team, submission.key});
    if (job != nullptr) {
        this->resubmitted(*job, submission);
        return;
    }
    switch (this->keys.state(key, submission.team)) {
    case KeyState::Forged:
        this->replies.refuse(submission.target, makeError(ErrorCode::BadInput, "this key was not issued to this team", "key"),
                             Verdict::NotRun);
        return;
    case KeyState::Unused:
        this->submitUnusedIssued(std::move(submission), key);
        return;
    case KeyState::Used:
        this->askWithoutHome(
            JobQuestion{submission.target, RequestOrigin::Peer, submission.team, submission.key, questionOf(submission), true},
            Refusal{makeError(ErrorCode::NotFound, "the job was answered and its answer is no longer kept", "key"), Verdict::MayHaveRun,
                    std::nullopt});
        return;
    case KeyState::Closed:
        this->replies.refuse(submission.target,
                             makeError(ErrorCode::NotFound, "the key expired or was cancelled unused; ask for a fresh one", "key"),
                             Verdict::NotRun);
        return;
    case KeyState::Forgotten:
        this->replies.refuse(submission.target, makeError(ErrorCode::NotFound, "the key is too old for anything to be known of it", "key"),
                             Verdict::MayHaveRun);
        return;
    }
}

void RequestController::submitUnusedIssued(Submission submission, const IssuedKey &key)
{
    if (this->board.lifecycle.state() != InstanceState::Serving) {
        this->replies.refuse(submission.target, makeError(ErrorCode::Stopping, "this instance takes no new work"), Verdict::NotRun,
                             this->comeBack());
        return;
    }
    if (const std::optional<Error> error = checkJob(this->board, submission.job)) {
        this->replies.refuse(submission.target, *error, Verdict::NotRun);
        return;
    }
    if (const std::optional<AdmissionRefusal> refusal = checkAdmission(this->board, submission.team, submission.job)) {
        this->replies.refuse(submission.target, refusal->error, Verdict::NotRun, refusal->retryAfter);
        return;
    }
    if (submission.job.mode == SubmitMode::Later) {
        this->startDurable(submission);
        return;
    }
    this->keys.markUsed(key);
    this->startHere(std::move(submission), StartAuthority::IssuedKey, Verdict::NotRun);
}

void RequestController::startHere(Submission submission, StartAuthority authority, Verdict before)
{
    JobRecord &job = this->jobs.add(NewJob{submission.key, submission.team, std::move(submission.job), authority});
    job.waiters.push_back(submission.target);
    for (TaskRecord &task : job.tasks) {
        task.answer.verdict = before;
    }
    this->jobs.start(job);
}

void RequestController::startDurable(const Submission &submission)
{
    const ReplyTarget target = submission.target;
    NewJob job{submission.key, submission.team, submission.job, StartAuthority::DurableClaim};
    this->durables.accept(std::move(job), target, [this, submission](const ClaimOutcome &outcome, const ReplyTarget &waiting) {
        Submission again = submission;
        again.target = waiting;
        if (const auto *elsewhere = std::get_if<ClaimElsewhere>(&outcome)) {
            this->ownKeyElsewhere(std::move(again), *elsewhere);
            return;
        }
        this->replies.refuse(waiting, makeError(ErrorCode::Conflict, "the key is in use", "key"), Verdict::MayHaveRun, ComeBack);
    });
}

void RequestController::resubmitted(JobRecord &job, const Submission &submission)
{
    if (job.digest != digestOf(submission.job)) {
        const Verdict verdict = job.answer == nullptr ? verdictOf(job) : verdictOf(*job.answer);
        this->replies.refuse(submission.target, makeError(ErrorCode::Conflict, "the key stands for another job", "key"),
                             combine(verdict, Verdict::MayHaveRun));
        return;
    }
    this->durables.reply(job, submission.job.mode, submission.target);
}

void RequestController::forward(Submission submission, const HomeAddress &home)
{
    const Duration within = submission.job.timeout + ForwardGrace;
    const JobQuestion::Kind kind = questionOf(submission);
    const JobQuestion question{submission.target, submission.origin, submission.team, submission.key, kind, false};
    ForwardedSubmit message{ForwardId(), std::move(submission.team), std::move(submission.key), std::move(submission.job)};
    this->forwards.forward(home, submission.target, std::move(message), within,
                           [this, question](const Refusal &refusal) { this->askWithoutHome(question, refusal); });
}

void RequestController::askWithoutHome(const JobQuestion &question, const Refusal &refusal)
{
    JobQuestion lastTry = question;
    lastTry.isLastTry = true;
    this->claims.lookUp(TeamKey{question.team, question.key}, [this, question = lastTry, refusal](const ClaimOutcome &outcome) {
        const auto *claim = std::get_if<ClaimElsewhere>(&outcome);
        if (claim != nullptr && claim->row.durable) {
            this->askDurable(question, *claim);
            return;
        }
        this->replies.refuse(question.target, refusal.error, refusal.verdict, refusal.retryAfter);
    });
}

void RequestController::submitOwn(Submission submission)
{
    if (const std::optional<Error> error = checkOwnKey(submission.key)) {
        this->replies.refuse(submission.target, *error, Verdict::NotRun);
        return;
    }
    const TeamKey name{submission.team, submission.key};
    JobRecord *job = this->board.jobs.find(name);
    if (job != nullptr) {
        this->resubmitted(*job, submission);
        return;
    }
    if (this->jobs.wasForgotten(name)) {
        this->replies.refuse(submission.target,
                             makeError(ErrorCode::NotFound, "the job was answered and its answer is no longer kept", "key"),
                             Verdict::MayHaveRun);
        return;
    }
    if (this->refuseIfNotServing(submission)) {
        return;
    }
    if (const std::optional<Error> error = checkJob(this->board, submission.job)) {
        this->replies.refuse(submission.target, *error, Verdict::MayHaveRun);
        return;
    }
    if (this->claims.isBacklogged()) {
        this->replies.refuse(submission.target, makeError(ErrorCode::Overloaded, "too many claims wait for the platform's table"),
                             Verdict::MayHaveRun, ComeBack);
        return;
    }
    if (submission.job.mode == SubmitMode::Later) {
        this->startDurable(submission);
        return;
    }
    const bool idempotent = isIdempotent(this->board, submission.job);
    std::vector<Submission> &waiting = this->claiming[name];
    waiting.push_back(std::move(submission));
    if (waiting.size() > 1) {
        return;
    }
    this->claims.claim(name, idempotent, RowVersion(), [this, name](const ClaimOutcome &outcome) {
        std::vector<Submission> claimed;
        claimed.swap(this->claiming[name]);
        this->claiming.erase(name);
        for (Submission &one : claimed) {
            this->ownKeyClaimed(std::move(one), outcome);
        }
    });
}

void RequestController::ownKeyClaimed(Submission submission, const ClaimOutcome &outcome)
{
    if (const auto *elsewhere = std::get_if<ClaimElsewhere>(&outcome)) {
        this->ownKeyElsewhere(std::move(submission), *elsewhere);
        return;
    }
    if (const auto *unknown = std::get_if<ClaimUnknown>(&outcome)) {
        const std::string reason = unknown->message.empty() ? "the claim was not confirmed" : unknown->message;
        this->replies.refuse(submission.target, makeError(ErrorCode::Unavailable, reason), Verdict::MayHaveRun, ComeBack);
        return;
    }
    JobRecord *job = this->board.jobs.find(TeamKey{submission.team, submission.key});
    if (job != nullptr) {
        this->resubmitted(*job, submission);
        return;
    }
    const Verdict before = std::get<ClaimHeld>(outcome).takenOver ? Verdict::MayHaveRun : Verdict::NotRun;
    if (const std::optional<AdmissionRefusal> refusal = checkAdmission(this->board, submission.team, submission.job)) {
        this->replies.refuse(submission.target, refusal->error, before, refusal->retryAfter);
        return;
    }
    this->startHere(std::move(submission), StartAuthority::Claim, before);
}

bool RequestController::isKnownGone(const ClaimHolder &holder) const
{
    if (holder.address == this->board.identity.peerAddress) {
        return holder.incarnation != this->board.identity.incarnation;
    }
    const auto &peers = this->board.peers.all();
    return std::any_of(peers.begin(), peers.end(), [&](const auto &entry) {
        const InstanceIdentity &identity = entry.second.identity;
        return identity.peerAddress == holder.address && identity.incarnation != holder.incarnation;
    });
}

void RequestController::ownKeyElsewhere(Submission submission, const ClaimElsewhere &claim)
{
    const ClaimHolder &holder = claim.row.holder;
    if (!this->isKnownGone(holder)) {
        if (submission.origin == RequestOrigin::Peer) {
            this->replies.refuse(submission.target, makeError(ErrorCode::HomeUnreachable, "the key changed its home; ask again", "key"),
                                 Verdict::MayHaveRun, ComeBack);
            return;
        }
        this->forward(std::move(submission), HomeAddress{holder.address, holder.incarnation});
        return;
    }
    if (claim.row.durable) {
        this->replies.refuse(submission.target,
                             makeError(ErrorCode::HomeUnreachable, "the job is being recovered from an instance that died", "key"),
                             Verdict::MayHaveRun, ComeBack);
        return;
    }
    const bool repeatable = claim.row.idempotent && isIdempotent(this->board, submission.job);
    if (!repeatable) {
        this->replies.refuse(submission.target, makeError(ErrorCode::HomeLost, "the instance that held this key is gone", "key"),
                             Verdict::MayHaveRun);
        return;
    }
    const TeamKey name{submission.team, submission.key};
    this->claims.claim(name, true, claim.version, [this, submission = std::move(submission)](const ClaimOutcome &outcome) {
        this->ownKeyClaimed(submission, outcome);
    });
}

void RequestController::ask(const JobQuestion &question)
{
    if (this->refuseIfStopped(question.target, TeamKey{question.team, question.key})) {
        return;
    }
    JobRecord *job = this->board.jobs.find(TeamKey{question.team, question.key});
    if (job != nullptr) {
        this->askHere(question, *job);
        return;
    }
    if (hasIssuedForm(question.key)) {
        const Result<IssuedKey> key = parseIssuedKey(question.key);
        if (!key) {
            this->replies.refuse(question.target, key.error(), Verdict::NotRun);
            return;
        }
        this->askUnknownIssued(question, key.value());
        return;
    }
    if (const std::optional<Error> error = checkOwnKey(question.key)) {
        this->replies.refuse(question.target, *error, Verdict::NotRun);
        return;
    }
    this->claims.lookUp(TeamKey{question.team, question.key},
                        [this, question](const ClaimOutcome &outcome) { this->askByClaim(question, outcome); });
}

void RequestController::askHere(const JobQuestion &question, JobRecord &job)
{
    if (question.kind == JobQuestion::Kind::Cancel) {
        this->jobs.cancel(job);
    }
    if (question.kind == JobQuestion::Kind::Answer || job.answer != nullptr) {
        this->jobs.replyWhenAnswered(job, question.target);
        return;
    }
    this->replies.send(question.target, JobController::statusOf(job));
}

void RequestController::askUnknownIssued(const JobQuestion &question, const IssuedKey &key)
{
    if (key.incarnation != this->board.identity.incarnation) {
        if (question.origin == RequestOrigin::Peer || key.address == this->board.identity.peerAddress) {
            this->claims.lookUp(TeamKey{question.team, question.key},
                                [this, question](const ClaimOutcome &outcome) { this->askByClaim(question, outcome); });
            return;
        }
        this->forward(question, HomeAddress{key.address, key.incarnation});
        return;
    }
    const KeyState state = this->keys.state(key, question.team);
    JobStatus status;
    status.key = question.key;
    switch (state) {
    case KeyState::Forged:
        this->replies.refuse(question.target, makeError(ErrorCode::BadInput, "this key was not issued to this team", "key"),
                             Verdict::NotRun);
        return;
    case KeyState::Unused:
        if (question.kind == JobQuestion::Kind::Cancel) {
            this->keys.close(key);
        }
        status.state = question.kind == JobQuestion::Kind::Cancel ? JobState::Closed : JobState::Unused;
        this->replies.send(question.target, status);
        return;
    case KeyState::Closed:
        status.state = JobState::Closed;
        this->replies.send(question.target, status);
        return;
    case KeyState::Used:
    case KeyState::Forgotten:
        this->replies.refuse(question.target, makeError(ErrorCode::NotFound, "the answer is no longer kept", "key"), Verdict::MayHaveRun);
        return;
    }
}

void RequestController::askByClaim(const JobQuestion &question, const ClaimOutcome &outcome)
{
    if (const auto *unknown = std::get_if<ClaimUnknown>(&outcome)) {
        const bool reachable = unknown->message.empty();
        Error error = reachable ? makeError(ErrorCode::NotFound, "no job is known under this key", "key")
                                : makeError(ErrorCode::Unavailable, unknown->message);
        this->replies.refuse(question.target, std::move(error), Verdict::MayHaveRun,
                             reachable ? std::nullopt : std::optional<Duration>(ComeBack));
        return;
    }
    const auto *elsewhere = std::get_if<ClaimElsewhere>(&outcome);
    if (elsewhere == nullptr) {
        this->replies.refuse(question.target, makeError(ErrorCode::NotFound, "no job is running under this key", "key"),
                             Verdict::MayHaveRun);
        return;
    }
    if (elsewhere->row.durable) {
        this->askDurable(question, *elsewhere);
        return;
    }
    const ClaimHolder &holder = elsewhere->row.holder;
    if (this->isKnownGone(holder) || question.origin == RequestOrigin::Peer) {
        this->replies.refuse(question.target, makeError(ErrorCode::HomeLost, "the instance that held this key is gone", "key"),
                             Verdict::MayHaveRun);
        return;
    }
    this->forward(question, HomeAddress{holder.address, holder.incarnation});
}

void RequestController::askDurable(const JobQuestion &question, const ClaimElsewhere &claim)
{
    const TeamKey name{question.team, question.key};
    const RowKey key = durableRowKey(claim.row.holder.domain, name);
    TableRead read;
    read.keys.push_back(key);
    this->platform.ask(std::move(read), QuestionTimeout, [this, question](const PlatformReply &reply) {
        const auto *rows = std::get_if<RowsRead>(&reply);
        const bool found = rows != nullptr && !rows->rows.empty();
        const Result<DurableJobRow> row = found ? decodeRow<DurableJobRow>(rows->rows.front().value) : Result<DurableJobRow>(Error());
        if (!row) {
            this->replies.refuse(question.target, makeError(ErrorCode::Unavailable, "the platform's table can't be reached"),
                                 Verdict::MayHaveRun, ComeBack);
            return;
        }
        if (row.value().state == DurableState::Accepted) {
            if (question.origin == RequestOrigin::Peer || this->isKnownGone(row.value().holder)) {
                this->replies.refuse(question.target,
                                     makeError(ErrorCode::HomeUnreachable, "the job is being recovered from an instance that died"),
                                     Verdict::MayHaveRun, ComeBack);
                return;
            }
            this->forward(question, HomeAddress{row.value().holder.address, row.value().holder.incarnation});
            return;
        }
        this->platform.ask(ObjectGet{row.value().answer}, QuestionTimeout, [this, question](const PlatformReply &objectReply) {
            const auto *object = std::get_if<ObjectRead>(&objectReply);
            const bool there = object != nullptr && object->body.has_value();
            const Result<JobAnswer> answer = there ? decodeAnswer(*object->body) : Result<JobAnswer>(Error());
            if (!answer) {
                this->replies.refuse(question.target, makeError(ErrorCode::Unavailable, "the answer can't be read now"),
                                     Verdict::MayHaveRun, ComeBack);
                return;
            }
            this->replies.send(question.target, answer.value());
        });
    });
}

void RequestController::forward(const JobQuestion &question, const HomeAddress &home)
{
    ForwardController::GiveUpHandler givenUp;
    if (!question.isLastTry) {
        givenUp = [this, question](const Refusal &refusal) { this->askWithoutHome(question, refusal); };
    }
    if (question.kind == JobQuestion::Kind::Cancel) {
        this->forwards.forward(home, question.target, ForwardedCancel{ForwardId(), question.team, question.key}, QuestionTimeout, givenUp);
        return;
    }
    const bool wait = question.kind == JobQuestion::Kind::Answer;
    this->forwards.forward(home, question.target, ForwardedFetch{ForwardId(), question.team, question.key, wait},
                           wait ? AnswerTimeout : QuestionTimeout, givenUp);
}

} // namespace Tanagertally
