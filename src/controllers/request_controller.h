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
struct JobRequest {
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
    void fetchOrCancel(const JobRequest &request);

private:
    void submitIssued(Submission submission, const IssuedKey &key);
    void submitUnusedIssued(Submission submission, const IssuedKey &key);
    void submitCallerKey(Submission submission);
    void onCallerKeyClaimed(Submission submission, const ClaimOutcome &outcome);
    void onClaimedElsewhere(Submission submission, const ClaimElsewhere &claim);
    void startDurable(const Submission &submission);
    void onResubmitted(JobRecord &job, const Submission &submission);
    void startLocal(Submission submission, StartAuthority authority, Verdict priorVerdict);
    void forward(Submission submission, const HomeAddress &home);
    void handleLocal(const JobRequest &request, JobRecord &job);
    void handleUnknownIssued(const JobRequest &request, const IssuedKey &key);
    void handleByClaim(const JobRequest &request, const ClaimOutcome &outcome);
    void handleDurable(const JobRequest &request, const ClaimElsewhere &claim);
    void forward(const JobRequest &request, const HomeAddress &home);
    void handleWithoutHome(const JobRequest &request, const Refusal &refusal);
    bool isKnownGone(const ClaimHolder &holder) const;
    void markIssuedKeyUsed(const TeamKey &name);
    /** @return When to come back to the balancer: soon, as another instance serves, unless this one has yet to learn its configuration. */
    Duration retryAfterWhenNotServing() const;
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
    std::unordered_map<TeamKey, std::vector<Submission>, TeamKeyHash> awaitingClaim; ///< Submissions that await a claim.
};

} // namespace Tanagertally
