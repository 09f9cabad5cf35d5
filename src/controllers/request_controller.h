/** Requests of callers, from here or forwarded by a peer: finds the home of the key and acts there or forwards. */
#pragma once

#include "controllers/durable_controller.h"
#include "controllers/forward_controller.h"
#include "controllers/key_controller.h"

namespace Tanagertally {

/** Where a request came from. */
enum class RequestOrigin : std::uint8_t {
    Caller, ///< From a caller of this instance.
    Peer, ///< Forwarded by a peer that takes this instance for the home.
};

/** A submission, wherever it came from. */
struct Submission {
    ReplyTarget target; ///< Who gets the reply.
    RequestOrigin origin = RequestOrigin::Caller; ///< Where it came from.
    TeamName team; ///< Team of the caller.
    JobKey key; ///< Key of the job; empty to have one issued.
    JobSpec job; ///< The job.
};

/** A question about a job or its cancellation, wherever it came from. */
struct JobQuestion {
    /** What is asked. */
    enum class Kind : std::uint8_t {
        State, ///< The answer or where the job stands, at once.
        Answer, ///< The answer when it is there.
        Cancel, ///< Cancel the job.
    };

    ReplyTarget target; ///< Who gets the reply.
    RequestOrigin origin = RequestOrigin::Caller; ///< Where it came from.
    TeamName team; ///< Team of the caller.
    JobKey key; ///< Key of the job.
    Kind kind = Kind::State; ///< What is asked.
    bool isLastTry = false; ///< Whether its home was already looked for elsewhere in vain.
};

/**
 * Start authority: only the home of a key starts its tasks, so that no task of a submission starts twice.
 *
 * The home of an issued key is its issuer; the home of a caller's own key is whoever's claim stands in the table.
 * Thread safety: none.
 */
class RequestController
{
public:
    /** The references must outlive this object. */
    RequestController(Blackboard &board, ReplySender &replies, KeyController &keys, ForwardController &forwards, ClaimController &claims,
                      DurableController &durables, JobController &jobs, PlatformCalls &platform);

    /** Issue keys to a caller. */
    void handle(const KeysRequested &request);

    /** Take a submission to the home of its key. */
    void submit(Submission submission);

    /** Take a question to the home of its key. */
    void ask(const JobQuestion &question);

private:
    void submitIssued(Submission submission, const IssuedKey &key);
    void submitUnusedIssued(Submission submission, const IssuedKey &key);
    void submitOwn(Submission submission);
    void ownKeyClaimed(Submission submission, const ClaimOutcome &outcome);
    void ownKeyElsewhere(Submission submission, const ClaimElsewhere &claim);
    void startDurable(const Submission &submission);
    void resubmitted(JobRecord &job, const Submission &submission);
    void startHere(Submission submission, StartAuthority authority, Verdict before);
    void forward(Submission submission, const HomeAddress &home);
    void askHere(const JobQuestion &question, JobRecord &job);
    void askUnknownIssued(const JobQuestion &question, const IssuedKey &key);
    void askByClaim(const JobQuestion &question, const ClaimOutcome &outcome);
    void askDurable(const JobQuestion &question, const ClaimElsewhere &claim);
    void forward(const JobQuestion &question, const HomeAddress &home);
    void askWithoutHome(const JobQuestion &question, const Refusal &refusal);
    bool isKnownGone(const ClaimHolder &holder) const;
    void markIssuedUsed(const TeamKey &name);
    /** @return When to come back to the balancer: soon, as another instance serves, unless this one has yet to learn its configuration. */
    Duration comeBack() const;
    bool refuseIfNotServing(const Submission &submission);

    /**
     * Refuse a request at an instance that has drained and is about to exit, unless the answer is at hand: nothing is
     * forwarded or waited for any more.
     * @return Whether the request was refused.
     */
    bool refuseIfStopped(const ReplyTarget &target, const TeamKey &name);

    Blackboard &board; ///< The state.
    ReplySender &replies; ///< Sends replies.
    KeyController &keys; ///< Issued keys.
    ForwardController &forwards; ///< Forwards requests.
    ClaimController &claims; ///< Claims.
    DurableController &durables; ///< Durable jobs.
    JobController &jobs; ///< Jobs.
    PlatformCalls &platform; ///< The platform.
    std::unordered_map<TeamKey, std::vector<Submission>, TeamKeyHash> claiming; ///< Submissions that await a claim.
};

} // namespace Tanagertally
