/** The leader of a cell: the only instance that stores the cell's jobs and gives orders to its endpoints. */
#pragma once

#include "cells/admission.h"
#include "cells/cell_endpoint.h"
#include "cells/cell_evacuation.h"
#include "cells/cell_job.h"
#include "cells/commit_chain.h"
#include "cells/crash_history.h"
#include "cells/placement.h"
#include "cells/service_rate.h"

#include <functional>
#include <limits>
#include <map>
#include <set>
#include <span>

namespace Tanagertally::Cells {

/** Why runs are given up: the endpoint did not answer while their leases lasted. */
inline constexpr std::string_view LeaseLapsedReason = "lease-lapsed";

/** Configuration of a cell leader. */
struct CellLeaderOptions {
    CellName cell;
    InstanceName self; ///< Name of this instance.
    Incarnation incarnation; ///< Incarnation of this process.
    LeaseTerms lease;
    std::size_t maxRowBytes = std::numeric_limits<std::size_t>::max(); ///< Largest value of a row that the store accepts.
    TimePoint
        formerLeaderSeenAt{}; ///< When the first leader whose callers may not have returned gave its last sign of life; unset if none.
    /** Returns whether the leader named by the lead row may be replaced; called at most once, before the lead is claimed. */
    std::function<bool(const LeadRecord &)> canReplace = [](const LeadRecord &) { return true; };
    /** Returns whether there is memory for another job of the given size in bytes, which then counts as taken. */
    std::function<bool(std::size_t)> admitMemory = [](std::size_t) { return true; };
    /** Returns how long nothing was heard of the instance whose caller waits for a call. */
    std::function<Duration(CallId)> callerSilence = [](CallId) { return Duration{}; };
};

/** Load of a cell. */
struct CellLoad {
    std::int64_t capacityCpu = 0; ///< Capacity of the endpoints that accept work, in thousandths of a core.
    std::int64_t freeCpu = 0; ///< Unused part of `capacityCpu`.
    std::int64_t rateCpu = 0; ///< Capacity at the endpoints' real rate, in thousandths of a core; 0 if it isn't known.
    std::int64_t usableCpu = -1; ///< Part of `freeCpu` that tasks of a typical demand can use; negative if it isn't known.
    double waitingWork = 0; ///< Estimated work of tasks that have not started, or may not have, in core-milliseconds.
    std::map<QueueName, std::uint64_t> pendingJobs; ///< Number of accepted jobs without a started task, by queue.
    std::vector<std::string> labels; ///< Distinct labels of the registered endpoints, such as their racks.
};

/**
 * Leads one cell from claiming the lead until it is lost or released.
 *
 * The claim rewrites the lead row on condition of its version, which ends the former leader's chain of transactions. Then the cell's rows
 * are read, and every endpoint that a former leader may have used lists its runs under the new fencing token. Unaccounted tasks of
 * recovered jobs start once all these endpoints have answered, or once all leases that former leaders granted have certainly expired.
 *
 * A submission is accepted once its rows are stored. The end of a run is acknowledged to its endpoint once the job's progress is stored,
 * and a job is reported as ended once its end is stored.
 *
 * Thread safety: none. The time must not decrease from call to call.
 */
class CellLeader
{
public:
    /** Starts to claim the lead. */
    CellLeader(CellLeaderOptions options, TimePoint now);

    /** Not copied or moved, as its endpoints refer to it. */
    CellLeader(const CellLeader &) = delete;
    CellLeader &operator=(const CellLeader &) = delete;

    /** Returns the actions emitted since the last call, in order. */
    std::vector<CellAction> takeActions();

    /** Sets the registered endpoints of the cell. */
    void setEndpoints(TimePoint now, std::span<const EndpointRecord> records);

    /**
     * Submits a job; emits AnswerSubmission once the job is refused or stored, or for a best-effort job once it has ended.
     * @param mayHaveRun Whether the job was submitted to a leader of the cell before, which may have run it.
     * @param expiresAt When the caller stops waiting; a best-effort job that has not ended by then is withdrawn.
     * @pre validateSpec() is empty.
     */
    void submit(TimePoint now, CallId call, JobId id, JobSpec spec, JobTerms terms, bool mayHaveRun = false,
                TimePoint expiresAt = TimePoint::max());

    /**
     * Evacuates the cell, or reopens it. An evacuated cell takes no new jobs and hands back best-effort jobs that were never started; from
     * `startsUntil` on it starts nothing, and answers best-effort jobs that can't go on as unknown. Stored jobs wait until it is reopened
     * or another cell takes them.
     * @param startsUntil Time until which tasks of started jobs may be started; unset to reopen the cell. The first one of an evacuation
     * counts.
     */
    void setEvacuated(TimePoint now, std::optional<TimePoint> startsUntil);

    /** Cancels the best-effort job of a submission whose caller has disconnected, and stops its runs. No effect on stored jobs. */
    void withdraw(TimePoint now, CallId call);

    /** Cancels a job; emits AnswerCancel once the cancellation is stored. */
    void cancel(TimePoint now, CallId call, const JobId &id);

    /** @return State of a job; NoSuchJob if the cell has no such job, or Unknown if that can't be determined now. */
    JobAnswer query(const JobId &id) const;

    /** @return Stored jobs of which nothing has run for some seconds although tasks could start; empty between two looks at them. */
    std::vector<IdleJob> idleJobs(TimePoint now);

    /** Has idleJobs() return jobs again soon. @pre idleJobs() returned them at `now`. */
    void postponeTransfers(TimePoint now, std::span<const IdleJob> idle);

    /** @return Endpoints that take tasks now, with their free resources; empty if the leader starts no tasks. */
    std::vector<EndpointRoom> rooms(TimePoint now) const;

    /** Hands a job over to another cell, unless that has become impossible. @pre idleJobs() returned the job at `now`. */
    void transfer(TimePoint now, const JobId &id, const CellName &target);

    /** Takes note of jobs that another cell's leader has handed over to this cell. */
    void onTransfersAnnounced(TimePoint now, const CellName &source, std::span<const JobTransfer> announced);

    /** Releases the lead: the leader serves until the release is stored, then emits LeadEnded. */
    void release(TimePoint now);

    /** Ends the lead, as another instance leads the cell under a higher token. @pre `successorToken` is higher than token(). */
    void yieldTo(const InstanceName &successor, FenceToken successorToken);

    /** @return Whether release() was called. */
    bool isReleasing() const;

    /** @return Whether submissions are accepted. */
    bool isLeading() const;

    /** @return Whether the lead row was read. */
    bool hasToken() const;

    /** @return Fencing token of this leader. @pre hasToken() */
    FenceToken token() const;

    /** @return Time since the store last confirmed the lead. */
    Duration storeSilence(TimePoint now) const;

    /** @return Load of the cell. */
    CellLoad load() const;

    /** @return Whether a registered endpoint has listed its runs, so that load() shows room. */
    bool hasListedEndpoints() const;

    /** @return Number of endpoints whose state was evaluated for placement so far; the leader's processor time grows with it. */
    std::uint64_t gatheredEndpoints() const;

    /** Handlers of action results. */
    void onLeadRead(TimePoint now, const ReadResult &result);
    void onCommitted(TimePoint now, TransactionResult result);
    void onRecovered(TimePoint now, CellContent content);
    void onStarted(TimePoint now, const EndpointName &endpoint, const TaskRef &task, RunNumber run, const StartResult &result);
    void onStopped(TimePoint now, const EndpointName &endpoint, const TaskRef &task, RunNumber run, StopResult result);
    void onHoldAnswered(TimePoint now, const EndpointName &endpoint, const HoldResult &result);
    void onTransferredJobRead(TimePoint now, const JobId &id, TransferredRows rows);
    void onTransfersConfirmed(TimePoint now, std::span<const JobId> ids);

    /** Performs all work that is due; to be called about every 20 ms. */
    void advance(TimePoint now);

private:
    /** Phases of a leader's lifetime, in order. */
    enum class Phase : std::uint8_t {
        Reading, ///< The lead row is being read.
        Claiming, ///< The transaction that claims the lead is in flight.
        Recovering, ///< The cell's rows are being read.
        Leading, ///< Orders are given and submissions accepted, also while the lead is being released.
        Ended, ///< The lead was lost or released.
    };

    /** A submission that is not stored yet. */
    struct PendingSubmission {
        std::shared_ptr<CellJob> job;
        std::vector<CallId> calls; ///< Calls that await the answer.
        std::string row; ///< Value of the job's row.
    };

    /** Contents of the transaction in flight. */
    struct Batch {
        std::vector<PendingSubmission> submissions; ///< Submissions that it stores.
        std::vector<std::pair<JobId, JobState>> progress; ///< Jobs whose progress it stores, and their states.
        std::unordered_map<EndpointName, std::uint64_t>
            lastListedEnds; ///< By endpoint: highest number of the ends that the stored progress covers.
        std::vector<EndpointName> roster; ///< Endpoints of the roster that it stores.
        bool storesRoster = false; ///< Whether it stores `roster`.
        bool storesCrashes = false; ///< Whether it stores `crashes`.
        std::vector<JobId> removedJobs; ///< Ended jobs whose rows it removes.
        std::vector<JobTransfer> transfers; ///< Jobs that it hands over to other cells.
        std::vector<JobId> endedTransfers; ///< Jobs whose transfers were confirmed and whose records it removes.
        bool releasesLead = false; ///< Whether it releases the lead.
    };

    /** A caller that waits for the end of a best-effort job. */
    struct BestEffortCall {
        CallId call;
        TimePoint expiresAt; ///< When the caller stops waiting.
    };

    /** A job that was handed over to this cell and whose rows are being read. */
    struct Arrival {
        CellName source; ///< The job's former cell.
        std::vector<EndpointLoss> losses; ///< See JobTransfer.
    };

    /** A job whose end is stored. */
    struct EndedJob {
        JobState state = JobState::Done; ///< Final state.
        TimePoint endedAt; ///< When the end was stored or recovered.
    };

    /** Bounds of a pass over waiting jobs. */
    struct ReadyPassLimits {
        std::size_t misses = 0; ///< Jobs that no endpoint with room takes, and whose needs weren't known to be unfit.
        std::size_t examined = 0; ///< Jobs that are looked at.
        bool areStoredOnly = false; ///< Whether best-effort jobs are passed over.
    };

    /** Outcome of a pass over waiting jobs. */
    struct ReadyPass {
        std::set<JobRank>::iterator next; ///< First job that wasn't looked at.
        std::size_t examined = 0; ///< Jobs that were looked at.
        std::size_t misses = 0; ///< See ReadyPassLimits.
        std::int64_t smallestDemand
            = std::numeric_limits<std::int64_t>::max(); ///< Smallest demand of the tasks left waiting, in thousandths of a core.
    };

    /** Outcome of an attempt to start the waiting tasks of a job. */
    struct StartOutcome {
        bool isComplete = false; ///< Whether no task waits any more.
        bool wasMissed = false; ///< Whether endpoints were examined for a task and none of them takes it.
    };

    // cell_leader.cpp: claim, recovery and release.
    void endLead(const std::string &reason, bool wasReleased);
    void stopOrphans(TimePoint now);
    TimePoint orphanDeadline() const; ///< @return When to stop the runs that no instance has asked for.
    void detectSuspension(TimePoint now);
    void handBackUnstartedJobs(TimePoint now, TimePoint acceptedBefore);
    void settleRecovery(TimePoint now);
    void answerSubmission(CallId call, SubmitAnswer answer);
    void log(std::string event, std::vector<std::pair<std::string, std::string>> fields, bool isWarning = false);

    // cell_leader_jobs.cpp: submissions, queries and cancellation.
    void finishJob(TimePoint now, const JobId &id);
    void recordEnd(TimePoint now, const JobId &id, JobState state);
    void submitBestEffort(TimePoint now, const BestEffortCall &call, const std::shared_ptr<CellJob> &job, bool wasSubmittedBefore);
    void withdrawJob(TimePoint now, const JobId &id);
    void withdrawExpiredJobs(TimePoint now);
    void adoptOrphans(CellJob &job);
    void planRoom(TimePoint now);
    std::map<ServiceName, RoomForecast> forecastRoom(TimePoint now) const;
    TimePoint expectedEnd(const CellEndpoint &endpoint, const TaskRef &task, TimePoint now) const;
    std::vector<TaskGroup> waitingGroups(CellJob &job) const;
    bool canStartAtOnce(TimePoint now, CellJob &job) const;
    TimePoint plannedStart(CellJob &job, TimePoint now) const;
    void reserveRoom(CellJob &job, TimePoint now);
    Duration backlog(TimePoint now) const;
    TimePoint refusableUntil(const CellJob &job) const;
    void abandonJob(TimePoint now, const std::shared_ptr<CellJob> &job);
    void handBack(TimePoint now, const std::shared_ptr<CellJob> &job, std::string_view reason);
    void finishBestEffort(TimePoint now, const std::shared_ptr<CellJob> &job);
    std::string_view findRefusal(const CellJob &job, bool mayHaveRun) const;
    std::int64_t availableCapacityCpu() const;
    JobUrgency urgencyOf(const CellJob &job) const;
    std::string_view findOverload(CellJob &job, TimePoint now) const;
    void logJobEnd(TimePoint now, const CellJob &job);
    PendingSubmission *findPendingSubmission(const JobId &id);
    bool isBeingStored(const JobId &id) const;
    void refuse(std::span<const CallId> calls, const CellJob &job, std::string_view reason, std::optional<Duration> retryAfter = {},
                std::string_view cause = {});
    void refuseOverloaded(TimePoint now, CallId call, const CellJob &job, std::string_view cause);

    // cell_isolation.cpp: tasks under which endpoints were lost.
    /** A task that waits to run on probation. */
    struct IsolatedTask {
        TaskRef task;
        TimePoint since; ///< When it began to wait.
    };
    std::size_t countLossesAround(TimePoint time) const;
    std::vector<LostTask> unfinishedTasksOn(const CellEndpoint &endpoint, bool isReplaced, TimePoint lostAt) const;
    std::vector<EndpointName> predecessorsOf(const CellEndpoint &endpoint) const;
    void recordLoss(TimePoint now, CellEndpoint &endpoint, bool isReplaced); ///< @param isReplaced Whether another incarnation was seen.
    void isolateSuspects(TimePoint now, CellJob &job);
    /** Number of endpoints that further suspects may take from other tasks. */
    struct IsolationRoom {
        std::size_t usual = 0;
        std::size_t overdue = 0; ///< The same for a suspect that has waited for too long.

        void takeOne();
    };
    IsolationRoom isolationRoom(TimePoint now) const;
    bool awaitsEvidence(const CellJob &job, TimePoint now) const; ///< @return Whether all startable tasks of a job await evidence.
    bool settleIsolatedTask(TimePoint now, const TaskRef &task, CrashVerdict verdict); ///< @return Whether the task waits no longer.
    void startIsolatedTasks(TimePoint now);
    CellEndpoint *chooseForIsolation(TimePoint now, const CellJob &job, const IsolatedTask &waiting);
    CellEndpoint *chooseForSharedProbation(TimePoint now, const CellJob &job, const IsolatedTask &waiting);
    void startOnProbation(TimePoint now, CellJob &job, const IsolatedTask &waiting, CellEndpoint &endpoint);
    void failDeadlyJob(TimePoint now, const std::shared_ptr<CellJob> &job, const TaskRef &task);
    void forgetCrashes(const CellJob &job);

    // cell_transfer.cpp: transfer of stored jobs to other cells.
    bool canBeTransferred(TimePoint now, const CellJob &job) const;
    bool canRunOneOf(const CellJob &job, std::span<const std::uint32_t> steps) const;
    void addTransfers(StoreTransaction &transaction);
    void onTransfersStored(TimePoint now, const Batch &stored);
    void onTransfersRejected(TimePoint now, Batch &rejected);
    void announceTransfers(TimePoint now);

    // cell_evacuation.cpp: evacuation of the cell.
    bool areStartsOver(TimePoint now) const;
    bool canStartTasksOf(TimePoint now, const CellJob &job) const;
    void evacuateJobs(TimePoint now);

    // cell_leader_store.cpp: transactions.
    void onApplied(TimePoint now);
    void onRejected(TimePoint now, const std::vector<Row> &rows);
    void flush(TimePoint now);
    void addSubmissions(StoreTransaction &transaction);
    void addProgress(StoreTransaction &transaction);
    void addRoster(TimePoint now, StoreTransaction &transaction);
    bool hasLeft(TimePoint now, const CellEndpoint &endpoint) const;
    void addCrashes(TimePoint now, StoreTransaction &transaction);
    void addRemovals(TimePoint now, StoreTransaction &transaction);
    bool isCommitDue(TimePoint now) const;
    bool fitsIntoRow(const RowKey &key, std::string_view value); ///< Logs a value that is too large for the store.
    void markProgressDirty(TimePoint now, CellJob &job);

    // cell_dispatch.cpp: endpoints and runs.
    bool canGiveOrders(TimePoint now) const;
    void startReadyJobs(TimePoint now);
    ReadyPass startReadyJobsFrom(TimePoint now, std::set<JobRank>::iterator entry, const ReadyPassLimits &limits);
    std::int64_t largestFreeCpu(TimePoint now) const;
    void sweepReadyJobs(TimePoint now, const ReadyPass &pass); ///< Starts stored jobs behind those that a pass in order has looked at.
    StartOutcome startWaitingTasks(TimePoint now, CellJob &job);
    static bool hasSpareAttempt(CellJob &job, const TaskRef &task); ///< @return Whether a task may fail without failing its job.
    PlacementChoice chooseEndpoint(TimePoint now, CellJob &job, const TaskRef &task);
    void startRun(TimePoint now, CellJob &job, const TaskRef &task, CellEndpoint &endpoint);
    std::uint64_t lastFormerRunNumber(const CellJob &job) const; ///< @return Number that former leaders' runs of a job don't exceed.
    std::uint64_t lastRunNumber(const CellJob &job) const; ///< @return Number that no run of a job by this leader exceeds.
    void orderStart(const CellJob &job, const TaskRef &task, const CellEndpoint &endpoint, const RunRecord &run);
    bool repeatStart(TimePoint now, const TaskRef &task, CellEndpoint &endpoint, RunRecord &run);
    void giveUpStart(TimePoint now, const TaskRef &task, CellEndpoint &endpoint, RunRecord &run); ///< Stops a run that may exist.
    void dropRefusedRun(TimePoint now, CellEndpoint &endpoint, const TaskRef &task, StartResult::Kind refusal);
    void addToReadyJobs(TimePoint now, CellJob &job); ///< Ranks a job anew; adds it to `readyJobs` if it has waiting tasks.
    void removeFromReadyJobs(CellJob &job);
    void refreshRanks(TimePoint now);
    void stopStalledRuns(TimePoint now, CellEndpoint &endpoint);
    bool canPlace(TimePoint now, const CellEndpoint &endpoint) const;
    bool acceptsRuns(TimePoint now, const CellEndpoint &endpoint) const; ///< As canPlace(), whatever is suspected there.
    PlacementPass &placementPass(TimePoint now, const ServiceName &service);
    void updateSpeeds(TimePoint now);
    double effectiveCapacityCpu() const; ///< Available capacity weighted by speed, in thousandths of a core.
    void logDeferral(TimePoint now, CellJob &job, const TaskRef &task, const CellEndpoint &awaited);
    void holdEndpoints(TimePoint now);
    void sendHold(TimePoint now, CellEndpoint &endpoint);
    Duration leaseFor(TimePoint now, const CellEndpoint &endpoint, Duration wanted) const; ///< @return Lease that orders may grant now.
    Duration longestRunTimeFor(TimePoint now, const JobId &job) const; ///< @return How long a best-effort job's runs may go on unheard.
    void stopRuns(TimePoint now, const JobId &job);
    void orderStop(TimePoint now, CellEndpoint &endpoint, const TaskRef &task, RunRecord &run);
    void applyEnd(TimePoint now, CellEndpoint &endpoint, const ListedEnd &end);
    void updateRegistration(TimePoint now, CellEndpoint &endpoint, const EndpointRecord &record);
    bool isFromPresentIncarnation(TimePoint now, CellEndpoint &endpoint, const HoldResult &result);
    void beginIncarnation(TimePoint now, CellEndpoint &endpoint, std::int64_t born);
    void recordRunTime(TimePoint now, CellEndpoint &endpoint, Duration took, const StepSpec &step, bool isStartKnown);
    void reconcileRuns(TimePoint now, CellEndpoint &endpoint, const HoldResult &result);
    void adoptRun(TimePoint now, CellEndpoint &endpoint, const ListedRun &listed, std::int64_t clockMs);
    bool canBeResubmitted(const JobId &job) const;
    bool hasRunOf(const TaskRef &task) const;
    bool hasRunOf(const CellJob &job) const;
    void dropRun(TimePoint now, CellEndpoint &endpoint, TaskRef task, std::string_view reason);
    void repeatTask(CellJob &job, const TaskRef &task);
    void dropRuns(TimePoint now, CellEndpoint &endpoint, std::string_view reason);
    void recordNoAnswer(TimePoint now, CellEndpoint &endpoint);
    CellEndpoint *findEndpoint(const EndpointName &name);
    std::shared_ptr<CellJob> findJob(const JobId &id) const;

    CellLeaderOptions options;
    CommitChain chain;
    Phase phase = Phase::Reading;
    LeadEnded leadEnded; ///< Emitted when the lead ends.
    TimePoint advancedAt; ///< When advance() was last called.
    TimePoint
        resumedAt; ///< End of the last suspension of the process; no orders are given until the store has confirmed the lead since then.
    TimePoint nextLeadReadAt; ///< When to repeat the read of the lead row in phase Reading.
    bool isLeadReadInFlight = false; ///< Whether a read of the lead row is in flight in phase Reading.
    TimePoint claimedAt; ///< When the claim was stored.
    TimePoint leadingSince; ///< When the cell's rows were read.
    bool isRecoverySettled = false; ///< Whether all runs of former leaders are accounted for.
    std::set<EndpointName> unlistedEndpoints; ///< Endpoints that a former leader may have used and that have not listed their runs yet.
    std::vector<CellAction> actions; ///< Emitted and not yet returned by takeActions().
    RunIndex runIndex; ///< Runs on all `endpoints`.
    std::unordered_map<EndpointName, std::unique_ptr<CellEndpoint>> endpoints;
    CellSpeedLevel speedLevel; ///< What the endpoints' speeds are relative to.
    TimePoint nextSpeedUpdateAt; ///< When to update the endpoints' speeds.
    double remoteFactor = 1; ///< Run time away from the data divided by that near it; 1 if it isn't known.
    RecentDemand recentDemand; ///< Demand of started tasks.
    std::vector<PlacementPass> passes; ///< By service; kept between passes to avoid allocations.
    std::uint64_t gatheredCount = 0; ///< See gatheredEndpoints().
    std::size_t passCount = 0; ///< Number of `passes` in use.
    std::size_t deferrals = 0; ///< Jobs that waited for a faster endpoint in the last pass over `readyJobs`.
    std::unordered_map<JobId, std::shared_ptr<CellJob>>
        jobs; ///< Stored jobs whose end is not stored, and best-effort jobs that have not ended.
    std::unordered_map<JobId, EndedJob> ended; ///< Jobs whose end is stored and whose rows are not removed yet.
    std::deque<JobId> removableJobs; ///< Those of `ended` whose rows the transaction in flight doesn't remove, in the order of their ends.
    std::deque<PendingSubmission> pendingSubmissions; ///< Submissions to store, oldest first.
    Batch batch; ///< Contents of the transaction in flight.
    std::vector<JobId> dirtyJobs; ///< Jobs whose progress has to be stored.
    bool hasUrgentProgress = false; ///< Whether one of `dirtyJobs` has ended.
    bool isRosterDirty = false; ///< Whether the stored roster lacks an endpoint.
    bool isRosterOutdated = false; ///< Whether the stored roster has an endpoint that has left; stored with the next transaction.
    TimePoint dirtySince; ///< When `dirtyJobs` last became non-empty.
    TimePoint lastCommitAt; ///< When a transaction was last sent.
    std::unordered_map<JobId, std::vector<CallId>> cancelCalls; ///< Calls that await the cancellation of a job.
    std::unordered_map<JobId, BestEffortCall> bestEffortCalls; ///< By the best-effort job whose end is awaited.
    std::unordered_map<JobId, TimePoint> transferableAt; ///< By stored job of which nothing runs: when idleJobs() returns it next.
    TimePoint nextIdleLookAt; ///< Earliest time of the next look for idle jobs.
    std::deque<JobTransfer> pendingTransfers; ///< Transfers to store, oldest first.
    std::unordered_map<JobId, JobTransfer> transfers; ///< Stored transfers whose record isn't removed yet.
    std::vector<JobId> confirmedTransfers; ///< Those of `transfers` whose records have to be removed.
    TimePoint nextAnnouncementAt; ///< When to announce `transfers` again.
    std::unordered_map<JobId, Arrival> arrivals; ///< Announced jobs whose rows are being read.
    std::map<TaskRef, RunOutcome> orphanEnds; ///< Ends of runs that former leaders started for jobs not known to this leader.
    bool areOrphansStopped = false; ///< Whether runs of unknown jobs are stopped because their jobs can't be resubmitted any more.
    ServiceRate serviceRate; ///< Measured while jobs wait for capacity.
    std::map<ServiceName, RoomForecast> forecasts; ///< Made when advance() was last called; holds the reservations of the waiting jobs.
    QueueShares queueShares; ///< Of best-effort jobs.
    TimePoint lastSubmissionAt; ///< When a best-effort job was last submitted.
    bool hasLateJobs = false; ///< Whether a waiting job was expected to end late when advance() was last called.
    std::int64_t smallestWaitingCpu
        = 0; ///< Lower bound of the demands of the tasks that are next in `readyJobs`, in thousandths of a core.
    std::optional<JobRank> sweepPosition; ///< Where the next sweep goes on; unset if the last one reached the end of `readyJobs`.
    TimePoint nextSweepAt; ///< Earliest time of the next sweep.
    TimePoint lastCutPassLoggedAt; ///< When a pass that left waiting jobs unexamined was last logged.
    std::set<JobRank> readyJobs; ///< Ranks of the jobs with waiting tasks; unrelated to the configured queues.
    CrashHistory crashes; ///< Endpoints that were lost while tasks ran on them.
    std::deque<IsolatedTask> isolatedTasks; ///< Tasks of phase Isolated, oldest first; tasks that have left the phase are removed lazily.
    bool hasReservations = false; ///< Whether an endpoint is reserved for an isolated task.
    bool isCrashRowUrgent = false; ///< Whether a loss isn't stored yet; isolated tasks wait for that.
    bool isCrashRowDirty = false; ///< Whether the stored crashes are out of date.
    std::optional<CellEvacuation> evacuation; ///< Set while the cell is evacuated.
    bool isReleaseRequested = false; ///< Whether the lead is to be released.
};

} // namespace Tanagertally::Cells
