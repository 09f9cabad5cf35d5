/** The queue of tasks that wait for a slot. */
#pragma once

#include "blackboard/job_base.h"

#include <array>
#include <deque>
#include <functional>
#include <list>
#include <optional>
#include <unordered_map>
#include <vector>

#include "blackboard/config_type.h"

namespace Tanagertally {

/** Reference to a task in the queue. */
struct QueuedTask {
    JobId job;
    std::uint32_t task = 0; ///< Index of the task in the job.
    KindName kind;
};

/** Properties that determine the position of a task in the queue. */
struct QueueRank {
    Urgency urgency = Urgency::Normal; ///< Priority class; more urgent tasks come first.
    SizeClass sizeClass; ///< Size class of the job; smaller jobs come first.
    std::uint32_t teamWeight = 1; ///< Round-robin weight of the team; at least 1.
};

/**
 * Waiting tasks, ordered by urgency, then by size class of their job. Within a size class, teams share the slots by deficit
 * round robin; the kinds of a team alternate, and tasks of one kind are served first in, first out.
 *
 * Small jobs come first because response times are rated relative to the run time of the job: a lookup that waits behind a job
 * of many tasks loses more than that job gains. At regular intervals the order of the size classes is reversed for one task, so
 * that large jobs are not starved.
 * Tasks of ended jobs stay in the queue until they reach the head of their lane; the selector then drops them. The cost of a
 * cancellation is therefore independent of the length of the queue.
 * Method: M. Shreedhar and G. Varghese, "Efficient fair queuing using deficit round robin", with a cost of one per task.
 * Thread safety: none.
 */
class TaskQueue
{
public:
    /** Decision about the task at the head of a lane. */
    enum class Choice : std::uint8_t {
        Take, ///< Remove the task from the queue and return it.
        Drop, ///< Remove the task and continue: it no longer waits, its job ended or fails, or the selector has kept it for later.
        SkipLane, ///< Leave the lane unchanged, because no task of this kind and team can start now.
    };

    using Selector = std::function<Choice(const QueuedTask &, const TeamName &)>; ///< Decides about the task at the head of a lane.

    /**
     * Adds a task at the end of its lane.
     * @param rank Determines the position of the lane. A changed team weight applies from the next round.
     * @param team Team of the job.
     * @param task Task to add.
     */
    void pushBack(const QueueRank &rank, const TeamName &team, QueuedTask task);

    /** Adds a task at the front of its lane; otherwise like pushBack(). */
    void pushFront(const QueueRank &rank, const TeamName &team, QueuedTask task);

    /**
     * Removes the next task that can start.
     * @param selector Called for the task at the head of each lane in turn, until it returns Choice::Take.
     * @return The task, or nothing if the selector accepted none.
     */
    std::optional<QueuedTask> take(const Selector &selector);

private:
    /** Waiting tasks of one kind and one team, first in, first out. */
    struct Lane {
        KindName kind;
        std::deque<QueuedTask> tasks;
    };

    /** Waiting tasks of one team in one size class. */
    struct TeamQueue {
        TeamName team;
        std::uint32_t weight = 1; ///< Tasks that it may start per round.
        std::uint32_t deficit = 0; ///< Tasks that it may still start in this round.
        std::size_t nextLane = 0; ///< Index, modulo the number of lanes, of the lane to try next.
        std::vector<Lane> lanes; ///< One lane for each kind with waiting tasks; emptied lanes are removed lazily.
    };

    /** Waiting tasks of one urgency and size class. */
    struct RankClass {
        std::list<TeamQueue> ring; ///< Teams with waiting tasks, in round-robin order.
        std::unordered_map<TeamName, std::list<TeamQueue>::iterator> byTeam; ///< Position of each team in the ring.
    };

    static constexpr std::size_t UrgencyCount = 3; ///< Number of enumerators of Urgency.

    Lane &laneFor(const QueueRank &rank, const TeamName &team, const KindName &kind);
    static std::optional<QueuedTask> takeFromTeam(TeamQueue &team, const Selector &selector);
    static std::optional<QueuedTask> takeFromClass(RankClass &rankClass, const Selector &selector);

    std::array<std::array<RankClass, SizeClassCount>, UrgencyCount> classes; ///< Indexed by urgency, then by size class.
    std::uint32_t takenCount = 0; ///< Number of tasks taken so far; schedules the reversed order of size classes.
};

} // namespace Tanagertally
