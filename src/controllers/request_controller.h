/** Requests of callers, received directly or from a peer: routes each to the home of its key. */
#pragma once

#include "controllers/durable_controller.h"
#include "controllers/forward_controller.h"
#include "controllers/key_controller.h"

namespace Tanagertally {

/** Origin of a request. */
enum class RequestOrigin : std::uint8_t {
    Caller, ///< A caller of this instance.
    Peer, ///< A peer, which regards this instance as the home of the key; the request is not forwarded again.
};

/** A submission of a job. */
struct Submission {
    ReplyTarget target; ///< Receives the reply.
    RequestOrigin origin = RequestOrigin::Caller;
    TeamName team; ///< Team of the caller.
    JobKey key; ///< Key of the job; empty to have one issued.
    JobSpec job;
};

/** A request for the state or answer of a job, or to cancel it. */
struct JobRequest {
    /** Type of the request. */
    enum class Kind : std::uint8_t {
        State, ///< Reply at once, with the answer or the state of the job.
        Answer, ///< Reply with the answer when the job is answered.
        Cancel, ///< Cancel the job.
    };

    ReplyTarget target; ///< Receives the reply.
    RequestOrigin origin = RequestOrigin::Caller;
    TeamName team; ///< Team of the caller.
    JobKey key; ///< Key of the job.
    Kind kind = Kind::State;
    bool isLastTry = false; ///< Set after the home failed to reply; another failure refuses the request.
};

/**
 * Routes requests by start authority: only the home of a key starts its tasks, so that no task of a submission starts twice.
 *
 * The home of an issued key is its issuer. The home of a key that its caller chose is the holder of the claim in the table.
 * Thread safety: none.
 */
class RequestController
{
public:
    /** The references must outlive this object. */
    RequestController(Blackboard &board, ReplySender &replies, KeyController &keys, ForwardController &forwards, ClaimController &claims,
                      DurableController &durables, JobController &jobs, PlatformCalls &platform);

    /** Issues keys to a caller. */
    void handle(const KeysRequested &request);

    /** Routes a submission to the home of its key. */
    void submit(Submission submission);

    /** Routes a fetch or a cancellation to the home of the key. */
    void fetchOrCancel(const JobRequest &request);

private:
    void submitIssued(Submission submission, const IssuedKey &key);
    void submitUnusedIssued(Submission submission, const IssuedKey &key);
    void submitCallerKey(Submission submission);
    void onCallerKeyClaimed(Submission submission, const ClaimOutcome &outcome);
    void onClaimedElsewhere(Submission submission, const ClaimElsewhere &claim);
    void startDurable(const Submission &submission);
    void onResubmitted(JobRecord &job, const Submission &submission);
    /** Starts a job on this instance. @param priorVerdict Verdict over earlier submissions of the job. */
    void startLocal(Submission submission, StartAuthority authority, Verdict priorVerdict);
    void forward(Submission submission, const HomeAddress &home);
    void handleLocal(const JobRequest &request, JobRecord &job);
    /** Handles a request for an issued key under which this instance holds no job. */
    void handleUnknownIssued(const JobRequest &request, const IssuedKey &key);
    void handleByClaim(const JobRequest &request, const ClaimOutcome &outcome);
    /** Replies with the stored answer of a durable job, or forwards the request to the holder of its row. */
    void handleDurable(const JobRequest &request, const ClaimElsewhere &claim);
    void forward(const JobRequest &request, const HomeAddress &home);
    /** Looks for a durable job under the key after its home failed to reply; sends the refusal if there is none. */
    void handleWithoutHome(const JobRequest &request, const Refusal &refusal);
    bool isKnownGone(const ClaimHolder &holder) const;
    void markIssuedKeyUsed(const TeamKey &name);
    /**
     * @return Retry time of a refusal while this instance does not serve. It is short, since the load balancer sends the retry to
     * another instance, unless this instance is still waiting for its configuration.
     */
    Duration retryAfterWhenNotServing() const;
    bool refuseIfNotServing(const Submission &submission);

    /**
     * Refuses a request if this instance has drained and is about to exit, unless it holds the answer: it neither forwards
     * requests nor waits any more.
     * @return Whether the request was refused.
     */
    bool refuseIfStopped(const ReplyTarget &target, const TeamKey &name);

    Blackboard &board;
    ReplySender &replies;
    KeyController &keys;
    ForwardController &forwards;
    ClaimController &claims;
    DurableController &durables;
    JobController &jobs;
    PlatformCalls &platform;
    std::unordered_map<TeamKey, std::vector<Submission>, TeamKeyHash> awaitingClaim; ///< Submissions that wait for the claim of their key.
};

} // namespace Tanagertally
