/** The leader of a cell: the only instance that stores the cell's jobs and gives its endpoints orders. */
#pragma once

#include "cells/cell_endpoint.h"
#include "cells/cell_job.h"
#include "cells/commit_chain.h"

#include <functional>
#include <map>
#include <set>
#include <span>

namespace Tanagertally::Cells {

/** Set-up of a leader. */
struct CellLeaderOptions {
    CellName cell; ///< The cell.
    InstanceName self; ///< This instance.
    Incarnation incarnation; ///< Of this process.
    LeaseTerms lease; ///< Bounds of the leases of endpoints.
    /** Whether a leader that the store names may be replaced; asked once, before the lead is taken. */
    std::function<bool(const LeadRecord &)> mayReplace = [](const LeadRecord &) { return true; };
};

/** How busy a cell is. */
struct CellLoad {
    std::int64_t capacityCpu = 0; ///< Thousandths of cores of the endpoints that take work.
    std::int64_t freeCpu = 0; ///< Of these, unused.
    double waitingWork = 0; ///< Core-milliseconds of tasks that have not started, by estimate.
    std::map<QueueName, std::uint64_t> pendingJobs; ///< Accepted jobs by queue of which no task has started.
    std::vector<std::string> labels; ///< Labels of its endpoints, such as their racks.
};

/**
 * Leads one cell from taking the lead to losing it or giving it up.
 *
 * Taking the lead: the lead row is changed on condition of its version, which ends the former leader's chain of transactions.
 * Then the cell's rows are read, and every endpoint that a former leader may have used is asked under the new fencing token what
 * runs there; only then are tasks of recovered jobs started that nobody accounts for.
 * A submission is accepted once its rows are stored. An end of a run is acknowledged to its endpoint once the job's progress is
 * stored, and a job is shown as ended once that is stored.
 * Thread safety: none. Time never goes back from call to call.
 */
class CellLeader
{
public:
    /** Begin to take the lead. */
    CellLeader(CellLeaderOptions options, TimePoint now);

    /** Take the actions asked for since the last call. */
    std::vector<CellAction> takeActions();

    /** Take over the endpoints of the cell as the registry lists them now. */
    void setEndpoints(TimePoint now, std::span<const EndpointRecord> records);

    /**
     * Take a submission; AnswerSubmission follows: once the job is stored, or for a best-effort job once it has ended.
     * @param wasOffered Whether a former leader of the cell may have run it.
     * @pre findSpecFault() is empty.
     */
    void submit(TimePoint now, CallId call, JobId id, JobSpec spec, JobTerms terms, bool wasOffered = false);

    /** Give up the best-effort job of a submission whose caller is gone; its runs are stopped. No effect on stored jobs. */
    void withdraw(TimePoint now, CallId call);

    /** Cancel a job; AnswerCancel follows. */
    void cancel(TimePoint now, CallId call, const JobId &id);

    /** @return How a job stands, or NoSuchJob if this cell has none of this name, or Unknown if that can't be told now. */
    JobAnswer query(const JobId &id) const;

    /** Give up the lead in order: it goes on until that is stored, and LeadEnded follows. */
    void release(TimePoint now);

    /** @return Whether the lead is being given up. */
    bool isReleasing() const;

    /** @return Whether submissions are taken. */
    bool isLeading() const;

    /** @return The fencing token. @pre The lead row was read. */
    FenceToken token() const;

    /** @return Time since the store confirmed the lead. */
    Duration storeSilence(TimePoint now) const;

    /** @return How busy the cell is. */
    CellLoad load() const;

    /** Take results of actions. */
    void onLeadRead(TimePoint now, const ReadResult &result);
    void onCommitted(TimePoint now, TransactionResult result);
    void onRecovered(TimePoint now, CellContent content);
    void onStarted(TimePoint now, const EndpointName &endpoint, const TaskRef &task, RunNumber run, const StartResult &result);
    void onStopped(TimePoint now, const EndpointName &endpoint, const TaskRef &task, RunNumber run, StopResult result);
    void onHeld(TimePoint now, const EndpointName &endpoint, const HoldResult &result);

    /** Do what is due by now. To be called every 20 ms or so. */
    void advance(TimePoint now);

private:
    /** Where the leader is on its way. */
    enum class Phase : std::uint8_t {
        Reading, ///< The lead row is being read.
        Claiming, ///< The lead is being taken.
        Recovering, ///< The cell's rows are being read.
        Leading, ///< Everything works, or the lead is being given up.
        Ended, ///< Another leads.
    };

    /** A submission that is not stored yet. */
    struct PendingSubmission {
        std::shared_ptr<CellJob> job; ///< The job.
        std::vector<CallId> calls; ///< Who waits.
    };

    /** What the transaction in flight will have stored. */
    struct Batch {
        std::vector<PendingSubmission> submissions; ///< Jobs.
        std::vector<std::pair<JobId, JobState>> progress; ///< Progress.
        std::unordered_map<EndpointName, std::uint64_t> lastListedEnds; ///< Ends listed when it was made, by endpoint.
        std::vector<EndpointName> roster; ///< Endpoints that are in the roster then.
        std::vector<JobId> removedJobs; ///< Ended jobs whose rows are gone then.
        bool releasesLead = false; ///< Whether it gives up the lead.
    };

    /** A job that has ended and whose end is stored. */
    struct EndedJob {
        JobState state = JobState::Done; ///< How it ended.
        TimePoint endedAt; ///< When that was stored.
    };

    // cell_leader.cpp: the leader's life.
    void endLead(const std::string &reason, bool wasReleased);
    void stopOrphans(TimePoint now);
    void detectSuspension(TimePoint now);
    void settleRecovery(TimePoint now);
    void answerSubmission(CallId call, SubmitAnswer answer);
    void log(std::string event, std::vector<std::pair<std::string, std::string>> fields, bool isWarning = false);

    // cell_leader_jobs.cpp: jobs and callers.
    void finishJob(TimePoint now, const JobId &id);
    void submitBestEffort(TimePoint now, CallId call, const std::shared_ptr<CellJob> &job, bool wasOffered);
    void adoptOrphans(CellJob &job);
    void abandonTooLateJobs(TimePoint now);
    void abandonJob(TimePoint now, const std::shared_ptr<CellJob> &job);
    void finishBestEffort(TimePoint now, const std::shared_ptr<CellJob> &job);
    std::string_view findRefusal(const CellJob &job) const;
    std::int64_t availableCapacityCpu() const;
    bool isOverloadedFor(const CellJob &job, TimePoint now) const;
    void logJobEnd(TimePoint now, const CellJob &job);
    PendingSubmission *findPendingSubmission(const JobId &id);
    bool isBeingStored(const JobId &id) const;
    void refuse(std::span<const CallId> calls, const CellJob &job, std::string_view reason, std::optional<Duration> retryAfter = {});

    // cell_leader_store.cpp: transactions.
    void onApplied(TimePoint now);
    void onRejected(TimePoint now, const std::vector<Row> &rows);
    void flush(TimePoint now);
    void addSubmissions(StoreTransaction &transaction);
    void addProgress(StoreTransaction &transaction);
    void addRoster(StoreTransaction &transaction);
    void addRemovals(TimePoint now, StoreTransaction &transaction);
    bool isCommitDue(TimePoint now) const;
    void markProgressDirty(TimePoint now, CellJob &job);

    // cell_dispatch.cpp: endpoints and runs.
    bool canGiveOrders(TimePoint now) const;
    void startReadyJobs(TimePoint now);
    bool startWaitingTasks(TimePoint now, CellJob &job);
    void startRun(TimePoint now, CellJob &job, const TaskRef &task, CellEndpoint &endpoint);
    void queueJob(TimePoint now, CellJob &job);
    void unqueueJob(CellJob &job);
    void refreshRanks(TimePoint now);
    void stopStalledRuns(TimePoint now, CellEndpoint &endpoint);
    bool canPlace(TimePoint now, const CellEndpoint &endpoint, const TaskRecord &task, const CellJob &job) const;
    void holdEndpoints(TimePoint now);
    void sendHold(TimePoint now, CellEndpoint &endpoint);
    void stopRuns(TimePoint now, const JobId &job);
    void orderStop(TimePoint now, CellEndpoint &endpoint, const TaskRef &task, RunRecord &run);
    void applyEnd(TimePoint now, CellEndpoint &endpoint, const ListedEnd &end);
    void reconcileRuns(TimePoint now, CellEndpoint &endpoint, const HoldResult &result);
    void adoptRun(TimePoint now, CellEndpoint &endpoint, const ListedRun &listed, std::int64_t clockMs);
    bool canBeResubmitted(const JobId &job) const;
    bool hasRunOf(const TaskRef &task) const;
    void dropRun(TimePoint now, CellEndpoint &endpoint, TaskRef task, std::string_view reason);
    void dropRuns(TimePoint now, CellEndpoint &endpoint, std::string_view reason);
    void recordNoAnswer(TimePoint now, CellEndpoint &endpoint);
    CellEndpoint *findEndpoint(const EndpointName &name);
    std::shared_ptr<CellJob> findJob(const JobId &id) const;

    CellLeaderOptions options; ///< Set-up.
    CommitChain chain; ///< Transactions.
    Phase phase = Phase::Reading; ///< Where it is on its way.
    LeadEnded leadEnded; ///< What is told when the lead ends.
    TimePoint advancedAt; ///< When advance() was called last.
    TimePoint resumedAt; ///< When the process went on after standing still; no orders until the store has confirmed the lead since.
    TimePoint nextLeadReadAt; ///< When to read the lead row again while Reading.
    bool isLeadReadInFlight = false; ///< Whether the first read of the lead row is in flight.
    TimePoint claimedAt; ///< When the lead was taken.
    bool isRecoverySettled = false; ///< Whether all runs of former leaders are accounted for.
    std::set<EndpointName> unlistedEndpoints; ///< Endpoints that a former leader may have used and that have not been listed yet.
    std::vector<CellAction> actions; ///< Asked for and not yet taken.
    std::unordered_map<EndpointName, std::unique_ptr<CellEndpoint>> endpoints; ///< Endpoints by name.
    std::unordered_map<JobId, std::shared_ptr<CellJob>> jobs; ///< Stored jobs whose end is not stored.
    std::unordered_map<JobId, EndedJob> ended; ///< Jobs that have ended.
    std::deque<PendingSubmission> pendingSubmissions; ///< Submissions to store.
    Batch batch; ///< What is being stored.
    std::vector<JobId> dirtyJobs; ///< Jobs whose progress is to be stored.
    bool hasUrgentProgress = false; ///< Whether the end of a job is among them.
    bool isRosterDirty = false; ///< Whether the roster has to be stored.
    TimePoint dirtySince; ///< When the first of them changed.
    TimePoint lastCommitAt; ///< When a transaction was sent last.
    std::unordered_map<JobId, std::vector<CallId>> cancelCalls; ///< Who waits for the end of a cancelling.
    std::unordered_map<JobId, CallId> bestEffortCalls; ///< Who waits for the end of a best-effort job.
    std::map<TaskRef, RunEnd> orphanEnds; ///< Ends of runs of former leaders whose jobs are not known here.
    bool areOrphansStopped = false; ///< Whether nobody will claim such runs any more.
    std::set<JobRank> readyJobs; ///< Jobs with waiting tasks.
    bool isReleaseRequested = false; ///< Whether the lead is to be given up.
};

} // namespace Tanagertally::Cells
