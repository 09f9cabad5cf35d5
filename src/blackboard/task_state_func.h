/** Changes of a task's state, with all counters that follow it. */
#pragma once

#include "blackboard/blackboard.h"

namespace Tanagertally {

/**
 * Move a task to another state and bring the counters of its job, kind and team up to date.
 * @param board The state.
 * @param job Job of the task.
 * @param task Index of the task.
 * @param state New state. @pre An ended task stays ended.
 */
void changeTaskState(Blackboard &board, JobRecord &job, std::uint32_t task, TaskState state);

/**
 * End a task with an answer and mark its job as touched.
 * @param board The state.
 * @param job Job of the task.
 * @param task Index of the task. @pre It has not ended.
 * @param answer Its answer; its verdict is combined with those of earlier attempts.
 */
void endTask(Blackboard &board, JobRecord &job, std::uint32_t task, TaskAnswer answer);

/**
 * Make a job fail: its waiting tasks end at once and nothing more of it starts.
 * @param board The state.
 * @param job The job. Nothing happens if it is failing already.
 * @param reason Why.
 * @param message Why, for a person.
 */
void failJob(Blackboard &board, JobRecord &job, ErrorCode reason, std::string message);

/**
 * Move a job to another class of size, with the counters of its waiting tasks.
 * @param board The state.
 * @param job The job.
 * @param sizeClass Its new class.
 */
void changeSizeClass(Blackboard &board, JobRecord &job, SizeClass sizeClass);

/** @return The verdict on a job as a whole: that of the task with the strongest one. */
Verdict verdictOf(const JobRecord &job);

/** @return The verdict on an answered job as a whole. */
Verdict verdictOf(const JobAnswer &answer);

} // namespace Tanagertally
