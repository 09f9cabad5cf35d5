/** Jobs at their home: from admission to the answer. */
#pragma once

#include "controllers/dispatch_controller.h"
#include "controllers/reply_sender.h"

#include <deque>

namespace Tanagertally {

/** What a new job at this home is made of. */
struct NewJob {
    JobKey key; ///< Its key.
    TeamName team; ///< Team of the caller.
    JobSpec spec; ///< The job.
    StartAuthority authority = StartAuthority::IssuedKey; ///< Right to start its tasks.
};

/**
 * Holds the jobs of this home, answers them, and keeps answers for resubmissions.
 *
 * A job is answered once: when all its tasks have ended; when it fails, as soon as no task is in flight whose outcome
 * matters for the verdict; and at its deadline in any case.
 * Thread safety: none.
 */
class JobController
{
public:
    /** The references must outlive this object. */
    JobController(Blackboard &board, Outbox &outbox, ReplySender &replies, DispatchController &dispatch);

    /**
     * Take a job in without starting it.
     * @param job The job. @pre No job of its key is held.
     * @return Its record.
     */
    JobRecord &add(NewJob job);

    /** Queue tasks of a job up to a limit. @param limit Index after the last task that may start. */
    void start(JobRecord &job, std::uint32_t limit = UINT32_MAX);

    /**
     * Reply to a resubmission, or to a fetch that waits.
     * @param job The job. @param target Who asked.
     */
    void replyWhenAnswered(JobRecord &job, const ReplyTarget &target);

    /** @return Where a job stands. */
    static JobStatus statusOf(const JobRecord &job);

    /** Cancel a job; nothing happens if it is answered. */
    void cancel(JobRecord &job);

    /**
     * Forget a job without answering it.
     * @param job The job.
     * @param refusal What all who wait for its answer are told.
     */
    void discard(JobId job, const Refusal &refusal);

    /** Refuse all calls that await a job's answer; the job goes on. */
    void refuseWaiters(JobRecord &job, const Refusal &refusal);

    /** Answer the jobs that were touched by the present event. */
    void answerFinishedJobs();

    /** Do what is due: deadlines, and answers kept long enough. */
    void advance();

    /** @return When advance() has to be called next. */
    TimePoint nextDeadline() const;

    /**
     * Set who records the answer of a durable job before it is given out.
     * The handler has to call publish() when the answer is recorded.
     */
    void setDurableAnswerHandler(std::function<void(JobRecord &, std::shared_ptr<const JobAnswer>)> handler);

    /** Give out an answer to all who wait for it, and keep it. */
    void publish(JobRecord &job, std::shared_ptr<const JobAnswer> answer);

    /** @return Jobs without an answer. */
    std::size_t unanswered() const
    {
        return this->unansweredCount;
    }

    /** @return Whether a job of this key was answered here and its answer is no longer kept. */
    bool wasEvicted(const TeamKey &name) const;

private:
    /** An answer that is kept for resubmissions. */
    struct RetainedAnswer {
        JobId job; ///< Its job.
        TimePoint until{}; ///< When it may be forgotten.
        std::size_t bytes = 0; ///< Its size.
    };

    bool isDone(const JobRecord &job) const;
    void answerJob(JobRecord &job);
    std::shared_ptr<const JobAnswer> makeAnswer(JobRecord &job) const;
    void evictOldest();

    Blackboard &board; ///< The state.
    Outbox &outbox; ///< Where actions go.
    ReplySender &replies; ///< Sends replies.
    DispatchController &dispatch; ///< Runs tasks.
    DeadlineQueue<JobId> deadlines; ///< Deadlines of jobs.
    std::deque<RetainedAnswer> retained; ///< Answers in the order in which they were given.
    std::size_t retainedBytes = 0; ///< Size of all answers kept.
    std::size_t unansweredCount = 0; ///< Jobs without an answer.
    std::unordered_set<std::uint64_t> evictedKeys; ///< Hashes of own keys whose answers were forgotten.
    std::function<void(JobRecord &, std::shared_ptr<const JobAnswer>)> durableAnswerHandler; ///< Records answers of durable jobs.
};

/** @return Digest of a job's tasks, by which a resubmission is told from another job under the same key. */
std::uint64_t digestOf(const JobSpec &job);

} // namespace Tanagertally
