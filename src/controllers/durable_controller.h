/** Jobs accepted for later: durable before they are accepted, started behind a durable high-water mark. */
#pragma once

#include "controllers/claim_controller.h"

namespace Tanagertally {

/** A durable job that was found in the table, to be taken over from a fenced home. */
struct AdoptedJob {
    DurableJobRow row; ///< Its row.
    RowVersion rowVersion; ///< Version of its row.
    RowVersion claimVersion; ///< Version of its claim row.
    JobSpec spec; ///< The job.
};

/**
 * Makes jobs durable, moves their high-water marks, records their answers, and takes over jobs of fenced instances.
 * Thread safety: none.
 */
class DurableController
{
public:
    /** Called with each call that awaits the acceptance, if another incarnation holds the key. */
    using ElsewhereHandler = std::function<void(const ClaimOutcome &, const ReplyTarget &)>;

    /** The references must outlive this object. */
    DurableController(Blackboard &board, Outbox &outbox, PlatformCalls &platform, GroupCommit &commits, ClaimController &claims,
                      JobController &jobs, ReplySender &replies, StartLease &lease);

    /**
     * Make a job durable and accept it.
     * @param job The job. @pre No job of its key is held.
     * @param target Who gets the acceptance or the refusal.
     * @param elsewhere Called instead of a reply if another incarnation holds the key; the job is forgotten then.
     */
    void accept(NewJob job, const ReplyTarget &target, ElsewhereHandler elsewhere);

    /** Reply to a resubmission of a durable job in the way that its caller wants. */
    void reply(JobRecord &job, SubmitMode mode, const ReplyTarget &target);

    /** Set what is called when the rows of a job under a key may be in the table: the key is used from then on. */
    void setMayBeDurableHandler(std::function<void(const TeamKey &)> handler);

    /** This incarnation is fenced: forget all durable jobs and tell those who wait to ask again. */
    void discardAll();

    /** Take a job over from its fenced home. @pre No job of its key is held. */
    void adopt(const AdoptedJob &adopted);

    /** Move high-water marks ahead where few startable tasks are left. */
    void advanceMarks();

    /** Do what is due: retries of writes. */
    void advance();

    /** @return When advance() has to be called next. */
    TimePoint nextDeadline() const;

private:
    /** What is kept of a durable job besides its record. */
    struct DurableJob {
        DurableJobRow row; ///< Its row as this instance wants it.
        RowVersion rowVersion; ///< Version of the row; 0 until it is written.
        RowVersion claimVersion; ///< Version of the claim row; 0 until it is written.
        bool accepted = false; ///< Whether the row is known to be in the table.
        bool writing = false; ///< Whether a write of the row is under way.
        std::shared_ptr<const JobAnswer> answer; ///< Answer to be recorded; null until there is one.
        bool answerStored = false; ///< Whether the answer's object is written.
        std::vector<ReplyTarget> acceptWaiters; ///< Calls that await the acceptance.
        ElsewhereHandler elsewhere; ///< Called if another incarnation holds the key.
    };

    /** What is tried again after the platform was out of reach. */
    enum class Step : std::uint8_t {
        Insert, ///< Write the rows of a new job.
        Mark, ///< Move the mark.
        Answer, ///< Record the answer.
    };

    /** A step that is due. */
    struct Retry {
        JobId job; ///< Its job.
        Step step = Step::Insert; ///< What to try again.
    };

    DurableJob *find(JobId job);
    void storeJob(JobId job);
    void insertRows(JobId job);
    void onInserted(JobId job, const CommitResult &result);
    void resolveInsert(JobId job, const std::vector<TableRow> &rows);
    void readBackRows(JobId job);
    void onAccepted(JobId job, RowVersion rowVersion);
    void refuseAccept(DurableJob &durable, const Refusal &refusal);
    void onNotAccepted(JobId job, const std::string &message);
    void discardLostJob(JobId job);
    void discard(JobId job, const Refusal &refusal);
    void moveMark(JobRecord &job, DurableJob &durable);
    void onMarkMoved(JobId job, std::uint32_t mark, const CommitResult &result);
    void recordAnswer(JobId job);
    void writeAnsweredRow(JobId job);
    void onAnswerRecorded(JobId job, const CommitResult &result);
    RowVersion ownRowVersion(const DurableJob &durable, const std::vector<TableRow> &rows) const;

    Blackboard &board; ///< The state.
    Outbox &outbox; ///< Where actions go.
    PlatformCalls &platform; ///< The platform.
    GroupCommit &commits; ///< Writes in groups.
    ClaimController &claims; ///< Claims.
    JobController &jobs; ///< Jobs.
    ReplySender &replies; ///< Sends replies.
    StartLease &lease; ///< Lease under which tasks of durable jobs start.
    std::unordered_map<JobId, DurableJob> durables; ///< Durable jobs of this home without a recorded answer.
    std::function<void(const TeamKey &)> mayBeDurableHandler; ///< Called when the rows of a job may be in the table.
    DeadlineQueue<Retry> retries; ///< Steps to try again.
};

} // namespace Tanagertally
