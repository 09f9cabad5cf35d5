#include "cells/cell_endpoint.h"

#include <algorithm>
#include <cassert>

namespace Tanagertally::Cells {

namespace {

constexpr Duration MinRestartTime = std::chrono::milliseconds(50); // Within it, no endpoint restarts and ends a run.

std::int64_t toMs(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace

void RunIndex::add(const TaskRef &task)
{
    ++this->counts[task];
}

void RunIndex::remove(const TaskRef &task)
{
    const auto found = this->counts.find(task);
    assert(found != this->counts.end());
    if (--found->second == 0) {
        this->counts.erase(found);
    }
}

bool RunIndex::contains(const TaskRef &task) const
{
    return this->counts.contains(task);
}

CellEndpoint::CellEndpoint(EndpointRecord registered, LeaseTerms terms, RunIndex &cellRuns)
    : record(std::move(registered))
    , born(this->record.born)
    , runIndex(cellRuns)
    , lease(terms)
{
}

bool CellEndpoint::isRecordCurrent() const
{
    return !this->record.born || this->record.born == this->born;
}

void CellEndpoint::beginIncarnation(TimePoint now, std::int64_t startedAtMs)
{
    assert(this->born && *this->born != startedAtMs);
    this->born = startedAtMs;
    this->bornSeenAt = now;
    this->hasListedRuns = false;
    this->registeredAt = now;
    this->sentAcknowledgement = 0;
    this->nextHoldAt = now;
    this->avoidUntil = {};
    this->consecutiveFailures = 0;
    this->wasLostOnProbation = false;
    this->health = {};
    this->speed = {};
    this->clock.reset();
    this->clockReadAt = {};
    this->grantedUntilMs = 0;
    this->lastEnd = 0;
    this->acknowledgedEnd = 0;
    this->ends.clear();
    // The deadline of an order under way means nothing to the new incarnation's clock, so the order grants the longest lease on arrival.
    const auto longest = std::chrono::duration_cast<Duration>(this->lease.longest / LeaseTerms::SlowestClock);
    this->strayLeasesUntil = now + LeaseTerms::MaxOrderDelay + longest;
}

Resources CellEndpoint::freeResources() const
{
    Resources free = this->record.capacity;
    free -= this->used;
    return free;
}

bool CellEndpoint::hasRunOnProbation(TimePoint time) const
{
    return std::ranges::any_of(this->runs, [time](const auto &entry) { return entry.second.probationUntil > time; });
}

bool CellEndpoint::hasUnstoppedRun() const
{
    return std::ranges::any_of(this->runs, [](const auto &entry) { return entry.second.mayReturn && !entry.second.isStopConfirmed; });
}

void CellEndpoint::updateClock(TimePoint now, std::int64_t clockMs)
{
    if (this->clock && clockMs < this->minClockMs(now)) {
        return; // The answer is older than the last reading.
    }
    this->clock = clockMs;
    this->clockReadAt = now;
}

bool CellEndpoint::isClockKnown() const
{
    return this->clock.has_value();
}

std::int64_t CellEndpoint::estimatedClockMs(TimePoint now) const
{
    assert(this->clock);
    return *this->clock + toMs(now - this->clockReadAt);
}

std::int64_t CellEndpoint::minClockMs(TimePoint now) const
{
    assert(this->clock);
    return *this->clock + static_cast<std::int64_t>(static_cast<double>(toMs(now - this->clockReadAt)) * LeaseTerms::SlowestClock);
}

void CellEndpoint::recordGrant(std::int64_t deadlineMs)
{
    this->grantedUntilMs = std::max(this->grantedUntilMs, deadlineMs);
}

bool CellEndpoint::areLeasesExpired(TimePoint now) const
{
    const bool hasCarriedOver = std::ranges::any_of(this->runs, [](const auto &run) { return run.second.isCarriedOver; });
    if (hasCarriedOver && now <= this->strayLeasesUntil) {
        return false;
    }
    // An incarnation whose clock was never read was granted nothing but by orders to its predecessor.
    const bool isReplacement = this->strayLeasesUntil != TimePoint();
    return this->clock ? this->minClockMs(now) > this->grantedUntilMs : isReplacement;
}

void CellEndpoint::addRun(const TaskRef &task, const RunRecord &run)
{
    assert(!this->runs.contains(task));
    this->used += run.demand;
    this->runs.emplace(task, run);
    this->runIndex.add(task);
}

void CellEndpoint::setDemand(const TaskRef &task, const Resources &demand)
{
    RunRecord &run = this->runs.at(task);
    this->used -= run.demand;
    this->used += demand;
    run.demand = demand;
}

void CellEndpoint::removeRun(TimePoint now, const TaskRef &task)
{
    const auto found = this->runs.find(task);
    if (found == this->runs.end()) {
        return;
    }
    std::erase_if(this->strayOrders, [now](const StrayOrder &order) { return order.until < now; });
    if (this->born && found->second.mayArriveLate) {
        this->strayOrders.push_back({task, found->second.run, now + LeaseTerms::MaxOrderDelay});
    }
    this->used -= found->second.demand;
    this->runIndex.remove(task);
    this->runs.erase(found);
}

bool CellEndpoint::noteEnd(std::uint64_t number, EndRecord end)
{
    if (number <= this->lastEnd) {
        return false;
    }
    this->lastEnd = number;
    this->ends.emplace(number, std::move(end));
    return true;
}

void CellEndpoint::settleRecovery()
{
    for (auto &[number, end] : this->ends) {
        end.awaitsRecovery = false;
    }
}

void CellEndpoint::settleEnds(const JobId &job, std::uint64_t upTo)
{
    for (auto &[number, end] : this->ends) {
        if (number <= upTo && end.awaits == job) {
            end.awaits.reset();
        }
    }
}

std::uint64_t CellEndpoint::lastListedEnd() const
{
    return this->lastEnd;
}

std::uint64_t CellEndpoint::lastSettledEnd() const
{
    std::uint64_t settled = this->acknowledgedEnd;
    for (const auto &[number, end] : this->ends) {
        if (end.awaits || end.awaitsRecovery) {
            break;
        }
        settled = number;
    }
    return settled;
}

std::uint64_t CellEndpoint::acknowledgementToSend(TimePoint now) const
{
    const std::uint64_t settled = this->lastSettledEnd();
    if (!this->born) {
        return settled;
    }
    const bool isIncarnationCertain = this->lastStartAt <= this->lastListedAt || now <= this->lastListedAt + MinRestartTime;
    return isIncarnationCertain && settled > this->acknowledgedEnd ? settled : 0;
}

bool CellEndpoint::hasUnacknowledgedEnds() const
{
    return !this->ends.empty();
}

void CellEndpoint::recordAcknowledgement(std::uint64_t number)
{
    this->acknowledgedEnd = std::max(this->acknowledgedEnd, number);
    this->ends.erase(this->ends.begin(), this->ends.upper_bound(this->acknowledgedEnd));
}

bool CellEndpoint::hasUnsettledEnds() const
{
    return std::ranges::any_of(this->ends,
                               [](const auto &entry) { return entry.second.awaits.has_value() || entry.second.awaitsRecovery; });
}

bool CellEndpoint::hasStrayOrders(TimePoint now) const
{
    return std::ranges::any_of(this->strayOrders, [now](const StrayOrder &order) { return now < order.until; });
}

} // namespace Tanagertally::Cells
