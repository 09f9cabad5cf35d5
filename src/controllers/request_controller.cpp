#include "controllers/request_controller.h"

#include "controllers/admission_func.h"

namespace Tanagertally {

namespace {

constexpr Duration StoppedRetryAfter = std::chrono::milliseconds(100);
constexpr Duration DefaultRetryAfter = std::chrono::seconds(1);
constexpr Duration ForwardGrace = std::chrono::seconds(1);
constexpr Duration LookupTimeout = std::chrono::seconds(5);
constexpr Duration AnswerTimeout = std::chrono::seconds(60);

/** @return Request that stands for a submission when another instance holds its job. */
JobRequest::Kind requestKindOf(const Submission &submission)
{
    return submission.job.mode == SubmitMode::Later ? JobRequest::Kind::State : JobRequest::Kind::Answer;
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
    this->durables.setMayBeDurableHandler([this](const TeamKey &name) { this->markIssuedKeyUsed(name); });
}

void RequestController::markIssuedKeyUsed(const TeamKey &name)
{
    if (!hasIssuedForm(name.key)) {
        return;
    }
    const Result<IssuedKey> key = parseIssuedKey(name.key);
    const bool isOwnKey = key && key.value().incarnation == this->board.identity.incarnation;
    if (isOwnKey && this->keys.state(key.value(), name.team) == KeyState::Unused) {
        this->keys.markUsed(key.value());
    }
}

Duration RequestController::retryAfterWhenNotServing() const
{
    return this->board.lifecycle.state() == InstanceState::AwaitingConfig ? DefaultRetryAfter : StoppedRetryAfter;
}

void RequestController::handle(const KeysRequested &request)
{
    if (this->board.lifecycle.state() != InstanceState::Serving) {
        this->replies.refuse(request.request, makeError(ErrorCode::Stopping, "this instance takes no new work"), Verdict::NotRun,
                             this->retryAfterWhenNotServing());
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
    this->replies.refuse(submission.target, makeError(ErrorCode::Stopping, "this instance takes no new work"), verdict,
                         this->retryAfterWhenNotServing());
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
    this->replies.refuse(target, makeError(ErrorCode::Stopping, "this instance is about to exit; ask again"), verdict, StoppedRetryAfter);
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
        this->submitCallerKey(std::move(submission));
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
        const bool isHomeGone = submission.origin == RequestOrigin::Peer || key.address == this->board.identity.peerAddress;
        if (isHomeGone) {
            const JobRequest::Kind kind = requestKindOf(submission);
            const Error error = makeError(ErrorCode::HomeLost, "the instance that held this key is gone", "key");
            this->handleWithoutHome(JobRequest{submission.target, submission.origin, submission.team, submission.key, kind, false},
                                    Refusal{error, Verdict::MayHaveRun, std::nullopt});
            return;
        }
        this->forward(std::move(submission), HomeAddress{key.address, key.incarnation});
        return;
    }
    JobRecord *job = this->board.jobs.find(TeamKey{submission.team, submission.key});
    if (job != nullptr) {
        this->onResubmitted(*job, submission);
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
    case KeyState::Used: // This instance is the home of the key; RequestOrigin::Peer marks the request as not to be forwarded.
        this->handleWithoutHome(
            JobRequest{submission.target, RequestOrigin::Peer, submission.team, submission.key, requestKindOf(submission), true},
            Refusal{makeError(ErrorCode::NotFound, "the job was answered and its answer is no longer kept", "key"), Verdict::MayHaveRun,
                    std::nullopt});
        return;
    case KeyState::Closed:
        this->replies.refuse(submission.target,
                             makeError(ErrorCode::NotFound, "the key expired or was cancelled unused; ask for a fresh one", "key"),
                             Verdict::NotRun);
        return;
    case KeyState::Unknown:
        this->replies.refuse(submission.target, makeError(ErrorCode::NotFound, "the key is too old for anything to be known of it", "key"),
                             Verdict::MayHaveRun);
        return;
    }
}

void RequestController::submitUnusedIssued(Submission submission, const IssuedKey &key)
{
    if (this->board.lifecycle.state() != InstanceState::Serving) {
        this->replies.refuse(submission.target, makeError(ErrorCode::Stopping, "this instance takes no new work"), Verdict::NotRun,
                             this->retryAfterWhenNotServing());
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
    this->startLocal(std::move(submission), StartAuthority::IssuedKey, Verdict::NotRun);
}

void RequestController::startLocal(Submission submission, StartAuthority authority, Verdict priorVerdict)
{
    JobRecord &job = this->jobs.add(NewJob{submission.key, submission.team, std::move(submission.job), authority});
    job.waiters.push_back(submission.target);
    for (TaskRecord &task : job.tasks) {
        task.answer.verdict = priorVerdict;
    }
    this->jobs.start(job);
}

void RequestController::startDurable(const Submission &submission)
{
    const ReplyTarget target = submission.target;
    NewJob job{submission.key, submission.team, submission.job, StartAuthority::DurableClaim};
    this->durables.accept(std::move(job), target, [this, submission](const ClaimOutcome &outcome, const ReplyTarget &waiting) {
        Submission waitingSubmission = submission;
        waitingSubmission.target = waiting;
        if (const auto *elsewhere = std::get_if<ClaimElsewhere>(&outcome)) {
            this->onClaimedElsewhere(std::move(waitingSubmission), *elsewhere);
            return;
        }
        this->replies.refuse(waiting, makeError(ErrorCode::Conflict, "the key is in use", "key"), Verdict::MayHaveRun, DefaultRetryAfter);
    });
}

void RequestController::onResubmitted(JobRecord &job, const Submission &submission)
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
    const Duration timeout = submission.job.timeout + ForwardGrace;
    const JobRequest::Kind kind = requestKindOf(submission);
    const JobRequest request{submission.target, submission.origin, submission.team, submission.key, kind, false};
    ForwardedSubmit message{ForwardId(), std::move(submission.team), std::move(submission.key), std::move(submission.job)};
    this->forwards.forward(home, submission.target, std::move(message), timeout,
                           [this, request](const Refusal &refusal) { this->handleWithoutHome(request, refusal); });
}

void RequestController::handleWithoutHome(const JobRequest &request, const Refusal &refusal)
{
    JobRequest lastTry = request;
    lastTry.isLastTry = true;
    this->claims.lookUp(TeamKey{request.team, request.key}, [this, request = lastTry, refusal](const ClaimOutcome &outcome) {
        const auto *claim = std::get_if<ClaimElsewhere>(&outcome);
        if (claim != nullptr && claim->row.durable) {
            this->handleDurable(request, *claim);
            return;
        }
        this->replies.refuse(request.target, refusal.error, refusal.verdict, refusal.retryAfter);
    });
}

void RequestController::submitCallerKey(Submission submission)
{
    if (const std::optional<Error> error = checkCallerKey(submission.key)) {
        this->replies.refuse(submission.target, *error, Verdict::NotRun);
        return;
    }
    const TeamKey name{submission.team, submission.key};
    JobRecord *job = this->board.jobs.find(name);
    if (job != nullptr) {
        this->onResubmitted(*job, submission);
        return;
    }
    if (this->jobs.wasEvicted(name)) {
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
                             Verdict::MayHaveRun, DefaultRetryAfter);
        return;
    }
    if (submission.job.mode == SubmitMode::Later) {
        this->startDurable(submission);
        return;
    }
    const bool idempotent = isIdempotent(this->board, submission.job);
    std::vector<Submission> &waiting = this->awaitingClaim[name];
    waiting.push_back(std::move(submission));
    if (waiting.size() > 1) {
        return;
    }
    this->claims.claim(name, idempotent, RowVersion(), [this, name](const ClaimOutcome &outcome) {
        std::vector<Submission> claimed;
        claimed.swap(this->awaitingClaim[name]);
        this->awaitingClaim.erase(name);
        for (Submission &one : claimed) {
            this->onCallerKeyClaimed(std::move(one), outcome);
        }
    });
}

void RequestController::onCallerKeyClaimed(Submission submission, const ClaimOutcome &outcome)
{
    if (const auto *elsewhere = std::get_if<ClaimElsewhere>(&outcome)) {
        this->onClaimedElsewhere(std::move(submission), *elsewhere);
        return;
    }
    if (const auto *unknown = std::get_if<ClaimUnknown>(&outcome)) {
        const std::string reason = unknown->message.empty() ? "the claim was not confirmed" : unknown->message;
        this->replies.refuse(submission.target, makeError(ErrorCode::Unavailable, reason), Verdict::MayHaveRun, DefaultRetryAfter);
        return;
    }
    JobRecord *job = this->board.jobs.find(TeamKey{submission.team, submission.key});
    if (job != nullptr) {
        this->onResubmitted(*job, submission);
        return;
    }
    const Verdict priorVerdict = std::get<ClaimHeld>(outcome).takenOver ? Verdict::MayHaveRun : Verdict::NotRun;
    if (const std::optional<AdmissionRefusal> refusal = checkAdmission(this->board, submission.team, submission.job)) {
        this->replies.refuse(submission.target, refusal->error, priorVerdict, refusal->retryAfter);
        return;
    }
    this->startLocal(std::move(submission), StartAuthority::Claim, priorVerdict);
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

void RequestController::onClaimedElsewhere(Submission submission, const ClaimElsewhere &claim)
{
    const ClaimHolder &holder = claim.row.holder;
    if (!this->isKnownGone(holder)) {
        if (submission.origin == RequestOrigin::Peer) {
            this->replies.refuse(submission.target, makeError(ErrorCode::HomeUnreachable, "the key changed its home; ask again", "key"),
                                 Verdict::MayHaveRun, DefaultRetryAfter);
            return;
        }
        this->forward(std::move(submission), HomeAddress{holder.address, holder.incarnation});
        return;
    }
    if (claim.row.durable) {
        this->replies.refuse(submission.target,
                             makeError(ErrorCode::HomeUnreachable, "the job is being recovered from an instance that died", "key"),
                             Verdict::MayHaveRun, DefaultRetryAfter);
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
        this->onCallerKeyClaimed(submission, outcome);
    });
}

void RequestController::fetchOrCancel(const JobRequest &request)
{
    if (this->refuseIfStopped(request.target, TeamKey{request.team, request.key})) {
        return;
    }
    JobRecord *job = this->board.jobs.find(TeamKey{request.team, request.key});
    if (job != nullptr) {
        this->handleLocal(request, *job);
        return;
    }
    if (hasIssuedForm(request.key)) {
        const Result<IssuedKey> key = parseIssuedKey(request.key);
        if (!key) {
            this->replies.refuse(request.target, key.error(), Verdict::NotRun);
            return;
        }
        this->handleUnknownIssued(request, key.value());
        return;
    }
    if (const std::optional<Error> error = checkCallerKey(request.key)) {
        this->replies.refuse(request.target, *error, Verdict::NotRun);
        return;
    }
    this->claims.lookUp(TeamKey{request.team, request.key},
                        [this, request](const ClaimOutcome &outcome) { this->handleByClaim(request, outcome); });
}

void RequestController::handleLocal(const JobRequest &request, JobRecord &job)
{
    if (request.kind == JobRequest::Kind::Cancel) {
        this->jobs.cancel(job);
    }
    if (request.kind == JobRequest::Kind::Answer || job.answer != nullptr) {
        this->jobs.replyWhenAnswered(job, request.target);
        return;
    }
    this->replies.send(request.target, JobController::statusOf(job));
}

void RequestController::handleUnknownIssued(const JobRequest &request, const IssuedKey &key)
{
    if (key.incarnation != this->board.identity.incarnation) {
        if (request.origin == RequestOrigin::Peer || key.address == this->board.identity.peerAddress) {
            this->claims.lookUp(TeamKey{request.team, request.key},
                                [this, request](const ClaimOutcome &outcome) { this->handleByClaim(request, outcome); });
            return;
        }
        this->forward(request, HomeAddress{key.address, key.incarnation});
        return;
    }
    const KeyState state = this->keys.state(key, request.team);
    JobStatus status;
    status.key = request.key;
    switch (state) {
    case KeyState::Forged:
        this->replies.refuse(request.target, makeError(ErrorCode::BadInput, "this key was not issued to this team", "key"),
                             Verdict::NotRun);
        return;
    case KeyState::Unused:
        if (request.kind == JobRequest::Kind::Cancel) {
            this->keys.close(key);
        }
        status.state = request.kind == JobRequest::Kind::Cancel ? JobState::Closed : JobState::Unused;
        this->replies.send(request.target, status);
        return;
    case KeyState::Closed:
        status.state = JobState::Closed;
        this->replies.send(request.target, status);
        return;
    case KeyState::Used:
    case KeyState::Unknown:
        this->replies.refuse(request.target, makeError(ErrorCode::NotFound, "the answer is no longer kept", "key"), Verdict::MayHaveRun);
        return;
    }
}

void RequestController::handleByClaim(const JobRequest &request, const ClaimOutcome &outcome)
{
    if (const auto *unknown = std::get_if<ClaimUnknown>(&outcome)) {
        const bool isTableReachable = unknown->message.empty(); // Also false if the claim row is malformed.
        Error error = isTableReachable ? makeError(ErrorCode::NotFound, "no job is known under this key", "key")
                                       : makeError(ErrorCode::Unavailable, unknown->message);
        this->replies.refuse(request.target, std::move(error), Verdict::MayHaveRun,
                             isTableReachable ? std::nullopt : std::optional<Duration>(DefaultRetryAfter));
        return;
    }
    const auto *elsewhere = std::get_if<ClaimElsewhere>(&outcome);
    if (elsewhere == nullptr) {
        this->replies.refuse(request.target, makeError(ErrorCode::NotFound, "no job is running under this key", "key"),
                             Verdict::MayHaveRun);
        return;
    }
    if (elsewhere->row.durable) {
        this->handleDurable(request, *elsewhere);
        return;
    }
    const ClaimHolder &holder = elsewhere->row.holder;
    if (this->isKnownGone(holder) || request.origin == RequestOrigin::Peer) { // A peer's request isn't forwarded on, even to a live holder.
        this->replies.refuse(request.target, makeError(ErrorCode::HomeLost, "the instance that held this key is gone", "key"),
                             Verdict::MayHaveRun);
        return;
    }
    this->forward(request, HomeAddress{holder.address, holder.incarnation});
}

void RequestController::handleDurable(const JobRequest &request, const ClaimElsewhere &claim)
{
    const TeamKey name{request.team, request.key};
    const RowKey key = durableRowKey(claim.row.holder.domain, name);
    TableRead read;
    read.keys.push_back(key);
    this->platform.send(std::move(read), LookupTimeout, [this, request](const PlatformReply &reply) {
        const auto *rows = std::get_if<RowsRead>(&reply);
        const bool found = rows != nullptr && !rows->rows.empty();
        const Result<DurableJobRow> row = found ? decodeRow<DurableJobRow>(rows->rows.front().value) : Result<DurableJobRow>(Error());
        if (!row) {
            this->replies.refuse(request.target, makeError(ErrorCode::Unavailable, "the platform's table can't be reached"),
                                 Verdict::MayHaveRun, DefaultRetryAfter);
            return;
        }
        if (row.value().state == DurableState::Accepted) {
            if (request.origin == RequestOrigin::Peer || this->isKnownGone(row.value().holder)) {
                this->replies.refuse(request.target,
                                     makeError(ErrorCode::HomeUnreachable, "the job is being recovered from an instance that died"),
                                     Verdict::MayHaveRun, DefaultRetryAfter);
                return;
            }
            this->forward(request, HomeAddress{row.value().holder.address, row.value().holder.incarnation});
            return;
        }
        this->platform.send(ObjectGet{row.value().answer}, LookupTimeout, [this, request](const PlatformReply &objectReply) {
            const auto *object = std::get_if<ObjectRead>(&objectReply);
            const bool hasBody = object != nullptr && object->body.has_value();
            const Result<JobAnswer> answer = hasBody ? decodeAnswer(*object->body) : Result<JobAnswer>(Error());
            if (!answer) {
                this->replies.refuse(request.target, makeError(ErrorCode::Unavailable, "the answer can't be read now"), Verdict::MayHaveRun,
                                     DefaultRetryAfter);
                return;
            }
            this->replies.send(request.target, answer.value());
        });
    });
}

void RequestController::forward(const JobRequest &request, const HomeAddress &home)
{
    ForwardController::FailureHandler onFailure;
    if (!request.isLastTry) {
        onFailure = [this, request](const Refusal &refusal) { this->handleWithoutHome(request, refusal); };
    }
    if (request.kind == JobRequest::Kind::Cancel) {
        this->forwards.forward(home, request.target, ForwardedCancel{ForwardId(), request.team, request.key}, LookupTimeout, onFailure);
        return;
    }
    const bool wait = request.kind == JobRequest::Kind::Answer;
    this->forwards.forward(home, request.target, ForwardedFetch{ForwardId(), request.team, request.key, wait},
                           wait ? AnswerTimeout : LookupTimeout, onFailure);
}

} // namespace Tanagertally
