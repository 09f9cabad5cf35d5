/** Jobs at their home, from admission to the answer. */
#pragma once

#include "controllers/dispatch_controller.h"
#include "controllers/reply_sender.h"

#include <deque>

namespace Tanagertally {

/** A new job at this home. */
struct NewJob {
    JobKey key;
    TeamName team; ///< Team of the caller.
    JobSpec spec;
    StartAuthority authority = StartAuthority::IssuedKey; ///< Authority under which this instance starts its tasks.
};

/**
 * Holds the jobs of this home, answers them, and retains answers for resubmissions.
 *
 * A job is answered once: when all its tasks have ended; after a failure, as soon as no non-idempotent task is in flight, whose
 * outcome could change the verdict; and at the latest at its deadline.
 * Thread safety: none.
 */
class JobController
{
public:
    /** The references must outlive this object. */
    JobController(Blackboard &board, Outbox &outbox, ReplySender &replies, DispatchController &dispatch);

    /**
     * Adds a job without starting it.
     * @pre This instance holds no job of the same key.
     * @return Record of the job.
     */
    JobRecord &add(NewJob job);

    /** Queues tasks of a job up to a limit. @param limit Index after the last task that may start. */
    void start(JobRecord &job, std::uint32_t limit = UINT32_MAX);

    /**
     * Replies with the answer of a job, at once if it is answered, otherwise when it is.
     * @param target Receives the answer.
     */
    void replyWhenAnswered(JobRecord &job, const ReplyTarget &target);

    /** @return State and progress of a job. */
    static JobStatus statusOf(const JobRecord &job);

    /** Cancels a job; has no effect on a job that is answered. */
    void cancel(JobRecord &job);

    /**
     * Removes a job without answering it.
     * @param refusal Sent to all calls that wait for the answer.
     */
    void discard(JobId job, const Refusal &refusal);

    /** Refuses all calls that wait for the answer of a job; the job continues. */
    void refuseWaiters(JobRecord &job, const Refusal &refusal);

    /** Answers the jobs touched by the current event that are done. */
    void answerFinishedJobs();

    /** Handles deadlines that have passed and evicts answers whose retention time is over. */
    void advance();

    /** @return Time at which advance() has to be called next. */
    TimePoint nextDeadline() const;

    /**
     * Sets the handler that stores the answer of a durable job before it is published.
     * The handler has to call publish() once the answer is stored.
     */
    void setDurableAnswerHandler(std::function<void(JobRecord &, std::shared_ptr<const JobAnswer>)> handler);

    /** Sends an answer to all calls that wait for it, and retains it. */
    void publish(JobRecord &job, std::shared_ptr<const JobAnswer> answer);

    /** @return Number of jobs without a published answer. */
    std::size_t unanswered() const
    {
        return this->unansweredCount;
    }

    /** @return Whether a job of this key was answered by this instance and its answer has been evicted. */
    bool wasEvicted(const TeamKey &name) const;

private:
    /** An answer that is retained for resubmissions. */
    struct RetainedAnswer {
        JobId job;
        TimePoint until{}; ///< Time of its eviction.
        std::size_t bytes = 0; ///< Estimated memory use.
    };

    bool isDone(const JobRecord &job) const;
    void answerJob(JobRecord &job);
    std::shared_ptr<const JobAnswer> makeAnswer(JobRecord &job) const;
    void evictOldest();

    Blackboard &board;
    Outbox &outbox;
    ReplySender &replies;
    DispatchController &dispatch; ///< Runs the tasks.
    DeadlineQueue<JobId> deadlines;
    std::deque<RetainedAnswer> retained; ///< Retained answers, oldest first.
    std::size_t retainedBytes = 0; ///< Estimated memory use of all retained answers.
    std::size_t unansweredCount = 0; ///< Number of jobs without a published answer.
    std::unordered_set<std::uint64_t> evictedKeys; ///< Hashes of caller-chosen keys whose answers were evicted.
    std::function<void(JobRecord &, std::shared_ptr<const JobAnswer>)> durableAnswerHandler; ///< Stores answers of durable jobs.
};

/** @return Digest of the tasks of a job; tells a resubmission from another job under the same key. */
std::uint64_t digestOf(const JobSpec &job);

} // namespace Tanagertally
