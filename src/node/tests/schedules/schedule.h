/** Random schedules of faults in a fleet of whole instances, in virtual time: what happens, its checks, and the shortest form of a failure.
 */
#pragma once

#include "node/tests/node_world.h"

#include <string>
#include <vector>

namespace Tanagertally::Cells::Test {

/** What a fault does. */
enum class FaultKind : std::uint8_t {
    Kill, ///< A process is killed and starts again after `length`.
    PowerLoss, ///< A machine loses its power for `length`.
    PowerLossOfAll, ///< All machines lose their power for `length`.
    Suspend, ///< A process is suspended for `length`.
    PlannedStop, ///< A process is asked to stop, and starts again `length` after its end.
    StoreCut, ///< An instance doesn't reach the store for `length`.
    StoreAnswersLost, ///< The answers of the store are lost for `length`.
    StoreLate, ///< Half of the store's calls get no answer and are executed late, for `length`.
    PeerCut, ///< Nothing passes between an instance and all others for `length`.
    PeerCutInbound, ///< Nothing reaches an instance from the others for `length`.
    PeerCutOutbound, ///< Nothing reaches the others from an instance for `length`.
    LinkReset, ///< All links of an instance are reset.
    EndpointCut, ///< No instance reaches an endpoint for `length`.
    EndpointCutFromOne, ///< One instance doesn't reach an endpoint for `length`.
    EndpointCrash, ///< An endpoint crashes and starts again under another name after `length`.
    OrdersLate, ///< Half of the orders to endpoints get no answer and are executed 2 to 12 s later, for `length`.
    OrderAnswersLost, ///< Half of the answers of endpoints are lost for `length`.
    OrdersLost, ///< Half of the orders to endpoints are lost for `length`.
    StopsLost, ///< All stop orders are lost for `length`.
    EndpointsRefuse, ///< Half of the orders to endpoints are refused for `length`.
    Drain, ///< All endpoints of a failure domain drain for `length`.
    CallerLeaves, ///< A caller breaks its connection.
};

inline constexpr std::size_t FaultKindCount = 22;

/** A fault and the moment at which it happens: some time after an instance has done something for the n-th time. */
struct Fault {
    FaultKind kind = FaultKind::Kill;
    WorldEvent trigger = WorldEvent::Start;
    std::uint32_t occurrence = 1; ///< Number of the triggering event, counted from the first submission.
    Duration delay{}; ///< From the event to the fault.
    Duration length{};
    bool hitsOther = false; ///< Whether it hits another instance than the one that has done it.
    std::uint32_t target = 0; ///< Picks the other instance, the endpoint or the call.
};

/** A fleet, its jobs and its faults; everything else follows from the seed. */
struct Schedule {
    std::uint64_t seed = 1;
    std::size_t nodes = 2;
    std::size_t domains = 1;
    std::size_t endpoints = 2;
    bool doCallersReturn = false; ///< Whether callers submit a job again 1.3 s after a broken call, at any instance.
    bool areClocksSlow = false; ///< Whether the endpoints' clocks run 2% slow.
    bool haveStoredJobs = false;
    std::uint32_t jobs = 1;
    std::uint32_t tasks = 1; ///< Largest number of tasks of a job.
    std::vector<Fault> faults;
};

/** Kinds of schedules that are drawn together. */
struct ScheduleFamily {
    std::string_view name;
    std::size_t maxNodes = 3;
    std::size_t maxDomains = 1;
    std::size_t maxEndpoints = 2;
    std::uint32_t maxJobs = 1;
    std::uint32_t maxTasks = 1;
    std::size_t maxFaults = 3;
    bool doCallersReturn = false;
    bool haveStoredJobs = false;
};

/** @return All families. */
std::span<const ScheduleFamily> scheduleFamilies();

/** Draw a schedule. Thread safety: any thread. */
Schedule drawSchedule(const ScheduleFamily &family, std::uint64_t seed);

/** What a schedule has shown. */
struct ScheduleResult {
    std::vector<std::string> violations; ///< Descriptions of violated promises.
    std::size_t starts = 0; ///< Runs that were started.
    std::size_t faults = 0; ///< Faults whose moment came.
};

/**
 * Run a schedule. Thread safety: any thread.
 * @param onLog Called with each log line of an instance: the virtual time in ms, the instance's number and the line.
 */
ScheduleResult runSchedule(const Schedule &schedule,
                           const std::function<void(std::int64_t, std::size_t, const WriteLogLine &)> &onLog = {});

/** @return The schedule without the faults, jobs and tasks that its first violation doesn't need. @pre It shows a violation. */
Schedule shrinkSchedule(Schedule schedule);

/** @return The schedule as text, one line for the fleet and one for each fault. */
std::string toText(const Schedule &schedule);

} // namespace Tanagertally::Cells::Test
