/** State changes of tasks and jobs that keep the dependent counters consistent. */
#pragma once

#include "blackboard/blackboard.h"

namespace Tanagertally {

/**
 * Moves a task to another state and updates the counters of its job, kind and team.
 * @param board State of the instance.
 * @param job Job of the task.
 * @param task Index of the task in the job.
 * @param state New state; no effect if the task has it already.
 * @pre The task has not ended, unless state is TaskState::Ended.
 */
void changeTaskState(Blackboard &board, JobRecord &job, std::uint32_t task, TaskState state);

/**
 * Ends a task with an answer and adds its job to Blackboard::jobsToCheck.
 * @param board State of the instance.
 * @param job Job of the task.
 * @param task Index of the task in the job.
 * @param answer Answer of the task; its verdict is combined with those of earlier attempts.
 * @pre The task has not ended.
 */
void endTask(Blackboard &board, JobRecord &job, std::uint32_t task, TaskAnswer answer);

/**
 * Marks a job as failing and ends its waiting tasks, so that no further attempt starts.
 * @param board State of the instance.
 * @param job Job to fail; no effect if it is failing already.
 * @param reason Machine-readable reason.
 * @param message Human-readable reason.
 */
void failJob(Blackboard &board, JobRecord &job, ErrorCode reason, std::string message);

/**
 * Changes the size class of a job and updates the counters of its waiting tasks. The caller requeues the tasks.
 * @param board State of the instance.
 * @param job Job to change.
 * @param sizeClass New size class.
 */
void changeSizeClass(Blackboard &board, JobRecord &job, SizeClass sizeClass);

/** @return The strongest verdict of the job's tasks; a task with an attempt in flight counts as at least MayHaveRun. */
Verdict verdictOf(const JobRecord &job);

/** @return The strongest verdict of the tasks of an answered job. */
Verdict verdictOf(const JobAnswer &answer);

} // namespace Tanagertally
