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

/** A task in the queue. */
struct QueuedTask {
    JobId job; ///< Its job.
    std::uint32_t task = 0; ///< Its index in the job.
    KindName kind; ///< Its kind.
};

/** Where a task stands in the order of the queue. */
struct QueueRank {
    Urgency urgency = Urgency::Normal; ///< More urgent ones come first.
    SizeClass sizeClass; ///< Class of its job's size; smaller jobs come first.
    std::uint32_t teamWeight = 1; ///< Share of its team; at least 1.
};

/**
 * Waiting tasks by urgency, then by size of their job, then shared between teams by deficit round robin, then by kind, then
 * first in first out.
 *
 * Small jobs come first because the response time of a job is judged against its own run time: a lookup that waits behind a job
 * of many tasks loses more than that job gains. Every few tasks the largest jobs come first, so that they are not starved.
 * Tasks of jobs that ended stay in the queue until they come up; the owner drops them then, so that a cancellation costs
 * one step whatever the queue's length.
 * Method: M. Shreedhar and G. Varghese, "Efficient fair queuing using deficit round robin", with a cost of one per task.
 * Thread safety: none.
 */
class TaskQueue
{
public:
    /** Tells what is to become of the task that comes up next. */
    enum class Choice : std::uint8_t {
        Take, ///< Take it.
        Drop, ///< Its job ended: forget it.
        SkipLane, ///< No task of this kind and team can start now.
    };

    using Judge = std::function<Choice(const QueuedTask &, const TeamName &)>; ///< Judges the task that comes up next.

    /**
     * Add a task at the end of its lane.
     * @param rank Where it stands in the order.
     * @param team Its team.
     * @param task The task.
     */
    void pushBack(const QueueRank &rank, const TeamName &team, QueuedTask task);

    /** Add a task at the front of its lane; otherwise like pushBack(). */
    void pushFront(const QueueRank &rank, const TeamName &team, QueuedTask task);

    /**
     * Take the next task that can start.
     * @param judge Called for the task at the head of each lane in turn.
     * @return The task, or nothing if no lane has one that can start.
     */
    std::optional<QueuedTask> take(const Judge &judge);

private:
    /** Waiting tasks of one kind and one team. */
    struct Lane {
        KindName kind; ///< Their kind.
        std::deque<QueuedTask> tasks; ///< First in, first out.
    };

    /** Waiting tasks of one team. */
    struct TeamQueue {
        TeamName team; ///< The team.
        std::uint32_t weight = 1; ///< Its share.
        std::uint32_t deficit = 0; ///< Tasks that it may still take in this round.
        std::size_t nextLane = 0; ///< Lane to look at first.
        std::vector<Lane> lanes; ///< One lane for each kind that waits.
    };

    /** Waiting tasks of one urgency and size of job. */
    struct RankClass {
        std::list<TeamQueue> ring; ///< Teams with waiting tasks, in round-robin order.
        std::unordered_map<TeamName, std::list<TeamQueue>::iterator> byTeam; ///< Where each team stands in the ring.
    };

    static constexpr std::size_t UrgencyCount = 3; ///< Number of urgencies.

    Lane &laneFor(const QueueRank &rank, const TeamName &team, const KindName &kind);
    static std::optional<QueuedTask> takeFromTeam(TeamQueue &team, const Judge &judge);
    static std::optional<QueuedTask> takeFromClass(RankClass &rankClass, const Judge &judge);

    std::array<std::array<RankClass, SizeClassCount>, UrgencyCount> classes; ///< Classes by urgency and size.
    std::uint32_t takes = 0; ///< Counts tasks taken.
};

} // namespace Tanagertally
