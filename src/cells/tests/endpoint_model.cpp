#include "cells/tests/endpoint_model.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace Tanagertally::Cells::Test {

namespace {

constexpr Duration StopDelay = std::chrono::milliseconds(20);

} // namespace

std::int64_t EndpointModel::clockMs(TimePoint now) const
{
    const double worldMs = std::chrono::duration<double, std::milli>(now.time_since_epoch()).count();
    return std::llround(std::floor(worldMs * this->clockRate)) + this->clockOffsetMs;
}

void EndpointModel::advance(TimePoint now)
{
    for (std::size_t index = this->runs.size(); index-- > 0;) {
        const ModelRun &run = this->runs[index];
        if (run.endsAt <= now && run.endsAt <= this->leaseUntil) {
            this->endRun(now, index, run.outcome);
        } else if (this->leaseUntil < now) {
            this->endRun(now, index, RunOutcome::Lapsed);
        }
    }
    if (this->leaseUntil < now) {
        for (ModelEnd &end : this->ends) {
            end.hasLapsedSince = true;
        }
    }
}

StartResult EndpointModel::start(TimePoint now, const StartRun &order, const OnStart &onStart)
{
    using Kind = StartResult::Kind;
    if (!this->isUp) {
        return {Kind::Unknown, ""};
    }
    this->advance(now);
    if (order.token < this->token) {
        return {Kind::Fenced, "fence"};
    }
    this->token = order.token;
    if (order.deadlineMs < this->clockMs(now)) {
        return {Kind::TooLate, "late"};
    }
    this->grant(now, order.deadlineMs);
    const auto ended = this->highestEndedRuns.find(order.task);
    if (ended != this->highestEndedRuns.end() && order.run <= ended->second) {
        return {Kind::Superseded, "old"};
    }
    const auto same = std::ranges::find(this->runs, order.task, &ModelRun::task);
    if (same != this->runs.end()) {
        return same->run == order.run ? StartResult{Kind::Started, ""} : StartResult{Kind::Superseded, "old"};
    }
    if (this->isFull || this->runs.size() >= this->slots) {
        return {Kind::NoCapacity, "room"};
    }
    const RunPlan plan = onStart(order);
    this->runs.push_back({order.task, order.run, now, now + plan.work, plan.outcome, plan.cpu});
    return {Kind::Started, ""};
}

StopResult EndpointModel::stop(TimePoint now, const StopRun &order)
{
    if (!this->isUp) {
        return StopResult::Unknown;
    }
    this->advance(now);
    if (order.token < this->token) {
        return StopResult::Fenced;
    }
    this->token = order.token;
    auto &highest = this->highestEndedRuns[order.task];
    highest = std::max(highest, order.run);
    const auto run = std::ranges::find(this->runs, order.task, &ModelRun::task);
    if (run != this->runs.end() && run->run <= order.run) {
        run->outcome = RunOutcome::Stopped;
        run->endsAt = std::min(run->endsAt, now + StopDelay);
    }
    return StopResult::Confirmed;
}

HoldResult EndpointModel::hold(TimePoint now, const HoldEndpoint &order, const OnAcknowledged &onAcknowledged)
{
    HoldResult result;
    if (!this->isUp) {
        return result;
    }
    this->advance(now);
    if (order.token < this->token) {
        result.kind = HoldResult::Kind::Fenced;
        return result;
    }
    this->token = order.token;
    if (order.deadlineMs) {
        this->grant(now, *order.deadlineMs);
    }
    std::erase_if(this->ends, [&](const ModelEnd &end) {
        const bool isAcknowledged = end.listed.number <= order.acknowledgedEnd;
        if (isAcknowledged && !end.hasLapsedSince) {
            onAcknowledged(end);
        }
        return isAcknowledged;
    });
    result.kind = HoldResult::Kind::Answered;
    result.clockMs = this->clockMs(now);
    result.born = this->record.born;
    for (const ModelRun &run : this->runs) {
        result.running.push_back({run.task, run.run, 0});
    }
    for (const ModelEnd &end : this->ends) {
        result.finished.push_back(end.listed);
    }
    return result;
}

std::int64_t EndpointModel::usedCpu() const
{
    return std::accumulate(this->runs.begin(), this->runs.end(), std::int64_t{},
                           [](std::int64_t sum, const ModelRun &run) { return sum + run.cpu; });
}

bool EndpointModel::runsTask(const TaskRef &task) const
{
    return this->isUp && std::ranges::find(this->runs, task, &ModelRun::task) != this->runs.end();
}

void EndpointModel::beginIncarnation(EndpointName name)
{
    this->record.name = std::move(name);
    this->leaseUntil = {};
    this->token = {};
    this->runs.clear();
    this->ends.clear();
    this->lastEnd = 0;
    this->highestEndedRuns.clear();
}

void EndpointModel::restart(TimePoint now)
{
    this->beginIncarnation(this->record.name);
    this->record.born = std::max(this->record.born.value_or(0) + 1,
                                 std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count());
    this->clockOffsetMs -= this->clockMs(now);
}

void EndpointModel::grant(TimePoint now, std::int64_t deadlineMs)
{
    const Duration requested = std::chrono::milliseconds(deadlineMs - this->clockMs(now));
    const auto granted = std::min<Duration>(requested, LeaseTerms().longest) / this->clockRate;
    if (requested > Duration{}) {
        this->leaseUntil = std::max(this->leaseUntil, now + std::chrono::duration_cast<Duration>(granted));
    }
}

void EndpointModel::endRun(TimePoint now, std::size_t index, RunOutcome end)
{
    const ModelRun run = this->runs[index];
    this->runs.erase(this->runs.begin() + static_cast<std::ptrdiff_t>(index));
    auto &highest = this->highestEndedRuns[run.task];
    highest = std::max(highest, run.run);
    this->ends.push_back({{++this->lastEnd, run.task, run.run, end}, now, false});
    this->onEnd(this->ends.back().listed);
}

} // namespace Tanagertally::Cells::Test
