/** Starts waiting tasks on endpoints, and retries or fails them when an attempt ends. */
#pragma once

#include "controllers/endpoint_choice.h"
#include "controllers/endpoint_controller.h"
#include "controllers/start_lease.h"
#include "controllers/token_budget.h"

#include "blackboard/deadline_queue.h"
#include "blackboard/task_state_func.h"

namespace Tanagertally {

/**
 * Dispatches tasks: starts attempts from the queue, retries, hedges, and checks overdue attempts.
 *
 * A non-idempotent task gets another attempt only if the previous one certainly did not run. An idempotent task is retried
 * within a budget. If an attempt is overdue, its connection may be broken, so the endpoint is probed on a new one.
 * Thread safety: none.
 */
class DispatchController
{
public:
    /** The references must outlive this object. */
    DispatchController(Blackboard &board, Outbox &outbox, EndpointController &endpoints, StartLease &lease, EndpointPolicy choice);

    /** Queues the waiting tasks of a job with an index in [first, last). */
    void enqueue(JobRecord &job, std::uint32_t first, std::uint32_t last);

    /** Starts waiting tasks until no endpoint has a free slot or no queued task can start. */
    void startWaitingTasks();

    /** Handles the end of an attempt: ends, retries or requeues its task. */
    void handle(AttemptEnded ended);

    /**
     * Handles the end of a probe of an endpoint. If the endpoint answered on the new connection, the connections of its overdue
     * attempts are presumably broken; if it did not answer, the endpoint is. In both cases overdue attempts of idempotent tasks
     * are abandoned, so that they are retried on another endpoint.
     */
    void onEndpointProbed(EndpointId endpoint);

    /** Requeues the tasks that were waiting for the start lease. */
    void onLeaseRegained();

    /** Runs the timers that are due: promotions, checks of attempts and delayed retries. */
    void advance();

    /** @return Time at which advance() has to be called next. */
    TimePoint nextDeadline() const;

    /** @return Number of attempts in flight. */
    std::size_t inFlight() const
    {
        return this->attempts.size();
    }

private:
    /** An attempt in flight. */
    struct Attempt {
        AttemptId id;
        JobId job;
        std::uint32_t task = 0; ///< Index of the task in the job.
        EndpointId endpoint;
        KindName kind; ///< Kind of the task.
        TeamName team; ///< Team of the job.
        TimePoint startedAt{};
        bool idempotent = false; ///< Whether the task may run more than once.
        bool overdue = false; ///< Whether the run time exceeds a multiple of the longest recent run time of the kind.
        bool abandoned = false; ///< Whether AbandonAttempt was emitted.
    };

    /** Timers of an attempt in flight. */
    enum class CheckKind : std::uint8_t {
        Hedge, ///< Starts a second attempt.
        Overdue, ///< Marks the attempt overdue and probes the endpoint.
        Limit, ///< Abandons the attempt.
    };

    /** A timer of an attempt. */
    struct Check {
        AttemptId attempt;
        CheckKind kind = CheckKind::Overdue;
    };

    /** Moves the waiting tasks of a job to the size class that is served first. */
    void promote(JobRecord &job);
    void queueTask(JobRecord &job, std::uint32_t task, bool front);
    /** Decides whether a queued task can start now. @param chosen Set to the endpoint if the result is Take. */
    TaskQueue::Choice evaluateCandidate(const QueuedTask &next, const TeamName &team, EndpointRecord *&chosen);
    void start(JobRecord &job, std::uint32_t task, EndpointRecord &endpoint);
    void scheduleChecks(const Attempt &attempt, const KindConfig *kind);
    void runCheck(const Check &check);
    void hedge(const Attempt &attempt);
    /**
     * Returns whether an overdue attempt may be abandoned: its task is idempotent and has another attempt left. The last
     * attempt is not abandoned, since the estimate of the run time may be far too short.
     */
    bool isRepeatable(const Attempt &attempt);
    void abandon(Attempt &attempt);
    void releaseSlot(const Attempt &attempt);
    void applyOutcome(const Attempt &attempt, AttemptEnded &ended);
    void recordFailure(const JobRecord &job, const Attempt &attempt, const AttemptEnded &ended);
    void onSucceeded(JobRecord &job, const Attempt &attempt, AttemptEnded &ended);
    void onNotStarted(JobRecord &job, const Attempt &attempt);
    void onFailedOrLost(JobRecord &job, const Attempt &attempt, const AttemptEnded &ended);
    void failTask(JobRecord &job, std::uint32_t task, Verdict verdict, ErrorCode reason, const std::string &error);
    void retryLater(JobRecord &job, std::uint32_t task);
    void abandonOtherAttempts(const JobRecord &job, std::uint32_t task);

    Blackboard &board;
    Outbox &outbox;
    EndpointController &endpoints;
    StartLease &lease; ///< Must be held to start tasks of durable jobs.
    EndpointPolicy choice; ///< Policy that selects the endpoint for a task.
    std::unordered_map<AttemptId, Attempt> attempts; ///< Attempts in flight.
    DeadlineQueue<Check> checks; ///< Timers of attempts in flight.
    DeadlineQueue<JobId> promotions; ///< Times at which waiting jobs move to the size class that is served first.
    DeadlineQueue<QueuedTask> delayedRetries; ///< Retries that wait for a token of the retry budget.
    std::vector<QueuedTask> tasksAwaitingLease; ///< Tasks of durable jobs that were dequeued while the start lease had lapsed.
    TokenBudget retryBudget; ///< Bounds retries.
    TokenBudget hedgeBudget; ///< Bounds hedges.
    std::uint64_t lastAttempt = 0; ///< Number of the last attempt started.
};

} // namespace Tanagertally
