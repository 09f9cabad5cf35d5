#include "blackboard/task_queue_base.h"

#include <algorithm>

namespace Tanagertally {

TaskQueue::Lane &TaskQueue::laneFor(Urgency urgency, const TeamName &team, std::uint32_t weight, const KindName &kind)
{
    UrgencyClass &urgencyClass = this->classes[static_cast<std::size_t>(urgency)];
    const auto found = urgencyClass.byTeam.find(team);
    if (found == urgencyClass.byTeam.end()) {
        urgencyClass.ring.push_back(TeamQueue{team, weight, weight, 0, {}});
        urgencyClass.byTeam[team] = std::prev(urgencyClass.ring.end());
    }
    TeamQueue &queue = *urgencyClass.byTeam[team];
    queue.weight = weight;
    const auto lane = std::find_if(queue.lanes.begin(), queue.lanes.end(), [&](const Lane &one) { return one.kind == kind; });
    if (lane != queue.lanes.end()) {
        return *lane;
    }
    queue.lanes.push_back(Lane{kind, {}});
    return queue.lanes.back();
}

void TaskQueue::pushBack(Urgency urgency, const TeamName &team, std::uint32_t weight, QueuedTask task)
{
    Lane &lane = this->laneFor(urgency, team, weight, task.kind);
    lane.tasks.push_back(std::move(task));
}

void TaskQueue::pushFront(Urgency urgency, const TeamName &team, std::uint32_t weight, QueuedTask task)
{
    Lane &lane = this->laneFor(urgency, team, weight, task.kind);
    lane.tasks.push_front(std::move(task));
}

std::optional<QueuedTask> TaskQueue::takeFromTeam(TeamQueue &team, const Judge &judge)
{
    std::size_t looked = 0;
    while (looked < team.lanes.size()) {
        const std::size_t index = team.nextLane % team.lanes.size();
        Lane &lane = team.lanes[index];
        if (lane.tasks.empty()) {
            team.lanes.erase(team.lanes.begin() + static_cast<std::ptrdiff_t>(index));
            continue;
        }
        const Choice choice = judge(lane.tasks.front(), team.team);
        if (choice == Choice::Drop) {
            lane.tasks.pop_front();
            continue;
        }
        ++team.nextLane;
        if (choice == Choice::SkipLane) {
            ++looked;
            continue;
        }
        QueuedTask task = std::move(lane.tasks.front());
        lane.tasks.pop_front();
        return task;
    }
    return std::nullopt;
}

std::optional<QueuedTask> TaskQueue::takeFromClass(UrgencyClass &urgencyClass, const Judge &judge)
{
    std::size_t looked = 0;
    while (looked < urgencyClass.ring.size()) {
        TeamQueue &team = urgencyClass.ring.front();
        std::optional<QueuedTask> task = takeFromTeam(team, judge);
        if (team.lanes.empty()) {
            urgencyClass.byTeam.erase(team.team);
            urgencyClass.ring.pop_front();
            continue;
        }
        if (task && team.deficit > 1) {
            --team.deficit;
            return task;
        }
        team.deficit = team.weight;
        urgencyClass.ring.splice(urgencyClass.ring.end(), urgencyClass.ring, urgencyClass.ring.begin());
        if (task) {
            return task;
        }
        ++looked;
    }
    return std::nullopt;
}

std::optional<QueuedTask> TaskQueue::take(const Judge &judge)
{
    for (UrgencyClass &urgencyClass : this->classes) {
        std::optional<QueuedTask> task = takeFromClass(urgencyClass, judge);
        if (task) {
            return task;
        }
    }
    return std::nullopt;
}

} // namespace Tanagertally
