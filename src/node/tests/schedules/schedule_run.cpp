#include "node/tests/schedules/schedule.h"

#include <algorithm>
#include <array>

namespace Tanagertally::Cells::Test {

namespace {

using namespace std::chrono_literals;

constexpr Duration StartLimit = 5s; // In which each cell gets a leader.
constexpr Duration SubmissionSpan = 2500ms; // In which all jobs are submitted for the first time.
constexpr Duration ReturnDelay = 1300ms; // `resend-ms` of the users' platform.
constexpr Duration Patience = 1500ms; // For which callers wait.
constexpr Duration StopGrace = 6s; // Of a planned stop.
constexpr Duration BestEffortSpan = 11s; // Jobs, faults and their aftermath fit into it.
constexpr Duration StoredSpan = 34s; // As above, and accepted jobs end.
constexpr Duration EndBound = 3s; // In which the state of a job can be queried at the end.
constexpr std::uint32_t DeadlyCrashes = 2; // Of endpoints under a job, after which it may be given up.
constexpr std::array<Duration, 5> RunTimes = {60ms, 200ms, 900ms, 1400ms, 3s};

/** A caller and its job. */
struct ScheduledCaller {
    JobId id;
    std::uint32_t tasks = 1;
    bool isBestEffort = true;
    Duration runTime{};
    TimePoint submitsAt; ///< Time of the next submission; max() if there is none.
    std::size_t node = 0; ///< Instance that has the present submission.
    std::uint64_t life = 0; ///< Of that instance's process.
    CallId call; ///< Assigned by the world once the instance has read the request; 0 until then.
    TimePoint submittedAt;
    std::uint32_t submission = 0; ///< Number of the present submission; earlier ones don't concern the caller any more.
    bool isWaiting = false; ///< Whether the caller waits for an answer.
    std::uint32_t attempts = 0;
    std::uint32_t refusals = 0;
    bool isAccepted = false; ///< Whether a stored job was accepted.
};

/** A fleet under one schedule. */
class ScheduleRunner
{
public:
    explicit ScheduleRunner(const Schedule &what, std::function<void(std::int64_t, std::size_t, const WriteLogLine &)> logger)
        : schedule(what)
        , random(what.seed + 1)
        , fleet(layoutOf(what), what.seed)
    {
        if (logger) {
            this->fleet.onLog = [this, logger = std::move(logger)](std::size_t node, const WriteLogLine &line) {
                logger((this->fleet.world.now - this->startedAt) / 1ms, node, line);
            };
        }
    }

    ScheduleResult run()
    {
        this->prepare();
        const TimePoint end = this->startedAt + (this->schedule.haveStoredJobs ? StoredSpan : BestEffortSpan);
        while (this->fleet.world.now < end && this->violations().empty() && !this->isOver()) {
            this->fleet.world.advanceTime(10ms);
            this->advanceCallers();
        }
        if (this->violations().empty()) {
            this->checkRefusals();
        }
        if (this->violations().empty() && this->schedule.haveStoredJobs) {
            this->checkStoredJobs();
        }
        return {this->violations(), this->fleet.world.startCount, this->firedFaults};
    }

private:
    static WorldLayout layoutOf(const Schedule &schedule)
    {
        constexpr std::array<const char *, 3> Names = {"cell", "other", "third"};
        WorldLayout layout;
        for (std::size_t node = 0; node < schedule.nodes; ++node) {
            layout.nodes.emplace_back(Names[node % schedule.domains]);
        }
        for (std::size_t endpoint = 0; endpoint < schedule.endpoints; ++endpoint) {
            layout.endpoints.emplace_back(Names[endpoint % schedule.domains]);
        }
        return layout;
    }

    std::vector<std::string> &violations()
    {
        return this->fleet.world.violations;
    }

    void prepare()
    {
        CellWorld &world = this->fleet.world;
        world.doRestartsEndLateOrders = true;
        for (EndpointModel &endpoint : world.endpoints) {
            endpoint.clockRate = this->schedule.areClocksSlow ? LeaseTerms::SlowestClock : 1;
            endpoint.onEnd = [this](const ListedEnd &end) {
                if (end.outcome == RunOutcome::Done) {
                    this->doneTasks.insert(end.task);
                }
            };
        }
        world.runTime = [this](const StartRun &order) { return this->callerOf(order.task.job).runTime; };
        this->startedAt = world.now;
        const auto haveLeaders = [this] {
            std::size_t leaders = 0;
            for (const WorldNode &entry : this->fleet.nodes) {
                leaders += entry.node->leadsCells() ? 1 : 0;
            }
            return leaders >= this->schedule.domains;
        };
        world.advanceUntil(haveLeaders, StartLimit);
        world.advanceTime(500ms);
        this->startedAt = world.now;
        this->fleet.storeOutcome = [this](std::size_t) {
            const TimePoint now = this->fleet.world.now;
            if (now < this->storeLateUntil && drawBelow(this->fleet.world.random, 2) == 0) {
                return CallOutcome::ExecutedLate;
            }
            return now < this->storeAnswersLostUntil ? CallOutcome::AnswerLost : CallOutcome::Answered;
        };
        this->fleet.orderOutcome = [this](std::size_t, std::size_t) { return this->drawOrderOutcome(); };
        world.stopOutcome = [this] { return this->fleet.world.now < this->stopsLostUntil ? CallOutcome::Lost : CallOutcome::Answered; };
        this->fleet.onEvent = [this](std::size_t node, WorldEvent event) { this->onEvent(node, event); };
        for (std::uint32_t number = 0; number < this->schedule.jobs; ++number) {
            ScheduledCaller caller;
            caller.id = JobId("00000000000000a" + std::to_string(number));
            caller.tasks = static_cast<std::uint32_t>(1 + drawBelow(this->random, this->schedule.tasks));
            caller.isBestEffort = !this->schedule.haveStoredJobs || drawBelow(this->random, 3) == 0;
            caller.runTime = RunTimes[drawBelow(this->random, RunTimes.size())];
            caller.submitsAt = world.now + (number == 0 ? 0ms : std::chrono::milliseconds(drawBelow(this->random, SubmissionSpan / 1ms)));
            this->callers.push_back(std::move(caller));
        }
    }

    ScheduledCaller &callerOf(const JobId &id)
    {
        return *std::ranges::find(this->callers, id, &ScheduledCaller::id);
    }

    CallOutcome drawOrderOutcome()
    {
        const TimePoint now = this->fleet.world.now;
        constexpr std::array<CallOutcome, 4> Outcomes
            = {CallOutcome::ExecutedLate, CallOutcome::AnswerLost, CallOutcome::Lost, CallOutcome::Refused};
        const std::array<TimePoint, 4> until
            = {this->ordersLateUntil, this->orderAnswersLostUntil, this->ordersLostUntil, this->endpointsRefuseUntil};
        for (std::size_t kind = 0; kind < Outcomes.size(); ++kind) {
            if (now < until[kind] && drawBelow(this->fleet.world.random, 2) == 0) {
                return Outcomes[kind];
            }
        }
        return CallOutcome::Answered;
    }

    bool isOver() const
    {
        const auto isDone = [](const ScheduledCaller &caller) { return !caller.isWaiting && caller.submitsAt == TimePoint::max(); };
        const auto isEmpty = [](const EndpointModel &endpoint) { return endpoint.runs.empty(); };
        return !this->schedule.haveStoredJobs && std::ranges::all_of(this->callers, isDone)
               && std::ranges::all_of(this->fleet.world.endpoints, isEmpty) && this->openFaults == 0;
    }

    void advanceCallers()
    {
        for (ScheduledCaller &caller : this->callers) {
            if (!caller.isWaiting && this->fleet.world.now >= caller.submitsAt) {
                this->submit(caller);
            }
            if (caller.isWaiting) {
                this->advanceCaller(caller);
            }
        }
    }

    void submit(ScheduledCaller &caller)
    {
        std::vector<std::size_t> running;
        for (std::size_t node = 0; node < this->fleet.nodes.size(); ++node) {
            if (this->fleet.nodes[node].isUp && !this->stoppingNodes.contains(node)) {
                running.push_back(node);
            }
        }
        if (running.empty()) {
            return;
        }
        caller.node = running[drawBelow(this->random, running.size())];
        caller.life = this->fleet.nodes[caller.node].life;
        caller.submittedAt = this->fleet.world.now;
        caller.submitsAt = TimePoint::max();
        caller.isWaiting = true;
        caller.call = CallId(0);
        ++caller.attempts;
        ++caller.submission;
        this->fleet.deliver(caller.node, [this, id = caller.id, node = caller.node, submission = caller.submission] {
            ScheduledCaller &reader = this->callerOf(id);
            this->fleet.world.workTime = reader.runTime;
            const CallId call = this->fleet.submit(node, id, reader.tasks, Patience, reader.isBestEffort);
            if (reader.submission == submission) {
                reader.call = call;
            } else {
                this->fleet.nodes[node].node->dropCall(call); // The end of the connection follows the request.
            }
        });
    }

    void advanceCaller(ScheduledCaller &caller)
    {
        WorldNode &entry = this->fleet.nodes[caller.node];
        const auto answer = entry.submitAnswers.find(caller.call);
        if (caller.call.value != 0 && answer != entry.submitAnswers.end()) {
            this->onAnswer(caller, answer->second);
        } else if (entry.life != caller.life) {
            this->endAttempt(caller);
        } else if (this->fleet.world.now >= caller.submittedAt + Patience) {
            this->leave(caller);
        }
    }

    void leave(ScheduledCaller &caller)
    {
        const CallId call = caller.call;
        if (call.value != 0) {
            this->fleet.deliver(caller.node, [this, node = caller.node, call] { this->fleet.nodes[node].node->dropCall(call); });
        }
        this->endAttempt(caller);
    }

    void endAttempt(ScheduledCaller &caller)
    {
        caller.isWaiting = false;
        ++caller.submission;
        const bool returns = this->schedule.doCallersReturn || !caller.isBestEffort;
        if (returns && this->fleet.world.now < this->startedAt + SubmissionSpan + 3 * ReturnDelay) {
            caller.submitsAt = this->fleet.world.now + ReturnDelay;
        }
    }

    void onAnswer(ScheduledCaller &caller, const SubmitAnswer &answer)
    {
        switch (answer.verdict) {
        case SubmitVerdict::Accepted:
            caller.isAccepted = true;
            caller.isWaiting = false;
            return;
        case SubmitVerdict::Ended:
            caller.isWaiting = false;
            this->checkEnd(caller, answer.state);
            return;
        case SubmitVerdict::Refused:
            caller.isWaiting = false;
            ++caller.refusals;
            return;
        case SubmitVerdict::Unknown:
            this->endAttempt(caller);
            return;
        }
    }

    void checkEnd(const ScheduledCaller &caller, JobState state)
    {
        for (std::uint32_t index = 0; index < caller.tasks && state == JobState::Done; ++index) {
            if (!this->doneTasks.contains({caller.id, 0, index})) {
                this->violations().push_back("job " + caller.id.value + " is done before its task " + std::to_string(index));
            }
        }
        if (state == JobState::Failed && this->crashesUnder[caller.id] < DeadlyCrashes) {
            this->violations().push_back("job " + caller.id.value + " failed without cause");
        }
    }

    void checkRefusals()
    {
        for (const ScheduledCaller &caller : this->callers) {
            for (std::uint32_t index = 0; index < caller.tasks; ++index) {
                if (caller.refusals > 0 && caller.refusals == caller.attempts && this->fleet.world.startsOf({caller.id, 0, index}) > 0) {
                    this->violations().push_back("a start of refused job " + caller.id.value);
                }
            }
        }
    }

    void checkStoredJobs()
    {
        for (const ScheduledCaller &caller : this->callers) {
            if (!caller.isAccepted) {
                continue;
            }
            const auto reader
                = std::ranges::find_if(this->fleet.nodes, [](const WorldNode &entry) { return entry.isUp && !entry.isSuspended; });
            if (reader == this->fleet.nodes.end()) {
                continue;
            }
            const CallId question = this->fleet.submitQuestion(static_cast<std::size_t>(reader - this->fleet.nodes.begin()), caller.id);
            this->fleet.world.advanceUntil([&] { return reader->jobAnswers.contains(question); }, EndBound);
            const auto answer = reader->jobAnswers.find(question);
            const bool isKnown = answer != reader->jobAnswers.end() && answer->second.kind == JobAnswer::Kind::Known;
            if (!isKnown || !isFinal(answer->second.state)) {
                this->violations().push_back("accepted job " + caller.id.value + (isKnown ? " has not ended" : " is not known"));
                continue;
            }
            this->checkEnd(caller, answer->second.state);
        }
    }

    void onEvent(std::size_t node, WorldEvent event)
    {
        const std::uint32_t occurrence = ++this->occurrences[static_cast<std::size_t>(event)];
        for (const Fault &fault : this->schedule.faults) {
            if (fault.trigger == event && fault.occurrence == occurrence && this->fleet.world.now >= this->startedAt) {
                ++this->openFaults;
                this->fleet.world.schedule(this->fleet.world.now + fault.delay, [this, fault, node] { this->strike(fault, node); });
            }
        }
    }

    /** Ends the effect of a fault after its length. */
    void endAfter(Duration length, std::function<void()> end)
    {
        ++this->openFaults;
        this->fleet.world.schedule(this->fleet.world.now + length, [this, end = std::move(end)] {
            --this->openFaults;
            end();
        });
    }

    void strike(const Fault &fault, std::size_t actor)
    {
        --this->openFaults;
        ++this->firedFaults;
        const std::size_t count = this->fleet.nodes.size();
        const std::size_t node = fault.hitsOther ? (actor + 1 + fault.target % (count - 1)) % count : actor;
        const std::size_t endpoint = fault.target % this->fleet.world.endpoints.size();
        const TimePoint until = this->fleet.world.now + fault.length;
        switch (fault.kind) {
        case FaultKind::Kill:
            this->stopProcess(node, fault.length, false);
            return;
        case FaultKind::PowerLoss:
            this->stopProcess(node, fault.length, true);
            return;
        case FaultKind::PowerLossOfAll:
            for (std::size_t each = 0; each < count; ++each) {
                this->stopProcess(each, fault.length, true);
            }
            return;
        case FaultKind::Suspend:
            this->suspend(node, fault.length);
            return;
        case FaultKind::PlannedStop:
            this->beginPlannedStop(node, fault.length);
            return;
        case FaultKind::StoreCut:
            this->fleet.nodes[node].isCutFromStore = true;
            this->endAfter(fault.length, [this, node] { this->fleet.nodes[node].isCutFromStore = false; });
            return;
        case FaultKind::StoreAnswersLost:
            this->storeAnswersLostUntil = until;
            return;
        case FaultKind::StoreLate:
            this->storeLateUntil = until;
            return;
        case FaultKind::PeerCut:
            this->cutPaths(node, true, true, fault.length);
            return;
        case FaultKind::PeerCutInbound:
            this->cutPaths(node, true, false, fault.length);
            return;
        case FaultKind::PeerCutOutbound:
            this->cutPaths(node, false, true, fault.length);
            return;
        case FaultKind::LinkReset:
            this->fleet.resetLinks(node);
            return;
        case FaultKind::EndpointCut:
            for (std::size_t each = 0; each < count; ++each) {
                this->cutEndpoint(each, endpoint, fault.length);
            }
            return;
        case FaultKind::EndpointCutFromOne:
            this->cutEndpoint(node, endpoint, fault.length);
            return;
        case FaultKind::EndpointCrash:
            this->crashEndpoint(endpoint, fault.length);
            return;
        case FaultKind::OrdersLate:
            this->ordersLateUntil = until;
            return;
        case FaultKind::OrderAnswersLost:
            this->orderAnswersLostUntil = until;
            return;
        case FaultKind::OrdersLost:
            this->ordersLostUntil = until;
            return;
        case FaultKind::StopsLost:
            this->stopsLostUntil = until;
            return;
        case FaultKind::EndpointsRefuse:
            this->endpointsRefuseUntil = until;
            return;
        case FaultKind::Drain:
            this->drain(this->fleet.world.endpoints[endpoint].record.domain, fault.length);
            return;
        case FaultKind::CallerLeaves:
            if (ScheduledCaller &caller = this->callers[fault.target % this->callers.size()]; caller.isWaiting) {
                this->leave(caller);
            }
            return;
        }
    }

    void stopProcess(std::size_t node, Duration length, bool losesPower)
    {
        if (!this->fleet.nodes[node].isUp) {
            return;
        }
        this->stoppingNodes.erase(node);
        losesPower ? this->fleet.cutPower(node) : this->fleet.kill(node);
        this->endAfter(length, [this, node] {
            if (!this->fleet.nodes[node].isUp) {
                this->fleet.restart(node);
            }
        });
    }

    void suspend(std::size_t node, Duration length)
    {
        WorldNode &entry = this->fleet.nodes[node];
        if (!entry.isUp || entry.isSuspended) {
            return;
        }
        this->fleet.suspend(node);
        this->endAfter(length, [this, node, life = entry.life] {
            if (this->fleet.nodes[node].life == life && this->fleet.nodes[node].isSuspended) {
                this->fleet.resume(node);
            }
        });
    }

    void beginPlannedStop(std::size_t node, Duration length)
    {
        WorldNode &entry = this->fleet.nodes[node];
        if (!entry.isUp || entry.isSuspended || !this->stoppingNodes.insert(node).second) {
            return;
        }
        entry.node->beginShutdown();
        this->awaitPlannedStop(node, entry.life, this->fleet.world.now + StopGrace, length);
    }

    void awaitPlannedStop(std::size_t node, std::uint64_t life, TimePoint graceEnd, Duration length)
    {
        this->endAfter(50ms, [this, node, life, graceEnd, length] {
            const WorldNode &entry = this->fleet.nodes[node];
            if (entry.life != life) {
                return;
            }
            if ((!entry.isSuspended && entry.node->isIdle()) || this->fleet.world.now >= graceEnd) {
                this->stopProcess(node, length, false);
                return;
            }
            this->awaitPlannedStop(node, life, graceEnd, length);
        });
    }

    void cutPaths(std::size_t node, bool isInbound, bool isOutbound, Duration length)
    {
        std::vector<std::pair<std::size_t, std::size_t>> paths;
        for (std::size_t other = 0; other < this->fleet.nodes.size(); ++other) {
            if (other != node && isInbound) {
                paths.emplace_back(other, node);
            }
            if (other != node && isOutbound) {
                paths.emplace_back(node, other);
            }
        }
        this->fleet.cutPaths.insert(paths.begin(), paths.end());
        this->endAfter(length, [this, paths] {
            for (const auto &path : paths) {
                this->fleet.cutPaths.erase(path);
            }
        });
    }

    void cutEndpoint(std::size_t node, std::size_t endpoint, Duration length)
    {
        this->fleet.cutEndpoints.insert({node, endpoint});
        this->endAfter(length, [this, node, endpoint] { this->fleet.cutEndpoints.erase({node, endpoint}); });
    }

    void crashEndpoint(std::size_t index, Duration length)
    {
        EndpointModel &endpoint = this->fleet.world.endpoints[index];
        if (!endpoint.isUp) {
            return;
        }
        std::set<JobId> jobs;
        for (const ModelRun &run : endpoint.runs) {
            jobs.insert(run.task.job);
        }
        for (const JobId &job : jobs) {
            ++this->crashesUnder[job];
        }
        endpoint.isUp = false;
        endpoint.runs.clear();
        this->endAfter(length, [this, index] {
            this->fleet.replaceEndpoint(index, EndpointName("e" + std::to_string(index) + "-" + std::to_string(++this->lastIncarnation)));
        });
    }

    void drain(const FailureDomain &domain, Duration length)
    {
        const auto setDraining = [this, domain](bool isDraining) {
            for (EndpointModel &endpoint : this->fleet.world.endpoints) {
                endpoint.record.isDraining = endpoint.record.domain == domain ? isDraining : endpoint.record.isDraining;
            }
            this->fleet.reportEndpoints();
        };
        setDraining(true);
        this->endAfter(length, [setDraining] { setDraining(false); });
    }

    const Schedule &schedule;
    RandomEngine random; ///< Of the jobs and their callers.
    NodeWorld fleet;
    TimePoint startedAt; ///< When the first job is submitted.
    std::vector<ScheduledCaller> callers;
    std::set<TaskRef> doneTasks; ///< Tasks of which a run has ended well.
    std::map<JobId, std::uint32_t> crashesUnder; ///< Number of endpoints that crashed while they ran tasks of a job.
    std::array<std::uint32_t, 6> occurrences{}; ///< Number of events of each kind so far.
    std::set<std::size_t> stoppingNodes; ///< Instances that were asked to stop.
    std::size_t openFaults = 0; ///< Faults that are about to strike or to end.
    std::size_t firedFaults = 0;
    std::uint64_t lastIncarnation = 0; ///< Number of endpoints that were replaced.
    TimePoint storeAnswersLostUntil;
    TimePoint storeLateUntil;
    TimePoint ordersLateUntil;
    TimePoint orderAnswersLostUntil;
    TimePoint ordersLostUntil;
    TimePoint stopsLostUntil;
    TimePoint endpointsRefuseUntil;
};

} // namespace

ScheduleResult runSchedule(const Schedule &schedule, const std::function<void(std::int64_t, std::size_t, const WriteLogLine &)> &onLog)
{
    return ScheduleRunner(schedule, onLog).run();
}

} // namespace Tanagertally::Cells::Test
