// Random schedules of leader changes and of faults between leaders, store and endpoints. CellWorld checks its invariants at each start,
// stop and answer.
#include "cells/tests/cell_world.h"

#include <boost/test/unit_test.hpp>

using namespace Tanagertally;
using namespace Tanagertally::Cells;
using namespace Tanagertally::Cells::Test;
using namespace std::chrono_literals;

namespace {

const std::string RareLabel = "rare";
constexpr std::uint64_t Schedules = 2000; // Takes about 10 s of processor time.

JobId jobId(std::uint64_t number)
{
    std::string digits = std::to_string(number);
    return JobId(std::string(16 - digits.size(), '0') + digits);
}

CallOutcome drawOutcome(RandomEngine &random, unsigned percent)
{
    if (drawBelow(random, 100) >= percent) {
        return CallOutcome::Answered;
    }
    constexpr std::array<CallOutcome, 4> Faults
        = {CallOutcome::AnswerLost, CallOutcome::ExecutedLate, CallOutcome::Refused, CallOutcome::Lost};
    return Faults[drawBelow(random, Faults.size())];
}

/** What a family of schedules has in common. */
struct ScheduleTerms {
    bool haveRestarts = false; ///< Whether endpoints report births and restart under their names.
    bool haveSteps = false; ///< Whether jobs have a second step that follows the first one.
    bool haveRareLabel = false; ///< Whether one job of two needs an endpoint for its last step that leaves for good in the end.
    Duration target = 60ms; ///< Time that callers accept beyond the ideal run time; with a long one the oldest jobs come first throughout.
    std::uint32_t maxAttempts = 8; ///< Failed runs of a task after which its job fails.
    std::uint64_t runsPerFailure = 30; ///< Mean number of runs of which one fails.
};

/**
 * Watches that accepted work which something could run does run: a stored job must not have nothing running for IdleBound while there is
 * room for its next task twice over and under half of the capacity is in use.
 */
class IdleWatch
{
public:
    /** Looks at all accepted jobs; to be called several times a second while nothing is disturbed. */
    void observe(CellWorld &world, std::size_t leader, const std::set<JobId> &accepted)
    {
        std::size_t capacity = 0;
        std::size_t used = 0;
        std::set<JobId> running;
        for (const EndpointModel &endpoint : world.endpoints) {
            capacity += endpoint.isUp ? endpoint.slots : 0;
            used += endpoint.runs.size();
            for (const ModelRun &run : endpoint.runs) {
                running.insert(run.task.job);
            }
        }
        const bool hasRoom = capacity - used >= 2 && 2 * used < capacity;
        for (const JobId &id : accepted) {
            const bool isOpen = world.shows(leader, id, JobState::Queued) || world.shows(leader, id, JobState::Running);
            if (!isOpen || !hasRoom || running.contains(id)) {
                this->idleSince.erase(id);
                continue;
            }
            const TimePoint since = this->idleSince.try_emplace(id, world.now).first->second;
            if (world.now - since > IdleBound) {
                world.violations.push_back("nothing of accepted job " + id.value + " runs although there is room");
                this->idleSince.erase(id);
            }
        }
    }

private:
    static constexpr Duration IdleBound = 3s; // Specified by the platform.
    std::map<JobId, TimePoint> idleSince;
};

/** @return A kept job of one step, or of two. */
JobSpec specOf(const CellWorld &world, const ScheduleTerms &terms, std::uint32_t count, bool isBestEffort, bool needsRareLabel)
{
    StepSpec step;
    step.count = count;
    step.demand = {1000, 10, 0};
    step.estimate = world.workTime;
    JobSpec spec{std::make_shared<const std::string>("payload"), {step}, isBestEffort};
    if (terms.haveSteps) {
        step.after = {0};
        spec.steps.push_back(step);
    }
    if (needsRareLabel) {
        spec.steps.back().requirement = RareLabel;
    }
    return spec;
}

/** @return Whether some task of a job has failed as often as the job allows. */
bool hasUsedUpAttempts(const std::map<TaskRef, std::uint32_t> &failures, const JobId &id, const ScheduleTerms &terms)
{
    return std::ranges::any_of(failures, [&](const auto &entry) { return entry.first.job == id && entry.second >= terms.maxAttempts; });
}

/** Runs one schedule. @return Violated invariants; empty if there are none. */
std::vector<std::string> runSchedule(std::uint64_t seed, const ScheduleTerms &terms)
{
    const bool haveRestarts = terms.haveRestarts;
    CellWorld world(4, seed);
    std::map<TaskRef, std::uint32_t> failures; // Failed runs by task.
    unsigned faultPercent = 0;
    world.doRestartsEndLateOrders = true; // No leader can prevent that an order to a former incarnation starts a task a second time.
    if (terms.haveRareLabel) {
        world.endpoints.back().record.labels = {RareLabel};
    }
    for (EndpointModel &endpoint : world.endpoints) {
        endpoint.record.born = haveRestarts ? std::optional<std::int64_t>(1) : std::nullopt;
        endpoint.onEnd = [&failures](const ListedEnd &end) { failures[end.task] += end.outcome == RunOutcome::Failed ? 1 : 0; };
    }
    world.storeOutcome = [&] { return drawOutcome(world.random, faultPercent); };
    world.orderOutcome = [&] { return drawOutcome(world.random, faultPercent); };
    world.runOutcome = [&] { return drawBelow(world.random, terms.runsPerFailure) == 0 ? RunOutcome::Failed : RunOutcome::Done; };
    world.workTime = 50ms + std::chrono::milliseconds(drawBelow(world.random, 600));
    std::size_t leader = world.addLeader();
    std::map<JobId, std::pair<std::size_t, CallId>> submitted;
    std::set<JobId> accepted;
    std::uint64_t nextJob = 1;
    const auto recordAccepted = [&] {
        for (const auto &[id, call] : submitted) {
            if (world.isAccepted(call.first, call.second)) {
                accepted.insert(id);
            }
        }
    };
    for (int step = 0; step < 60; ++step) {
        world.advanceTime(std::chrono::milliseconds(drawBelow(world.random, 250)));
        recordAccepted();
        switch (drawBelow(world.random, haveRestarts ? 13 : 12)) {
        case 0:
            world.leaders[leader].isUp = false;
            leader = world.addLeader();
            break;
        case 1:
            world.leaders[leader].isSuspended = true;
            leader = world.addLeader();
            break;
        case 2:
            world.resume(drawBelow(world.random, world.leaders.size()));
            break;
        case 3:
            world.endpoints[drawBelow(world.random, 4)].isReachable = false;
            break;
        case 4:
            for (EndpointModel &endpoint : world.endpoints) {
                endpoint.isReachable = true;
            }
            break;
        case 5:
            faultPercent = static_cast<unsigned>(drawBelow(world.random, 40));
            break;
        case 6:
            world.leaders[leader].leader->release(world.now);
            leader = world.addLeader();
            break;
        case 12: {
            const std::size_t restarted = drawBelow(world.random, 4);
            world.endpoints[restarted].restart(world.now);
            if (drawBelow(world.random, 2) == 0) { // Otherwise the answer to a hold tells the leader.
                world.registerEndpoints(leader);
            }
            break;
        }
        default:
            const JobId id = jobId(nextJob++);
            const auto count = static_cast<std::uint32_t>(1 + drawBelow(world.random, 4));
            const bool isBestEffort = drawBelow(world.random, 3) == 0;
            const bool needsRareLabel = terms.haveRareLabel && drawBelow(world.random, 2) == 0;
            const CallId call = world.submit(leader, id, specOf(world, terms, count, isBestEffort, needsRareLabel),
                                             JobTerms{QueueName("queue"), ServiceName("service"), 0, terms.maxAttempts, 1.6, terms.target});
            if (!isBestEffort && !needsRareLabel) {
                submitted[id] = {leader, call};
            }
            break;
        }
        if (world.leaders[leader].hasEnded) {
            leader = world.addLeader();
        }
    }
    faultPercent = 0;
    for (EndpointModel &endpoint : world.endpoints) {
        endpoint.isReachable = true;
    }
    // Several leaders may still replace each other; time passes until one of them keeps the lead.
    leader = world.addLeader();
    while (!world.leaders[leader].leader->isLeading()) {
        world.advanceTime(1s);
        if (world.leaders[leader].hasEnded) {
            leader = world.addLeader();
        }
    }
    if (terms.haveRareLabel) {
        world.endpoints.back().isUp = false;
        world.endpoints.back().runs.clear();
    }
    if (haveRestarts || terms.haveRareLabel) {
        world.registerEndpoints(leader);
    }
    IdleWatch idleWatch;
    for (const TimePoint end = world.now + 20s; world.now < end;) {
        world.advanceTime(100ms);
        recordAccepted();
        idleWatch.observe(world, leader, accepted);
    }
    for (const JobId &id : accepted) {
        if (!world.shows(leader, id, JobState::Done) && !world.shows(leader, id, JobState::Failed)) {
            world.violations.push_back("accepted job " + id.value + " has not ended");
        }
        // A task whose endpoints restart twice under it looks deadly, and its job may be given up.
        if (!haveRestarts && world.shows(leader, id, JobState::Failed) && !hasUsedUpAttempts(failures, id, terms)) {
            world.violations.push_back("accepted job " + id.value + " failed too early");
        }
    }
    return world.violations;
}

void checkSchedules(const ScheduleTerms &terms)
{
    for (std::uint64_t seed = 1; seed <= Schedules; ++seed) {
        const std::vector<std::string> violations = runSchedule(seed, terms);
        BOOST_TEST(violations.empty(), "seed " << seed << ": " << (violations.empty() ? "" : violations.front()));
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(RandomSchedules)

BOOST_AUTO_TEST_CASE(InvariantsHold)
{
    checkSchedules({});
}

BOOST_AUTO_TEST_CASE(InvariantsHoldWhileEndpointsRestartUnderTheirNames)
{
    checkSchedules({.haveRestarts = true});
}

// Guards against jobs that wait for what has left, and keep others from endpoints that have room.
BOOST_AUTO_TEST_CASE(JobsRunWhereThereIsRoomWhileOthersWaitForAnEndpointThatHasLeft)
{
    checkSchedules({.haveSteps = true, .haveRareLabel = true, .target = 60s});
}

// Guards against failed runs that two leaders count, or none.
BOOST_AUTO_TEST_CASE(InvariantsHoldWhileRunsFailAndLeadersChange)
{
    checkSchedules({.haveSteps = true, .maxAttempts = 2, .runsPerFailure = 5});
}

BOOST_AUTO_TEST_SUITE_END()
