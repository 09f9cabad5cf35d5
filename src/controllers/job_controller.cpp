#include "controllers/job_controller.h"

#include "controllers/admission_func.h"
#include "controllers/key_type.h"
#include "core/hash_func.h"

namespace Tanagertally {

namespace {

constexpr Duration AnswerRetention = std::chrono::minutes(10);
constexpr std::size_t MaxRetainedBytes = 48U << 20U; // bytes of answers
constexpr std::size_t TaskAnswerOverhead = sizeof(TaskAnswer) + sizeof(TaskRecord) + 64; // bytes

std::uint64_t hashOf(const TeamKey &name)
{
    return stableHash(name.key.value, stableHash(name.team.value));
}

std::size_t sizeOf(const JobAnswer &answer)
{
    std::size_t bytes = sizeof(JobAnswer) + sizeof(JobRecord);
    for (const TaskAnswer &task : answer.tasks) {
        bytes += TaskAnswerOverhead + task.error.size() + (task.output == nullptr ? 0 : task.output->size());
    }
    return bytes;
}

} // namespace

std::uint64_t digestOf(const JobSpec &job)
{
    std::uint64_t digest = job.tasks.size();
    for (const TaskSpec &task : job.tasks) {
        digest = stableHash(task.kind.value, digest);
        digest = stableHash(*task.payload, digest);
    }
    return digest;
}

JobController::JobController(Blackboard &board, Outbox &outbox, ReplySender &replies, DispatchController &dispatch)
    : board(board)
    , outbox(outbox)
    , replies(replies)
    , dispatch(dispatch)
{
}

void JobController::setDurableAnswerHandler(std::function<void(JobRecord &, std::shared_ptr<const JobAnswer>)> handler)
{
    this->durableAnswerHandler = std::move(handler);
}

JobRecord &JobController::add(NewJob job)
{
    JobRecord &record = this->board.jobs.add(TeamKey{std::move(job.team), std::move(job.key)});
    record.digest = digestOf(job.spec);
    record.spec = std::move(job.spec);
    record.authority = job.authority;
    record.submittedAt = this->board.now;
    record.deadline = this->board.now + record.spec.timeout;
    record.startLimit = 0;
    const auto count = static_cast<std::uint32_t>(record.spec.tasks.size());
    record.tasks.resize(count);
    record.waiting = count;
    record.sizeClass = sizeClassOf(count);
    Duration work{};
    for (const TaskSpec &task : record.spec.tasks) {
        KindLoad &load = findOrAddKindLoad(this->board, task.kind);
        ++load.waiting[record.sizeClass.value];
        work += load.runTime.mean();
    }
    record.meanRunTime = work / count;
    record.dueAt = dueTimeOf(this->board, record.spec);
    this->board.deadlineLoad.add(DueWork{record.dueAt, record.meanRunTime * count});
    this->board.teams[record.team].waiting += count;
    this->board.stats.queued += count;
    ++this->board.stats.jobsSubmitted;
    ++this->unansweredCount;
    this->deadlines.add(record.deadline, record.id);
    return record;
}

void JobController::start(JobRecord &job, std::uint32_t limit)
{
    const std::uint32_t last = std::min(limit, static_cast<std::uint32_t>(job.tasks.size()));
    const std::uint32_t first = std::min(job.startLimit, last);
    job.startLimit = last;
    this->dispatch.enqueue(job, first, last);
}

void JobController::replyWhenAnswered(JobRecord &job, const ReplyTarget &target)
{
    if (job.answer != nullptr) {
        this->replies.send(target, *job.answer);
        return;
    }
    job.waiters.push_back(target);
}

JobStatus JobController::statusOf(const JobRecord &job)
{
    JobStatus status;
    status.key = job.key;
    status.tasks = static_cast<std::uint32_t>(job.tasks.size());
    status.finished = job.ended;
    const auto hasStarted = [](const TaskRecord &task) { return task.inFlight > 0 || task.answer.verdict != Verdict::NotRun; };
    status.started = static_cast<std::uint32_t>(std::count_if(job.tasks.begin(), job.tasks.end(), hasStarted));
    status.state = status.started == 0 ? JobState::Pending : JobState::Running;
    if (job.answer != nullptr) {
        status.state = JobState::Answered;
    }
    return status;
}

void JobController::cancel(JobRecord &job)
{
    if (!job.isAnswerDecided) {
        failJob(this->board, job, ErrorCode::Cancelled, "cancelled by the caller");
    }
}

void JobController::discard(JobId job, const Refusal &refusal)
{
    JobRecord *record = this->board.jobs.find(job);
    if (record == nullptr) {
        return;
    }
    failJob(this->board, *record, ErrorCode::HomeLost, "another instance took the job over");
    this->unansweredCount -= record->answer == nullptr ? 1 : 0;
    this->refuseWaiters(*record, refusal);
    this->board.jobs.remove(job);
}

void JobController::refuseWaiters(JobRecord &job, const Refusal &refusal)
{
    std::vector<ReplyTarget> waiters;
    waiters.swap(job.waiters);
    for (const ReplyTarget &target : waiters) {
        this->replies.refuse(target, refusal.error, refusal.verdict, refusal.retryAfter);
    }
}

bool JobController::isDone(const JobRecord &job) const
{
    if (job.ended == job.tasks.size()) {
        return true;
    }
    const bool isVerdictFinal = job.failing && job.nonIdempotentInFlight == 0 && job.waiting == 0;
    return isVerdictFinal || job.deadline <= this->board.now;
}

void JobController::answerFinishedJobs()
{
    while (!this->board.jobsToCheck.empty()) {
        std::vector<JobId> touched;
        touched.swap(this->board.jobsToCheck);
        for (const JobId id : touched) {
            JobRecord *job = this->board.jobs.find(id);
            if (job != nullptr && !job->isAnswerDecided && this->isDone(*job)) {
                this->answerJob(*job);
            }
        }
    }
}

std::shared_ptr<const JobAnswer> JobController::makeAnswer(JobRecord &job) const
{
    auto answer = std::make_shared<JobAnswer>();
    answer->key = job.key;
    answer->outcome = job.failing ? JobOutcome::Failed : JobOutcome::Complete;
    answer->reason = job.failure;
    answer->message = job.failureMessage;
    answer->tasks.reserve(job.tasks.size());
    for (TaskRecord &task : job.tasks) {
        if (task.inFlight > 0 && task.state != TaskState::Ended) {
            task.answer.verdict = combine(task.answer.verdict, Verdict::MayHaveRun);
            task.answer.error = "no answer when the job was answered";
        }
        answer->tasks.push_back(std::move(task.answer));
        if (job.failing) {
            answer->tasks.back().output = nullptr;
        }
    }
    return answer;
}

void JobController::answerJob(JobRecord &job)
{
    if (job.ended < job.tasks.size() && !job.failing) {
        failJob(this->board, job, ErrorCode::DeadlineExceeded, "the deadline passed");
    }
    const auto isFailed = [](const TaskRecord &task) { return task.state == TaskState::Ended && !task.answer.succeeded; };
    if (!job.failing && std::any_of(job.tasks.begin(), job.tasks.end(), isFailed)) {
        failJob(this->board, job, ErrorCode::HomeLost,
                "the instance that held the job died; tasks that it may have started are not repeated");
    }
    const std::shared_ptr<const JobAnswer> answer = this->makeAnswer(job);
    job.isAnswerDecided = true;
    ++(answer->outcome == JobOutcome::Complete ? this->board.stats.jobsComplete : this->board.stats.jobsFailed);
    if (answer->outcome == JobOutcome::Failed) {
        this->outbox.log("job-failed",
                         {{"key", job.key.value}, {"reason", std::string(toString(answer->reason))}, {"message", answer->message}});
    }
    if (job.authority == StartAuthority::DurableClaim) {
        this->durableAnswerHandler(job, answer);
        return;
    }
    this->publish(job, answer);
}

void JobController::publish(JobRecord &job, std::shared_ptr<const JobAnswer> answer)
{
    job.answer = std::move(answer);
    --this->unansweredCount;
    std::vector<ReplyTarget> waiters;
    waiters.swap(job.waiters);
    for (const ReplyTarget &target : waiters) {
        this->replies.send(target, *job.answer);
    }
    job.spec.tasks = {};
    const std::size_t bytes = sizeOf(*job.answer);
    this->retained.push_back(RetainedAnswer{job.id, this->board.now + AnswerRetention, bytes});
    this->retainedBytes += bytes;
    while (this->retainedBytes > MaxRetainedBytes) {
        this->evictOldest();
    }
}

void JobController::evictOldest()
{
    const RetainedAnswer oldest = this->retained.front();
    this->retained.pop_front();
    this->retainedBytes -= oldest.bytes;
    const JobRecord *job = this->board.jobs.find(oldest.job);
    if (job != nullptr && !hasIssuedForm(job->key)) {
        this->evictedKeys.insert(hashOf(TeamKey{job->team, job->key}));
    }
    this->board.jobs.remove(oldest.job);
}

bool JobController::wasEvicted(const TeamKey &name) const
{
    return this->evictedKeys.contains(hashOf(name));
}

void JobController::advance()
{
    while (const std::optional<JobId> due = this->deadlines.popDue(this->board.now)) {
        JobRecord *job = this->board.jobs.find(*due);
        if (job != nullptr && !job->isAnswerDecided) {
            this->board.jobsToCheck.push_back(*due);
        }
    }
    while (!this->retained.empty() && this->retained.front().until <= this->board.now) {
        this->evictOldest();
    }
}

TimePoint JobController::nextDeadline() const
{
    const TimePoint nextEviction = this->retained.empty() ? TimePoint::max() : this->retained.front().until;
    return std::min(this->deadlines.next(), nextEviction);
}

} // namespace Tanagertally
