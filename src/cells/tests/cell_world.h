/** A store, endpoints and leaders of one cell on one virtual clock, with faults between them, for tests. */
#pragma once

#include "cells/cell_leader.h"
#include "cells/tests/endpoint_model.h"
#include "cells/tests/store_model.h"
#include "core/random_base.h"

#include <functional>
#include <map>
#include <set>

namespace Tanagertally::Cells::Test {

/** What happens to a call. */
enum class CallOutcome : std::uint8_t {
    Answered, ///< It is carried out and answered.
    AnswerLost, ///< It is carried out; the answer is lost.
    CarriedOutLate, ///< It gets no answer and is carried out seconds later.
    Refused, ///< It is refused; nothing is done.
    Lost, ///< It is lost.
};

/** A leader with what the world knows of it. */
struct WorldLeader {
    std::unique_ptr<CellLeader> leader; ///< The leader.
    bool isUp = true; ///< Whether its process lives.
    bool isFrozen = false; ///< Whether its process stands still.
    bool isCutOff = false; ///< Whether its calls are lost.
    std::vector<std::function<void()>> held; ///< Answers that came while it was frozen.
    std::map<CallId, SubmitAnswer> submitAnswers; ///< By call.
    std::map<CallId, JobAnswer> cancelAnswers; ///< By call.
    bool hasEnded = false; ///< Whether it said that its lead ended.
};

/** The world. */
class CellWorld
{
public:
    /** Make a world with endpoints of two places each. */
    explicit CellWorld(std::size_t endpointCount, std::uint64_t seed = 1);

    TimePoint now; ///< The virtual time.
    RandomEngine random; ///< Drawn from by faults and run times.
    std::vector<EndpointModel> endpoints; ///< The endpoints.
    StoreModel store; ///< The store.
    std::vector<WorldLeader> leaders; ///< All leaders that there ever were.
    std::vector<std::string> violations; ///< Promises that were broken.
    std::function<CallOutcome()> storeOutcome = [] { return CallOutcome::Answered; }; ///< Of each transaction and read.
    std::function<CallOutcome()> orderOutcome = [] { return CallOutcome::Answered; }; ///< Of each order to an endpoint.
    std::function<RunEnd()> runOutcome = [] { return RunEnd::Done; }; ///< Of each run.
    Duration workTime = std::chrono::milliseconds(60); ///< Of each run.
    std::size_t startCount = 0; ///< Runs started.
    std::size_t transactionCount = 0; ///< Transactions sent.

    /** Add a leader that begins to take the lead. @return Its index. */
    std::size_t addLeader();

    /** Let time pass. */
    void pass(Duration duration);

    /** Let time pass until something holds, at most for `limit`. @return Whether it holds. */
    bool passUntil(const std::function<bool()> &holds, Duration limit);

    /** Hand in a job of like tasks. @return The call. */
    CallId submit(std::size_t leader, const JobId &id, std::uint32_t count, bool isBestEffort = false, std::uint32_t maxAttempts = 2,
                  bool wasOffered = false);

    /** Cancel a job. @return The call. */
    CallId cancel(std::size_t leader, const JobId &id);

    /** Tell a leader which endpoints are registered. */
    void registerEndpoints(std::size_t leader);

    /** Let a frozen leader go on. */
    void thaw(std::size_t leader);

    /** @return Whether a leader shows a job in a state. */
    bool shows(std::size_t leader, const JobId &id, JobState state);

    /** @return Whether a call was answered with acceptance. */
    bool isAccepted(std::size_t leader, CallId call) const;

    /** @return Number of runs that started, of one task. */
    std::size_t startsOf(const TaskRef &task) const;

    /** Do something later. */
    void at(TimePoint time, std::function<void()> handler);

    /** Carry out orders now. */
    StartResult start(const StartRun &order);
    StopResult stop(const StopRun &order);
    HoldResult hold(const HoldEndpoint &order);

    /** @return An endpoint. */
    EndpointModel *find(const EndpointName &name);

    std::function<void()> onTick = [] {}; ///< Called every 10 ms.

private:
    using Handler = std::function<void()>;

    void runActions(std::size_t leader);
    void deliver(std::size_t leader, Handler handler);
    void carryOut(std::size_t leader, CellAction &action);
    CellContent readContent(const CellName &cell);
    void checkStart(const TaskRef &task, RunNumber run);
    void checkAnswer(const AnswerSubmission &reply);
    template<typename Result, typename Do, typename Hand>
    void call(std::size_t leader, CallOutcome outcome, Duration delay, Do carry, Result refused, Result unknown, Hand hand);

    std::multimap<TimePoint, Handler> queue; ///< What happens later.
    std::uint64_t lastCall = 0; ///< Last number given to a call.
    std::map<TaskRef, std::vector<RunNumber>> starts; ///< Runs by task.
    std::map<CallId, JobId> bestEffortCalls; ///< Submissions of best-effort jobs that no leader had been offered before.
    std::set<JobId> bestEffortJobs; ///< Jobs that are not stored.
    std::set<JobId> refused; ///< Jobs that were said not to run.
    std::set<JobId> started; ///< Jobs of which a run started.
    std::map<TaskRef, TimePoint> acknowledgedDone; ///< Tasks whose good end was acknowledged.
};

} // namespace Tanagertally::Cells::Test
