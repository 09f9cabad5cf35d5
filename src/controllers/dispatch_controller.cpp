#include "controllers/dispatch_controller.h"

#include "controllers/quota_func.h"

namespace Tanagertally {

namespace {

constexpr std::uint8_t MaxAttempts = 3; // per task; counts attempts that may have run
constexpr std::uint8_t MaxRefusals = 100; // per task; counts attempts that certainly did not start
constexpr std::int64_t PromotionTimeoutDivisor = 2; // a job is promoted after its timeout divided by this
constexpr double RetryBurst = 100; // tokens, one per retry
constexpr double HedgeBurst = 20; // tokens, one per hedge
constexpr double RetryRefillPerSecond = 10; // tokens
constexpr Duration RetryDelay = std::chrono::milliseconds(100);
constexpr Duration MaxIdleNonIdempotent = std::chrono::seconds(2);
constexpr Duration MaxIdleIdempotent = std::chrono::seconds(20);
constexpr double HedgeQuantile = 0.97;
constexpr int OverdueFactor = 2; // times the longest recent run time
constexpr Duration MinOverdueDelay = std::chrono::milliseconds(500);
constexpr int AttemptLimitFactor = 10; // times the longest recent run time
constexpr Duration MinAttemptLimit = std::chrono::seconds(10);
constexpr double SlownessSmoothing = 0.05; // weight of a new run time in the moving average

/** @return What the outcome of an attempt tells about its endpoint; a connection closed by abandoning it tells nothing. */
EndpointEvidence evidenceOf(AttemptOutcome outcome, bool abandoned)
{
    switch (outcome) {
    case AttemptOutcome::Succeeded:
    case AttemptOutcome::TaskFailed:
        return EndpointEvidence::Succeeded;
    case AttemptOutcome::EndpointFailed:
        return EndpointEvidence::Failed;
    case AttemptOutcome::RefusedBusy:
        return EndpointEvidence::Busy;
    case AttemptOutcome::RefusedLeaving:
        return EndpointEvidence::ReportedLeaving;
    case AttemptOutcome::NotDelivered:
        return abandoned ? EndpointEvidence::None : EndpointEvidence::ConnectFailed;
    case AttemptOutcome::Lost:
        return abandoned ? EndpointEvidence::None : EndpointEvidence::Failed;
    }
    return EndpointEvidence::None;
}

void countOutcome(CoordinatorStats &stats, AttemptOutcome outcome)
{
    switch (outcome) {
    case AttemptOutcome::Succeeded:
        ++stats.attemptsSucceeded;
        break;
    case AttemptOutcome::TaskFailed:
    case AttemptOutcome::EndpointFailed:
        ++stats.attemptsFailed;
        break;
    case AttemptOutcome::RefusedBusy:
    case AttemptOutcome::RefusedLeaving:
    case AttemptOutcome::NotDelivered:
        ++stats.attemptsRefused;
        break;
    case AttemptOutcome::Lost:
        ++stats.attemptsLost;
        break;
    }
}

} // namespace

DispatchController::DispatchController(Blackboard &board, Outbox &outbox, EndpointController &endpoints, StartLease &lease,
                                       EndpointPolicy choice)
    : board(board)
    , outbox(outbox)
    , endpoints(endpoints)
    , lease(lease)
    , choice(choice)
    , retryBudget(RetryBurst)
    , hedgeBudget(HedgeBurst)
{
}

void DispatchController::queueTask(JobRecord &job, std::uint32_t task, bool front)
{
    const KindName &kind = job.spec.tasks[task].kind;
    const KindConfig *kindConfig = findKind(this->board.config, kind);
    const Urgency urgency = kindConfig == nullptr ? Urgency::Normal : kindConfig->urgency;
    const TeamConfig *teamConfig = findTeam(this->board.config, job.team);
    const std::uint32_t weight = teamConfig == nullptr ? 1 : std::max(1U, teamConfig->weight);
    const QueueRank rank{urgency, job.sizeClass, weight};
    QueuedTask queued{job.id, task, kind};
    if (front) {
        this->board.queue.pushFront(rank, job.team, std::move(queued));
        return;
    }
    this->board.queue.pushBack(rank, job.team, std::move(queued));
}

void DispatchController::enqueue(JobRecord &job, std::uint32_t first, std::uint32_t last)
{
    if (job.sizeClass != SizeClass()) {
        this->promotions.add(job.submittedAt + job.spec.timeout / PromotionTimeoutDivisor, job.id);
    }
    for (std::uint32_t task = first; task < last; ++task) {
        if (job.tasks[task].state == TaskState::Waiting) {
            this->queueTask(job, task, false);
        }
    }
}

TaskQueue::Choice DispatchController::evaluateCandidate(const QueuedTask &next, const TeamName &team, EndpointRecord *&chosen)
{
    const JobRecord *job = this->board.jobs.find(next.job);
    if (job == nullptr || job->failing || job->tasks[next.task].state != TaskState::Waiting) {
        return TaskQueue::Choice::Drop;
    }
    if (job->authority == StartAuthority::DurableClaim && !this->lease.isHeld()) {
        this->tasksAwaitingLease.push_back(next);
        return TaskQueue::Choice::Drop;
    }
    const KindConfig *kind = findKind(this->board.config, next.kind);
    const bool atLimit
        = kind != nullptr && kind->concurrencyLimit != 0 && findOrAddKindLoad(this->board, next.kind).running >= kind->concurrencyLimit;
    if (atLimit || !hasQuotaRoom(this->board, team)) {
        return TaskQueue::Choice::SkipLane;
    }
    const EndpointConstraints constraints{isIdempotent(this->board, next.kind), job->tasks[next.task].lastFailedEndpoint};
    chosen = chooseEndpoint(this->choice, this->board.endpoints, this->board.random, constraints);
    return chosen == nullptr ? TaskQueue::Choice::SkipLane : TaskQueue::Choice::Take;
}

void DispatchController::startWaitingTasks()
{
    while (!this->board.endpoints.available().empty()) {
        EndpointRecord *chosen = nullptr;
        const std::optional<QueuedTask> next = this->board.queue.take(
            [&](const QueuedTask &candidate, const TeamName &team) { return this->evaluateCandidate(candidate, team, chosen); });
        if (!next) {
            return;
        }
        this->start(*this->board.jobs.find(next->job), next->task, *chosen);
    }
}

void DispatchController::start(JobRecord &job, std::uint32_t task, EndpointRecord &endpoint)
{
    const TaskSpec &spec = job.spec.tasks[task];
    TaskRecord &record = job.tasks[task];
    const bool idempotent = isIdempotent(this->board, spec.kind);
    assert(idempotent || (record.inFlight == 0 && record.answer.verdict == Verdict::NotRun));
    assert(task < job.startLimit);
    const AttemptId id(++this->lastAttempt);
    Attempt &attempt = this->attempts[id];
    attempt = Attempt{id, job.id, task, endpoint.id, spec.kind, job.team, this->board.now, idempotent, false, false};
    changeTaskState(this->board, job, task, TaskState::Running);
    ++record.inFlight;
    job.nonIdempotentInFlight += idempotent ? 0 : 1;
    ++findOrAddKindLoad(this->board, spec.kind).running;
    ++this->board.teams[job.team].running;
    ++endpoint.inFlight;
    ++this->board.stats.attemptsStarted;
    ++this->board.stats.running;
    if (record.attempts + record.refusals == 0) {
        this->retryBudget.earn(this->board.config.policy.retryBudget);
        this->hedgeBudget.earn(this->board.config.policy.hedgeBudget);
    }
    this->endpoints.updateAvailability(endpoint);
    const Duration maxIdle = idempotent ? MaxIdleIdempotent : MaxIdleNonIdempotent;
    this->outbox.emit(StartAttempt{id, endpoint.id, job.key, task, spec.kind, spec.payload, maxIdle});
    this->scheduleChecks(attempt, findKind(this->board.config, spec.kind));
}

void DispatchController::scheduleChecks(const Attempt &attempt, const KindConfig *kind)
{
    const RunTimeEstimate &runTime = findOrAddKindLoad(this->board, attempt.kind).runTime;
    if (attempt.idempotent && kind != nullptr && kind->hedged) {
        this->checks.add(this->board.now + runTime.quantile(HedgeQuantile), Check{attempt.id, CheckKind::Hedge});
    }
    const Duration longest = runTime.longest();
    this->checks.add(this->board.now + std::max(MinOverdueDelay, longest * OverdueFactor), Check{attempt.id, CheckKind::Overdue});
    this->checks.add(this->board.now + std::max(MinAttemptLimit, longest * AttemptLimitFactor), Check{attempt.id, CheckKind::Limit});
}

void DispatchController::promote(JobRecord &job)
{
    if (job.failing || job.waiting == 0 || job.sizeClass == SizeClass()) {
        return;
    }
    changeSizeClass(this->board, job, SizeClass());
    const auto limit = std::min(job.startLimit, static_cast<std::uint32_t>(job.tasks.size()));
    this->enqueue(job, 0, limit);
}

void DispatchController::advance()
{
    while (const std::optional<JobId> id = this->promotions.popDue(this->board.now)) {
        JobRecord *job = this->board.jobs.find(*id);
        if (job != nullptr) {
            this->promote(*job);
        }
    }
    while (const std::optional<Check> check = this->checks.popDue(this->board.now)) {
        this->runCheck(*check);
    }
    while (const std::optional<QueuedTask> task = this->delayedRetries.popDue(this->board.now)) {
        JobRecord *job = this->board.jobs.find(task->job);
        if (job != nullptr && !job->failing && job->tasks[task->task].state == TaskState::Waiting) {
            this->retryLater(*job, task->task);
        }
    }
}

TimePoint DispatchController::nextDeadline() const
{
    return std::min({this->checks.next(), this->delayedRetries.next(), this->promotions.next()});
}

void DispatchController::runCheck(const Check &check)
{
    const auto found = this->attempts.find(check.attempt);
    if (found == this->attempts.end() || found->second.abandoned) {
        return;
    }
    Attempt &attempt = found->second;
    EndpointRecord *endpoint = this->board.endpoints.find(attempt.endpoint);
    switch (check.kind) {
    case CheckKind::Hedge:
        this->hedge(attempt);
        break;
    case CheckKind::Overdue:
        attempt.overdue = true;
        if (endpoint != nullptr && endpoint->answeredAt > attempt.startedAt) {
            this->onEndpointProbed(endpoint->id);
        } else if (endpoint != nullptr) {
            this->endpoints.probe(*endpoint);
        }
        break;
    case CheckKind::Limit:
        this->abandon(attempt);
        break;
    }
}

void DispatchController::hedge(const Attempt &attempt)
{
    JobRecord *job = this->board.jobs.find(attempt.job);
    if (job == nullptr || job->failing || job->tasks[attempt.task].state != TaskState::Running || job->tasks[attempt.task].inFlight > 1) {
        return;
    }
    const bool leaseMissing = job->authority == StartAuthority::DurableClaim && !this->lease.isHeld();
    if (leaseMissing || !this->hedgeBudget.trySpend()) {
        return;
    }
    const EndpointConstraints constraints{true, attempt.endpoint};
    EndpointRecord *endpoint = chooseEndpoint(this->choice, this->board.endpoints, this->board.random, constraints);
    if (endpoint == nullptr || endpoint->id == attempt.endpoint) {
        return;
    }
    ++this->board.stats.hedges;
    this->start(*job, attempt.task, *endpoint);
}

void DispatchController::abandon(Attempt &attempt)
{
    attempt.abandoned = true;
    this->outbox.emit(AbandonAttempt{attempt.id});
}

void DispatchController::onEndpointProbed(EndpointId endpoint)
{
    for (auto &[id, attempt] : this->attempts) {
        if (attempt.endpoint != endpoint || !attempt.overdue || attempt.abandoned || !this->isRepeatable(attempt)) {
            continue;
        }
        this->outbox.log("connection-suspect", {{"attempt", std::to_string(id.value)}, {"kind", attempt.kind.value}});
        findOrAddKindLoad(this->board, attempt.kind).runTime.add(this->board.now - attempt.startedAt);
        this->abandon(attempt);
    }
}

bool DispatchController::isRepeatable(const Attempt &attempt)
{
    const JobRecord *job = this->board.jobs.find(attempt.job);
    const bool isAnswered = job == nullptr || job->isAnswerDecided;
    return attempt.idempotent && (isAnswered || job->tasks[attempt.task].attempts + 1 < MaxAttempts);
}

void DispatchController::releaseSlot(const Attempt &attempt)
{
    --findOrAddKindLoad(this->board, attempt.kind).running;
    --this->board.teams[attempt.team].running;
    --this->board.stats.running;
    EndpointRecord *endpoint = this->board.endpoints.find(attempt.endpoint);
    if (endpoint != nullptr) {
        --endpoint->inFlight;
    }
}

void DispatchController::handle(AttemptEnded ended)
{
    const auto found = this->attempts.find(ended.attempt);
    if (found == this->attempts.end()) {
        return;
    }
    const Attempt attempt = std::move(found->second);
    this->attempts.erase(found);
    this->releaseSlot(attempt);
    countOutcome(this->board.stats, ended.outcome);
    if (ended.outcome == AttemptOutcome::Succeeded) {
        RunTimeEstimate &runTime = findOrAddKindLoad(this->board, attempt.kind).runTime;
        const double ratio
            = static_cast<double>(ended.roundTrip.count()) / static_cast<double>(std::max<std::int64_t>(1, runTime.mean().count()));
        EndpointRecord *endpoint = this->board.endpoints.find(attempt.endpoint);
        if (endpoint != nullptr) {
            endpoint->slowness += SlownessSmoothing * (ratio - endpoint->slowness);
        }
        runTime.add(ended.roundTrip);
    }
    this->applyOutcome(attempt, ended);
    this->endpoints.recordEvidence(attempt.endpoint, evidenceOf(ended.outcome, attempt.abandoned), attempt.startedAt);
}

void DispatchController::applyOutcome(const Attempt &attempt, AttemptEnded &ended)
{
    JobRecord *job = this->board.jobs.find(attempt.job);
    if (job == nullptr || job->isAnswerDecided) {
        return;
    }
    TaskRecord &task = job->tasks[attempt.task];
    --task.inFlight;
    job->nonIdempotentInFlight -= attempt.idempotent ? 0 : 1;
    this->board.jobsToCheck.push_back(job->id);
    if (task.state == TaskState::Ended) {
        return;
    }
    if (ended.outcome != AttemptOutcome::Succeeded) {
        this->recordFailure(*job, attempt, ended);
    }
    switch (ended.outcome) {
    case AttemptOutcome::Succeeded:
        this->onSucceeded(*job, attempt, ended);
        break;
    case AttemptOutcome::TaskFailed:
        this->failTask(*job, attempt.task, Verdict::Ran, ErrorCode::TaskFailed, ended.error);
        break;
    case AttemptOutcome::RefusedBusy:
    case AttemptOutcome::RefusedLeaving:
    case AttemptOutcome::NotDelivered:
        this->onNotStarted(*job, attempt);
        break;
    case AttemptOutcome::EndpointFailed:
    case AttemptOutcome::Lost:
        this->onFailedOrLost(*job, attempt, ended);
        break;
    }
}

void DispatchController::recordFailure(const JobRecord &job, const Attempt &attempt, const AttemptEnded &ended)
{
    constexpr std::array<std::string_view, 7> Names
        = {"succeeded", "task-failed", "endpoint-failed", "refused-busy", "refused-leaving", "not-delivered", "lost"};
    const EndpointRecord *endpoint = this->board.endpoints.find(attempt.endpoint);
    this->outbox.record("attempt-ended", {{"key", job.key.value},
                                          {"task", std::to_string(attempt.task)},
                                          {"worker", endpoint == nullptr ? std::string() : endpoint->listed.worker.value},
                                          {"outcome", std::string(Names.at(static_cast<std::size_t>(ended.outcome)))},
                                          {"error", ended.error}});
}

void DispatchController::onSucceeded(JobRecord &job, const Attempt &attempt, AttemptEnded &ended)
{
    endTask(this->board, job, attempt.task, TaskAnswer{Verdict::Ran, true, std::move(ended.output), {}});
    if (job.tasks[attempt.task].inFlight > 0) {
        this->abandonOtherAttempts(job, attempt.task);
    }
}

void DispatchController::abandonOtherAttempts(const JobRecord &job, std::uint32_t task)
{
    for (auto &[id, attempt] : this->attempts) {
        if (attempt.job == job.id && attempt.task == task && !attempt.abandoned) {
            this->abandon(attempt);
        }
    }
}

void DispatchController::onNotStarted(JobRecord &job, const Attempt &attempt)
{
    TaskRecord &task = job.tasks[attempt.task];
    task.lastFailedEndpoint = attempt.endpoint;
    if (task.inFlight > 0) {
        return;
    }
    if (job.failing) {
        endTask(this->board, job, attempt.task, TaskAnswer{Verdict::NotRun, false, nullptr, "not started: the job failed"});
        return;
    }
    if (++task.refusals >= MaxRefusals) {
        this->failTask(job, attempt.task, Verdict::NotRun, ErrorCode::Unavailable, "no endpoint took the task");
        return;
    }
    changeTaskState(this->board, job, attempt.task, TaskState::Waiting);
    this->queueTask(job, attempt.task, true);
}

void DispatchController::onFailedOrLost(JobRecord &job, const Attempt &attempt, const AttemptEnded &ended)
{
    TaskRecord &task = job.tasks[attempt.task];
    task.answer.verdict = combine(task.answer.verdict, Verdict::MayHaveRun);
    task.lastFailedEndpoint = attempt.endpoint;
    ++task.attempts;
    if (task.inFlight > 0) {
        return;
    }
    if (!attempt.idempotent || job.failing || task.attempts >= MaxAttempts) {
        const bool failed = ended.outcome == AttemptOutcome::EndpointFailed;
        this->failTask(job, attempt.task, Verdict::MayHaveRun, failed ? ErrorCode::TaskFailed : ErrorCode::Unavailable, ended.error);
        return;
    }
    changeTaskState(this->board, job, attempt.task, TaskState::Waiting);
    this->retryLater(job, attempt.task);
}

void DispatchController::retryLater(JobRecord &job, std::uint32_t task)
{
    this->retryBudget.refill(this->board.now, RetryRefillPerSecond);
    if (!this->retryBudget.trySpend()) {
        this->delayedRetries.add(this->board.now + RetryDelay, QueuedTask{job.id, task, job.spec.tasks[task].kind});
        return;
    }
    ++this->board.stats.retries;
    this->outbox.record("retry",
                        {{"key", job.key.value}, {"task", std::to_string(task)}, {"attempts", std::to_string(job.tasks[task].attempts)}});
    this->queueTask(job, task, true);
}

void DispatchController::failTask(JobRecord &job, std::uint32_t task, Verdict verdict, ErrorCode reason, const std::string &error)
{
    endTask(this->board, job, task, TaskAnswer{verdict, false, nullptr, error});
    failJob(this->board, job, reason, "task " + std::to_string(task) + ": " + error);
}

void DispatchController::onLeaseRegained()
{
    std::vector<QueuedTask> waiting;
    waiting.swap(this->tasksAwaitingLease);
    for (const QueuedTask &task : waiting) {
        JobRecord *job = this->board.jobs.find(task.job);
        if (job != nullptr && !job->failing) {
            this->queueTask(*job, task.task, false);
        }
    }
}

} // namespace Tanagertally
