#include "cells/crash_history.h"

#include <algorithm>
#include <cassert>

namespace Tanagertally::Cells {

namespace {

constexpr std::size_t CrashesUntilDeadly = 2; // Callers accept that a task under which two endpoints have crashed is given up.
// The same where no run was confirmed. An endpoint seldom crashes between the order and its answer by chance, and rarely thrice.
constexpr std::size_t UnconfirmedCrashesUntilDeadly = 3;
constexpr std::size_t SharedCrashesUntilDeadly = 3; // The same where the task never was alone, but the only suspect once.
constexpr std::size_t UnconfirmedLossesAlone = 2; // Of these, those while the task ran alone; the first one may be shared.
constexpr std::size_t MaxLosses = 5; // Of one task, under any runs; a task must not crash more endpoints.
constexpr Duration EvidenceTimeout = std::chrono::seconds(8); // Crashed endpoints are back after some seconds.
constexpr Duration SilenceUntilLost = std::chrono::seconds(30); // No cut, suspension or late order lasts as long.
constexpr Duration LossRetention = std::chrono::seconds(120); // Callers ask for the state of a job for as long.
constexpr std::size_t MaxRememberedLosses = 256; // Bounds the memory and the stored row.
constexpr std::size_t MinCommonLosses = 4; // So many tasks rarely crash endpoints of one cell within a moment.
constexpr double ProbationFactor = 1.5; // A task crashes at about the same point of its work, which another endpoint reaches later.
constexpr Duration ProbationMargin = std::chrono::milliseconds(500); // Longer than it takes to notice that an endpoint doesn't answer.
constexpr Duration AgeTolerance = std::chrono::milliseconds(100); // The time at which an endpoint was lost isn't known better.
// Most tasks that lose an endpoint once have not caused it. One that did after a longer run is on probation for longer the next time.
constexpr Duration FirstProbationLimit = std::chrono::seconds(3);
constexpr std::size_t CommonLossDivisor = 5; // Share of the cell's endpoints that deadly tasks rarely crash within a moment.

/** @return A task's part in a loss; null if it had none. */
const LostTask *findTask(const EndpointLoss &loss, const TaskRef &task)
{
    const auto found = std::ranges::find(loss.tasks, task, &LostTask::task);
    return found == loss.tasks.end() ? nullptr : &*found;
}

bool isReplacedBy(const EndpointLoss &loss, const EndpointRecord &record)
{
    if (record.name == loss.endpoint) {
        return record.born && loss.born && *record.born > *loss.born;
    }
    return record.address == loss.address && std::ranges::find(loss.predecessors, record.name) == loss.predecessors.end();
}

} // namespace

bool hasCommonCause(std::size_t lostAtOnce, std::size_t endpointCount)
{
    return lostAtOnce >= MinCommonLosses && lostAtOnce * CommonLossDivisor >= endpointCount;
}

void CrashHistory::recordLoss(EndpointLoss loss)
{
    assert(!loss.tasks.empty());
    for (const LostTask &lost : loss.tasks) {
        ++this->jobs[lost.task.job];
    }
    this->lossList.push_back(std::move(loss));
    if (this->lossList.size() > MaxRememberedLosses) {
        this->eraseLoss(0);
    }
}

bool CrashHistory::onRegistry(std::span<const EndpointRecord> records)
{
    bool isChanged = false;
    for (EndpointLoss &loss : this->lossList) {
        const auto replaces = [&loss](const EndpointRecord &record) { return isReplacedBy(loss, record); };
        if (loss.state == LossState::Unconfirmed && std::ranges::any_of(records, replaces)) {
            loss.state = LossState::Crashed;
            isChanged = true;
        }
    }
    return isChanged;
}

bool CrashHistory::onReplaced(const EndpointName &endpoint)
{
    bool isChanged = false;
    for (EndpointLoss &loss : this->lossList) {
        if (loss.endpoint == endpoint && loss.state == LossState::Unconfirmed) {
            loss.state = LossState::Crashed;
            isChanged = true;
        }
    }
    return isChanged;
}

bool CrashHistory::onAnswered(const EndpointName &endpoint, const std::optional<std::int64_t> &born)
{
    const std::size_t before = this->lossList.size();
    for (std::size_t index = this->lossList.size(); index-- > 0;) {
        EndpointLoss &loss = this->lossList[index];
        if (loss.endpoint != endpoint || loss.state != LossState::Unconfirmed) {
            continue;
        }
        if (born == loss.born) {
            this->eraseLoss(index);
        }
    }
    return this->lossList.size() != before;
}

CrashVerdict CrashHistory::verdict(const TaskRef &task, TimePoint now) const
{
    if (!this->concerns(task.job)) {
        return CrashVerdict::None;
    }
    std::size_t losses = 0;
    std::size_t lastingLosses = 0; // Losses that were crashes or have been silent for so long that no cut explains them.
    std::size_t lossesAlone = 0;
    std::size_t allCrashes = 0; // Losses that were crashes, whether or not the run was confirmed.
    std::size_t crashesAlone = 0;
    std::size_t runsLost = 0; // Losses under a confirmed run of the task.
    std::size_t crashes = 0; // Those of them that were crashes.
    bool hasLostAlone = false;
    bool hasCrashedAlone = false;
    bool wasOnlySuspect = false; // In one of these losses.
    bool hasCrashedAsOnlySuspect = false;
    bool isBesideSuspect = false; // In a loss of which another task is the likely cause.
    bool isEvidenceDue = false; // Whether one of these losses may still turn out to be a crash.
    bool isAnyEvidenceDue = false; // The same of all losses.
    for (const EndpointLoss &loss : this->lossList) {
        const LostTask *lost = findTask(loss, task);
        if (!lost) {
            continue;
        }
        if (loss.hadOnlySuspect && !lost->wasOnlySuspect) {
            isBesideSuspect = true;
            continue;
        }
        const bool isCrashed = loss.state == LossState::Crashed;
        const bool mayBeConfirmed = !isCrashed && now < loss.at + EvidenceTimeout;
        // The first loss may have any cause, also if the task was alone: it was not on probation then, and is not the more suspect for it.
        const bool wasAlone = losses > 0 && loss.wasAlone;
        ++losses;
        lastingLosses += isCrashed || now >= loss.at + SilenceUntilLost ? 1 : 0;
        lossesAlone += wasAlone || lost->wasOnlySuspect ? 1 : 0;
        allCrashes += isCrashed ? 1 : 0;
        crashesAlone += isCrashed && (wasAlone || lost->wasOnlySuspect) ? 1 : 0;
        isAnyEvidenceDue = isAnyEvidenceDue || mayBeConfirmed;
        if (!lost->wasRunning) {
            continue;
        }
        ++runsLost;
        crashes += isCrashed ? 1 : 0;
        hasLostAlone = hasLostAlone || wasAlone;
        hasCrashedAlone = hasCrashedAlone || (isCrashed && wasAlone);
        wasOnlySuspect = wasOnlySuspect || lost->wasOnlySuspect;
        hasCrashedAsOnlySuspect = hasCrashedAsOnlySuspect || (isCrashed && lost->wasOnlySuspect);
        isEvidenceDue = isEvidenceDue || mayBeConfirmed;
    }
    if (losses == 0) {
        return isBesideSuspect ? CrashVerdict::RunOnProbation : CrashVerdict::None;
    }
    const bool hasCrashedConfirmed = crashes >= CrashesUntilDeadly && hasCrashedAlone;
    const bool hasCrashedShared = crashes >= SharedCrashesUntilDeadly && hasCrashedAsOnlySuspect;
    const bool hasCrashedUnconfirmed = allCrashes >= UnconfirmedCrashesUntilDeadly && crashesAlone >= UnconfirmedLossesAlone;
    if (lastingLosses >= MaxLosses || hasCrashedConfirmed || hasCrashedShared || hasCrashedUnconfirmed) {
        return CrashVerdict::Deadly;
    }
    const bool awaitsConfirmed = runsLost >= CrashesUntilDeadly && hasLostAlone && isEvidenceDue;
    const bool awaitsShared = runsLost >= SharedCrashesUntilDeadly && wasOnlySuspect && isEvidenceDue;
    const bool awaitsUnconfirmed = losses >= UnconfirmedCrashesUntilDeadly && lossesAlone >= UnconfirmedLossesAlone && isAnyEvidenceDue;
    // No more endpoints are risked; each loss either lasts or is forgotten as its endpoint answers.
    const bool awaitsSilence = losses >= MaxLosses;
    return awaitsConfirmed || awaitsShared || awaitsUnconfirmed || awaitsSilence ? CrashVerdict::AwaitEvidence
                                                                                 : CrashVerdict::RunOnProbation;
}

std::size_t CrashHistory::lossesUnder(const TaskRef &task) const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(this->lossList, [&task](const EndpointLoss &loss) { return findTask(loss, task) != nullptr; }));
}

bool CrashHistory::hasLossAtAge(const TaskRef &task, Duration age) const
{
    return std::ranges::any_of(this->lossList, [&](const EndpointLoss &loss) {
        const LostTask *lost = findTask(loss, task);
        return lost && (!lost->ranFor || std::chrono::abs(*lost->ranFor - age) <= AgeTolerance + std::min(*lost->ranFor, age) / 5);
    });
}

Duration CrashHistory::probationOf(const TaskRef &task) const
{
    std::size_t losses = 0;
    std::optional<Duration> shortest;
    for (const EndpointLoss &loss : this->lossList) {
        const LostTask *lost = findTask(loss, task);
        losses += lost ? 1 : 0;
        if (lost && lost->ranFor) {
            shortest = std::min(shortest.value_or(*lost->ranFor), *lost->ranFor);
        }
    }
    // If the task caused the shortest loss, it does so at about that age.
    const Duration suspected
        = shortest ? std::chrono::duration_cast<Duration>(ProbationFactor * *shortest) + ProbationMargin : Duration::max();
    return losses > 1 ? suspected : std::min(suspected, FirstProbationLimit);
}

bool CrashHistory::concerns(const JobId &job) const
{
    return this->jobs.contains(job);
}

bool CrashHistory::hasLossAt(const NetAddress &address) const
{
    return std::ranges::find(this->lossList, address, &EndpointLoss::address) != this->lossList.end();
}

std::string CrashHistory::endpointsLostUnder(const TaskRef &task) const
{
    std::string names;
    for (const EndpointLoss &loss : this->lossList) {
        if (findTask(loss, task)) {
            names += (names.empty() ? "" : ",") + loss.endpoint.value;
        }
    }
    return names;
}

bool CrashHistory::forgetTask(const TaskRef &task)
{
    return this->concerns(task.job) && this->forgetTasks([&task](const TaskRef &other) { return other == task; });
}

bool CrashHistory::forgetJob(const JobId &job)
{
    return this->concerns(job) && this->forgetTasks([&job](const TaskRef &other) { return other.job == job; });
}

bool CrashHistory::forgetOld(TimePoint now)
{
    const std::size_t before = this->lossList.size();
    while (!this->lossList.empty() && this->lossList.front().at + LossRetention < now) {
        this->eraseLoss(0);
    }
    return this->lossList.size() != before;
}

const std::vector<EndpointLoss> &CrashHistory::losses() const
{
    return this->lossList;
}

void CrashHistory::eraseLoss(std::size_t index)
{
    for (const LostTask &lost : this->lossList[index].tasks) {
        this->removeTask(lost.task);
    }
    this->lossList.erase(this->lossList.begin() + static_cast<std::ptrdiff_t>(index));
}

void CrashHistory::removeTask(const TaskRef &task)
{
    const auto found = this->jobs.find(task.job);
    assert(found != this->jobs.end());
    if (--found->second == 0) {
        this->jobs.erase(found);
    }
}

template<typename Predicate>
bool CrashHistory::forgetTasks(Predicate matches)
{
    bool isChanged = false;
    for (EndpointLoss &loss : this->lossList) {
        std::erase_if(loss.tasks, [&](const LostTask &lost) {
            if (!matches(lost.task)) {
                return false;
            }
            this->removeTask(lost.task);
            isChanged = true;
            return true;
        });
    }
    std::erase_if(this->lossList, [](const EndpointLoss &loss) { return loss.tasks.empty(); });
    return isChanged;
}

} // namespace Tanagertally::Cells
