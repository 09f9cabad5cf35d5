/** Durable jobs: stored before they are accepted; their tasks start only below a stored high-water mark. */
#pragma once

#include "controllers/claim_controller.h"

namespace Tanagertally {

/** A durable job read from the table, to be adopted from a fenced home. */
struct AdoptedJob {
    DurableJobRow row;
    RowVersion rowVersion; ///< Version of the job row.
    RowVersion claimVersion; ///< Version of the claim row.
    JobSpec spec;
};

/**
 * Stores durable jobs, advances their high-water marks, stores their answers, and adopts jobs of fenced instances.
 * Thread safety: none.
 */
class DurableController
{
public:
    /** Called once for each call that awaits the acceptance of a job whose key is held by another incarnation. */
    using ElsewhereHandler = std::function<void(const ClaimOutcome &, const ReplyTarget &)>;

    /** The references must outlive this object. */
    DurableController(Blackboard &board, Outbox &outbox, PlatformCalls &platform, GroupCommit &commits, ClaimController &claims,
                      JobController &jobs, ReplySender &replies, StartLease &lease);

    /**
     * Stores a job and accepts it.
     * @param target Receives the acceptance or the refusal.
     * @param elsewhere Called instead of a reply if another incarnation holds the key; the job is then discarded.
     * @pre This instance holds no job of the same key.
     */
    void accept(NewJob job, const ReplyTarget &target, ElsewhereHandler elsewhere);

    /** Replies to a resubmission according to its mode: with the answer (Wait) or with the acceptance (Later). */
    void reply(JobRecord &job, SubmitMode mode, const ReplyTarget &target);

    /** Sets the handler that is called when the rows of a job may have been written: its key counts as used from then on. */
    void setMayBeDurableHandler(std::function<void(const TeamKey &)> handler);

    /** Discards all durable jobs, after this incarnation was fenced, and refuses waiting calls with a time to retry. */
    void discardAll();

    /** Adopts a job from its fenced home. @pre This instance holds no job of the same key. */
    void adopt(const AdoptedJob &adopted);

    /** Advances the high-water marks of jobs touched by the current event that have few startable tasks left. */
    void advanceMarks();

    /** Retries the writes that are due. */
    void advance();

    /** @return Time at which advance() has to be called next. */
    TimePoint nextDeadline() const;

private:
    /** State of a durable job in addition to its JobRecord. */
    struct DurableJob {
        DurableJobRow row; ///< Row as this instance last wrote it or is about to write it.
        RowVersion rowVersion; ///< Version of the job row; 0 until it is written.
        RowVersion claimVersion; ///< Version of the claim row; 0 until it is written.
        bool accepted = false; ///< Whether the row is known to be in the table.
        bool writing = false; ///< Whether a write of the row is in flight or waits for a retry.
        std::shared_ptr<const JobAnswer> answer; ///< Answer to be stored; null until the job has ended.
        bool answerStored = false; ///< Whether the object of the answer has been written.
        std::vector<ReplyTarget> acceptWaiters; ///< Calls that wait for the acceptance.
        ElsewhereHandler elsewhere; ///< Called if another incarnation holds the key.
    };

    /** Write to retry after the platform was unavailable. */
    enum class Step : std::uint8_t {
        Insert, ///< Insert the rows of a new job.
        Mark, ///< Advance the high-water mark.
        Answer, ///< Store the answer.
    };

    /** A write to retry. */
    struct Retry {
        JobId job;
        Step step = Step::Insert;
    };

    DurableJob *find(JobId job);
    /** Writes the object of a job, then inserts its rows. */
    void storeJob(JobId job);
    void insertRows(JobId job);
    void onInserted(JobId job, const CommitResult &result);
    /** Finds from rows read back from the table whether this instance or another one holds the key. */
    void resolveInsert(JobId job, const std::vector<TableRow> &rows);
    /** Reads the rows of a job after the reply to their insertion was lost. */
    void readBackRows(JobId job);
    void onAccepted(JobId job, RowVersion rowVersion);
    void refuseAccept(DurableJob &durable, const Refusal &refusal);
    void onNotAccepted(JobId job, const std::string &message);
    /** Discards a job that another instance has adopted. */
    void discardLostJob(JobId job);
    void discard(JobId job, const Refusal &refusal);
    void moveMark(JobRecord &job, DurableJob &durable);
    void onMarkMoved(JobId job, std::uint32_t mark, const CommitResult &result);
    void recordAnswer(JobId job);
    void writeAnsweredRow(JobId job);
    void onAnswerRecorded(JobId job, const CommitResult &result);
    /** @return Version of the job row if it still names this incarnation; 0 otherwise. */
    RowVersion ownRowVersion(const DurableJob &durable, const std::vector<TableRow> &rows) const;

    Blackboard &board;
    Outbox &outbox;
    PlatformCalls &platform; ///< Used for objects and reads.
    GroupCommit &commits; ///< Used for row writes.
    ClaimController &claims;
    JobController &jobs;
    ReplySender &replies;
    StartLease &lease; ///< Must be held to start tasks of durable jobs.
    std::unordered_map<JobId, DurableJob> durables; ///< Durable jobs of this instance whose answer is not stored yet.
    std::function<void(const TeamKey &)> mayBeDurableHandler; ///< Called when the rows of a job may have been written.
    DeadlineQueue<Retry> retries; ///< Writes to retry, by the time of the retry.
};

} // namespace Tanagertally
