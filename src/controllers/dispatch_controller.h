/** Starts waiting tasks on endpoints, and decides what follows when an attempt ends. */
#pragma once

#include "controllers/endpoint_choice.h"
#include "controllers/endpoint_controller.h"
#include "controllers/start_lease.h"
#include "controllers/token_budget.h"

#include "blackboard/deadline_queue.h"
#include "blackboard/task_state_func.h"

namespace Tanagertally {

/**
 * The dispatcher: queue, attempts, retries, hedges and overdue attempts.
 *
 * A non-idempotent task gets another attempt only after one that certainly did not run. An idempotent one is retried
 * within a budget. An attempt that is overdue makes its connection suspect: the endpoint is probed on a new one.
 * Thread safety: none.
 */
class DispatchController
{
public:
    /** The references must outlive this object. */
    DispatchController(Blackboard &board, Outbox &outbox, EndpointController &endpoints, StartLease &lease, AnyChoice choice);

    /**
     * Queue the waiting tasks of a job.
     * @param job The job.
     * @param first Index of the first task to queue.
     * @param last Index after the last.
     */
    void enqueue(JobRecord &job, std::uint32_t first, std::uint32_t last);

    /** Start as many waiting tasks as there are slots. */
    void startWaitingTasks();

    /** Take in the end of an attempt. */
    void handle(AttemptEnded ended);

    /**
     * Take in that an endpoint was probed on a new connection. If it answered, the connections of overdue attempts are
     * suspect; if it did not, the endpoint is. Either way overdue attempts at idempotent tasks are made elsewhere.
     */
    void onEndpointProbed(EndpointId endpoint);

    /** Queue again the tasks that waited for the start lease. */
    void onLeaseRegained();

    /** Do what is due: overdue attempts and delayed retries. */
    void advance();

    /** @return When advance() has to be called next. */
    TimePoint nextDeadline() const;

    /** @return Attempts in flight. */
    std::size_t inFlight() const
    {
        return this->attempts.size();
    }

private:
    /** An attempt in flight. */
    struct Attempt {
        AttemptId id; ///< Its number.
        JobId job; ///< Its job.
        std::uint32_t task = 0; ///< Index of its task.
        EndpointId endpoint; ///< Where it runs.
        KindName kind; ///< Its kind.
        TeamName team; ///< Its team.
        TimePoint startedAt{}; ///< When it was started.
        bool idempotent = false; ///< Whether its task may run more than once.
        bool overdue = false; ///< Whether it has run for longer than nearly all of its kind.
        bool abandoned = false; ///< Whether it was given up.
    };

    /** What is checked about an attempt in flight. */
    enum class CheckKind : std::uint8_t {
        Hedge, ///< Start a second attempt.
        Overdue, ///< Probe the endpoint.
        Limit, ///< Give it up.
    };

    /** A check of an attempt that comes due. */
    struct Check {
        AttemptId attempt; ///< The attempt.
        CheckKind kind = CheckKind::Overdue; ///< What to check.
    };

    void promote(JobRecord &job);
    void queueTask(JobRecord &job, std::uint32_t task, bool front);
    TaskQueue::Choice evaluateCandidate(const QueuedTask &next, const TeamName &team, EndpointRecord *&chosen);
    void start(JobRecord &job, std::uint32_t task, EndpointRecord &endpoint);
    void scheduleChecks(const Attempt &attempt, const KindConfig *kind);
    void runCheck(const Check &check);
    void hedge(const Attempt &attempt);
    /**
     * Tell whether an attempt that is merely overdue may be given up: its task is idempotent and has another attempt left. The
     * last one is waited for, since the run time may have been estimated far too short.
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

    Blackboard &board; ///< The state.
    Outbox &outbox; ///< Where actions go.
    EndpointController &endpoints; ///< Keeps the endpoints.
    StartLease &lease; ///< Lease for durable jobs.
    AnyChoice choice; ///< Policy that chooses endpoints.
    std::unordered_map<AttemptId, Attempt> attempts; ///< Attempts in flight.
    DeadlineQueue<Check> checks; ///< Checks of attempts in flight.
    DeadlineQueue<JobId> promotions; ///< When waiting jobs come before smaller ones.
    DeadlineQueue<QueuedTask> delayedRetries; ///< Retries that wait for the budget.
    std::vector<QueuedTask> tasksAwaitingLease; ///< Tasks of durable jobs that wait for the start lease.
    TokenBudget retryBudget; ///< Bounds retries.
    TokenBudget hedgeBudget; ///< Bounds hedges.
    std::uint64_t lastAttempt = 0; ///< Last number given.
};

} // namespace Tanagertally
