/** Simulation of the store, endpoints and leaders of one cell on a virtual clock, with faults between them, for tests. */
#pragma once

#include "cells/cell_leader.h"
#include "cells/tests/endpoint_model.h"
#include "cells/tests/store_model.h"
#include "core/random_base.h"

#include <functional>
#include <map>
#include <set>

namespace Tanagertally::Cells::Test {

/** Outcome of a call to the store or an endpoint. */
enum class CallOutcome : std::uint8_t {
    Answered, ///< The call is executed and answered.
    AnswerLost, ///< The call is executed; the answer is lost.
    Reset, ///< The call is executed; its connection is reset at once, so that the caller needn't wait for its timeout.
    ExecutedLate, ///< The call gets no answer and is executed 1 to 6 s later.
    Refused, ///< The call is refused without effect.
    Lost, ///< The call is lost.
};

/** A leader and its simulated process. */
struct WorldLeader {
    std::unique_ptr<CellLeader> leader;
    bool isUp = true; ///< Whether its process runs.
    bool isSuspended = false; ///< Whether its process is suspended.
    bool isCutOff = false; ///< Whether its calls are lost.
    std::vector<std::function<void()>> heldResults; ///< Results that arrived while the process was suspended.
    std::map<CallId, SubmitAnswer> submitAnswers; ///< By call.
    std::map<CallId, JobAnswer> cancelAnswers; ///< By call.
    bool hasEnded = false; ///< Whether it emitted LeadEnded.
};

/** The simulation. It checks the invariants of starts, ends and refusals, and records violations. */
class CellWorld
{
public:
    /** Creates endpoints that run two tasks at a time each, and an empty store. */
    explicit CellWorld(std::size_t endpointCount, std::uint64_t seed = 1);

    TimePoint now; ///< The virtual time.
    RandomEngine random; ///< Source of random faults and run times.
    std::vector<EndpointModel> endpoints;
    StoreModel store;
    std::vector<WorldLeader> leaders; ///< All leaders, including ended ones, in the order of their creation.
    std::vector<std::string> violations; ///< Descriptions of violated invariants.
    std::function<CallOutcome()> storeOutcome = [] { return CallOutcome::Answered; }; ///< Outcome of the next transaction or read.
    std::function<CallOutcome()> orderOutcome = [] { return CallOutcome::Answered; }; ///< Outcome of the next order to an endpoint.
    std::function<CallOutcome()> startOutcome = [this] { return this->orderOutcome(); }; ///< Outcome of the next start order.
    std::function<Duration()> startDelay
        = [] { return std::chrono::milliseconds(1); }; ///< Time from sending the next start order to its answer; it is executed halfway.
    std::function<CallOutcome()> stopOutcome = [this] { return this->orderOutcome(); }; ///< Outcome of the next stop order.
    std::function<RunOutcome()> runOutcome = [] { return RunOutcome::Done; }; ///< Outcome of the next run.
    Duration workTime = std::chrono::milliseconds(60); ///< Estimate of submitted tasks, and run time of each run that starts.
    std::function<Duration(const StartRun &)> runTime = [this](const StartRun &) { return this->workTime; }; ///< Run time of the next run.
    std::function<RunPlan(const StartRun &)> planRun = [this](const StartRun &begun) {
        return RunPlan{this->runTime(begun), this->runOutcome()};
    }; ///< Behaviour of the next run.
    std::function<bool(std::size_t)> admitMemory = [](std::size_t) { return true; }; ///< Whether leaders have memory for the next job.
    bool doRestartsEndLateOrders = false; ///< Whether an order that is executed late is lost if its endpoint restarts in the meantime.
    std::size_t startCount = 0; ///< Number of started runs.
    std::size_t transactionCount = 0; ///< Number of sent transactions.
    std::size_t largestTransaction = 0; ///< Largest number of entries of a sent transaction.

    /** Adds a leader that claims the lead. @return Its index. */
    std::size_t addLeader();

    /** Advances the time. */
    void advanceTime(Duration duration);

    /** Advances the time until a condition holds, by at most `limit`. @return Whether the condition holds. */
    bool advanceUntil(const std::function<bool()> &holds, Duration limit);

    /** Submits a job with one step of `count` tasks. @return The call. */
    CallId submit(std::size_t leader, const JobId &id, std::uint32_t count, bool isBestEffort = false, std::uint32_t maxAttempts = 2,
                  bool mayHaveRun = false);

    /** Submits any job that was not submitted before. @return The call. */
    CallId submit(std::size_t leader, const JobId &id, JobSpec spec, JobTerms terms);

    /** Allows starts of a best-effort job's tasks after their acknowledged ends, as it isn't stored. */
    void allowReruns(const JobId &id);

    /** Withdraws the best-effort job of a submission. */
    void withdraw(std::size_t leader, CallId call);

    /** Cancels a job. @return The call. */
    CallId cancel(std::size_t leader, const JobId &id);

    /** Passes the registered endpoints to a leader. */
    void registerEndpoints(std::size_t leader);

    /** Resumes a suspended leader, which then receives its held results. */
    void resume(std::size_t leader);

    /** Restarts an endpoint under its name, and passes the registered endpoints to a leader. */
    void restartEndpoint(std::size_t endpoint, std::size_t leader);

    /** @return Whether a leader reports a job as being in a state. */
    bool shows(std::size_t leader, const JobId &id, JobState state);

    /** @return Whether a submission was accepted. */
    bool isAccepted(std::size_t leader, CallId call) const;

    /** @return Number of started runs of a task. */
    std::size_t startsOf(const TaskRef &task) const;

    /** Schedules a handler. */
    void schedule(TimePoint time, std::function<void()> handler);

    /** Execute orders without delay. */
    StartResult start(const StartRun &order);
    StopResult stop(const StopRun &order);
    HoldResult hold(const HoldEndpoint &order);

    /** @return The endpoint. @pre The endpoint exists. */
    EndpointModel *find(const EndpointName &name);

    std::function<void()> onTick = [] {}; ///< Called every 10 ms of virtual time.

private:
    using Handler = std::function<void()>;

    void runActions(std::size_t leader);
    void deliver(std::size_t leader, Handler handler);
    void execute(std::size_t leader, CellAction &action);
    template<typename Order, typename Do>
    auto toIncarnation(const Order &order, Do operation);
    CellContent readContent(const CellName &cell);
    void checkStart(const TaskRef &task, RunNumber run);
    void checkAttempts(const TaskRef &task);
    void checkAnswer(const AnswerSubmission &reply);
    template<typename Result, typename Do, typename OnResult>
    void call(std::size_t leader, CallOutcome outcome, Duration delay, Do operation, Result refused, Result unknown, OnResult onResult);

    std::multimap<TimePoint, Handler> queue; ///< Scheduled handlers by time.
    std::uint64_t lastCall = 0; ///< Number of the last call.
    std::map<TaskRef, std::vector<RunNumber>> starts; ///< Started runs by task.
    std::map<CallId, JobId> bestEffortCalls; ///< Submissions of best-effort jobs that were not submitted to a leader before.
    std::set<JobId> bestEffortJobs;
    std::set<JobId> refused; ///< Jobs that were refused as never run.
    std::set<JobId> started; ///< Jobs with a started run.
    std::map<TaskRef, TimePoint> acknowledgedDone; ///< Tasks whose successful end was acknowledged.
    std::map<TaskRef, std::set<TimePoint>> acknowledgedFailures; ///< Times of failed runs whose ends were acknowledged.
    std::map<TaskRef, TimePoint> lastStarts; ///< Time of the last start of each task.
    std::map<JobId, std::uint32_t> maxAttempts; ///< By job; best-effort jobs are left out, as they may run again.
};

} // namespace Tanagertally::Cells::Test
