#include "blackboard/task_state_func.h"

#include <cassert>

namespace Tanagertally {

namespace {

std::uint32_t &taskCounter(JobRecord &job, TaskState state)
{
    switch (state) {
    case TaskState::Waiting:
        return job.waiting;
    case TaskState::Running:
        return job.running;
    case TaskState::Ended:
        return job.ended;
    }
    return job.ended;
}

void updateWaitingCounters(Blackboard &board, const JobRecord &job, std::uint32_t task, bool added)
{
    const std::uint32_t delta = added ? 1 : static_cast<std::uint32_t>(-1);
    findOrAddKindLoad(board, job.spec.tasks[task].kind).waiting[job.sizeClass.value] += delta;
    board.teams[job.team].waiting += delta;
    const DueWork work{job.dueAt, job.meanRunTime};
    added ? board.deadlineLoad.add(work) : board.deadlineLoad.remove(work);
    board.stats.queued += added ? 1 : static_cast<std::uint64_t>(-1);
}

} // namespace

void changeTaskState(Blackboard &board, JobRecord &job, std::uint32_t task, TaskState state)
{
    TaskRecord &record = job.tasks[task];
    if (record.state == state) {
        return;
    }
    assert(record.state != TaskState::Ended);
    if (record.state == TaskState::Waiting) {
        updateWaitingCounters(board, job, task, false);
    }
    if (state == TaskState::Waiting) {
        updateWaitingCounters(board, job, task, true);
    }
    --taskCounter(job, record.state);
    ++taskCounter(job, state);
    record.state = state;
}

void endTask(Blackboard &board, JobRecord &job, std::uint32_t task, TaskAnswer answer)
{
    TaskRecord &record = job.tasks[task];
    assert(record.state != TaskState::Ended);
    answer.verdict = combine(answer.verdict, record.answer.verdict);
    record.answer = std::move(answer);
    changeTaskState(board, job, task, TaskState::Ended);
    board.jobsToCheck.push_back(job.id);
}

void failJob(Blackboard &board, JobRecord &job, ErrorCode reason, std::string message)
{
    if (job.failing) {
        return;
    }
    job.failing = true;
    job.failure = reason;
    job.failureMessage = std::move(message);
    board.jobsToCheck.push_back(job.id);
    for (std::uint32_t task = 0; task < job.tasks.size() && job.waiting > 0; ++task) {
        if (job.tasks[task].state == TaskState::Waiting) {
            endTask(board, job, task, TaskAnswer{Verdict::NotRun, false, nullptr, "not started: the job failed"});
        }
    }
}

void changeSizeClass(Blackboard &board, JobRecord &job, SizeClass sizeClass)
{
    for (std::uint32_t task = 0; task < job.tasks.size(); ++task) {
        if (job.tasks[task].state == TaskState::Waiting) {
            KindLoad &load = findOrAddKindLoad(board, job.spec.tasks[task].kind);
            --load.waiting[job.sizeClass.value];
            ++load.waiting[sizeClass.value];
        }
    }
    job.sizeClass = sizeClass;
}

Verdict verdictOf(const JobRecord &job)
{
    Verdict verdict = Verdict::NotRun;
    for (const TaskRecord &task : job.tasks) {
        verdict = combine(verdict, task.inFlight > 0 ? combine(task.answer.verdict, Verdict::MayHaveRun) : task.answer.verdict);
    }
    return verdict;
}

Verdict verdictOf(const JobAnswer &answer)
{
    Verdict verdict = Verdict::NotRun;
    for (const TaskAnswer &task : answer.tasks) {
        verdict = combine(verdict, task.verdict);
    }
    return verdict;
}

} // namespace Tanagertally
