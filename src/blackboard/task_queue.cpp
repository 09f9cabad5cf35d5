#include "blackboard/task_queue_base.h"

#include <algorithm>

namespace Tanagertally {

namespace {

constexpr std::array<std::size_t, SizeClassCount - 1> SizeClassMinTasks
    = {2, 3, 5, 9, 17, 33, 65}; // Smallest number of tasks per job in classes 1, 2, ...; about doubling.
constexpr std::uint32_t LargestFirstInterval = 32; // In tasks: for one task per interval, the largest size class comes first.

} // namespace

SizeClass sizeClassOf(std::size_t jobTasks)
{
    const auto *const end = std::upper_bound(SizeClassMinTasks.begin(), SizeClassMinTasks.end(), jobTasks);
    return SizeClass(static_cast<std::uint8_t>(end - SizeClassMinTasks.begin()));
}

TaskQueue::Lane &TaskQueue::laneFor(const QueueRank &rank, const TeamName &team, const KindName &kind)
{
    RankClass &rankClass = this->classes[static_cast<std::size_t>(rank.urgency)][rank.sizeClass.value];
    const auto found = rankClass.byTeam.find(team);
    if (found == rankClass.byTeam.end()) {
        rankClass.ring.push_back(TeamQueue{team, rank.teamWeight, rank.teamWeight, 0, {}});
        rankClass.byTeam[team] = std::prev(rankClass.ring.end());
    }
    TeamQueue &queue = *rankClass.byTeam[team];
    queue.weight = rank.teamWeight;
    const auto lane = std::find_if(queue.lanes.begin(), queue.lanes.end(), [&](const Lane &candidate) { return candidate.kind == kind; });
    if (lane != queue.lanes.end()) {
        return *lane;
    }
    queue.lanes.push_back(Lane{kind, {}});
    return queue.lanes.back();
}

void TaskQueue::pushBack(const QueueRank &rank, const TeamName &team, QueuedTask task)
{
    Lane &lane = this->laneFor(rank, team, task.kind);
    lane.tasks.push_back(std::move(task));
}

void TaskQueue::pushFront(const QueueRank &rank, const TeamName &team, QueuedTask task)
{
    Lane &lane = this->laneFor(rank, team, task.kind);
    lane.tasks.push_front(std::move(task));
}

std::optional<QueuedTask> TaskQueue::takeFromTeam(TeamQueue &team, const Selector &selector)
{
    std::size_t skippedLanes = 0;
    while (skippedLanes < team.lanes.size()) {
        const std::size_t index = team.nextLane % team.lanes.size();
        Lane &lane = team.lanes[index];
        if (lane.tasks.empty()) {
            team.lanes.erase(team.lanes.begin() + static_cast<std::ptrdiff_t>(index));
            continue;
        }
        const Choice choice = selector(lane.tasks.front(), team.team);
        if (choice == Choice::Drop) {
            lane.tasks.pop_front();
            continue;
        }
        ++team.nextLane;
        if (choice == Choice::SkipLane) {
            ++skippedLanes;
            continue;
        }
        QueuedTask task = std::move(lane.tasks.front());
        lane.tasks.pop_front();
        return task;
    }
    return std::nullopt;
}

std::optional<QueuedTask> TaskQueue::takeFromClass(RankClass &rankClass, const Selector &selector)
{
    std::size_t skippedTeams = 0;
    while (skippedTeams < rankClass.ring.size()) {
        TeamQueue &team = rankClass.ring.front();
        std::optional<QueuedTask> task = takeFromTeam(team, selector);
        if (team.lanes.empty()) {
            rankClass.byTeam.erase(team.team);
            rankClass.ring.pop_front();
            continue;
        }
        if (task && team.deficit > 1) {
            --team.deficit;
            return task;
        }
        team.deficit = team.weight;
        rankClass.ring.splice(rankClass.ring.end(), rankClass.ring, rankClass.ring.begin());
        if (task) {
            return task;
        }
        ++skippedTeams;
    }
    return std::nullopt;
}

std::optional<QueuedTask> TaskQueue::take(const Selector &selector)
{
    const bool largestFirst = this->takenCount % LargestFirstInterval == LargestFirstInterval - 1;
    for (std::array<RankClass, SizeClassCount> &sizes : this->classes) {
        for (std::size_t step = 0; step < SizeClassCount; ++step) {
            RankClass &rankClass = sizes[largestFirst ? SizeClassCount - 1 - step : step];
            std::optional<QueuedTask> task = takeFromClass(rankClass, selector);
            if (task) {
                ++this->takenCount;
                return task;
            }
        }
    }
    return std::nullopt;
}

} // namespace Tanagertally
