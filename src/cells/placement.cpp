#include "cells/placement.h"

#include <algorithm>
#include <tuple>

namespace Tanagertally::Cells {

namespace {

constexpr double SlowFactor = 2; // Passing faults slow endpoints down by more than this.
constexpr double MinRelevantSlowness = 1.6; // Smaller values are within the variation of run times.
constexpr Duration EndDelay = std::chrono::milliseconds(15); // From a task's end until its job's, and from its order until its start.
constexpr std::size_t MaxUnfitNeeds = 32; // Bounds the time of a pass; requests are of a few kinds.
constexpr std::size_t MaxDemands = 16; // Distinct demands that are remembered; requests are of a few kinds.
constexpr double DemandMemory = 1 - 1.0 / 64; // Share of the past that remains with each start; a cell starts some hundred tasks a second.

Duration scaled(Duration duration, double factor)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::nano>(duration) * factor);
}

/** Whether a task ends by the times that matter; smaller is better. */
enum class ExpectedEnd : std::uint8_t { InTime, Late, Worthless };

ExpectedEnd classify(TimePoint end, const PlacementTask &task)
{
    if (end <= task.dueAt) {
        return ExpectedEnd::InTime;
    }
    return end <= task.worthlessAt ? ExpectedEnd::Late : ExpectedEnd::Worthless;
}

} // namespace

bool hasLabel(const EndpointRecord &endpoint, std::string_view label)
{
    return std::ranges::find(endpoint.labels, label) != endpoint.labels.end();
}

bool canEverRun(const EndpointRecord &endpoint, const StepSpec &step)
{
    return step.demand.fitsInto(endpoint.capacity) && (step.requirement.empty() || hasLabel(endpoint, step.requirement));
}

bool isFarFromData(const EndpointRecord &endpoint, const StepSpec &step)
{
    return !step.affinity.empty() && !hasLabel(endpoint, step.affinity.value);
}

Duration meanRunTime(const EndpointRecord &endpoint, const StepSpec &step, double remoteFactor)
{
    return remoteFactor != 1 && isFarFromData(endpoint, step) ? scaled(step.estimate, remoteFactor) : step.estimate;
}

Duration expectedRunTime(const CellEndpoint &endpoint, const StepSpec &step, double remoteFactor)
{
    return scaled(meanRunTime(endpoint.record, step, remoteFactor), 1 / endpoint.speed.factor());
}

void RecentDemand::record(std::int64_t cpu)
{
    for (Entry &entry : this->entries) {
        entry.weight *= DemandMemory;
    }
    const auto place = std::ranges::lower_bound(this->entries, cpu, {}, &Entry::cpu);
    if (place != this->entries.end() && place->cpu == cpu) {
        place->weight += 1;
        return;
    }
    this->entries.insert(place, {cpu, 1});
    if (this->entries.size() > MaxDemands) {
        this->entries.erase(std::ranges::min_element(this->entries, {}, &Entry::weight));
    }
}

std::int64_t RecentDemand::typicalCpu() const
{
    double total = 0;
    for (const Entry &entry : this->entries) {
        total += entry.weight;
    }
    double sum = 0;
    for (const Entry &entry : this->entries) {
        sum += entry.weight;
        if (sum >= total / 2) {
            return entry.cpu;
        }
    }
    return 0;
}

std::int64_t unusableCpu(std::int64_t freeCpu, std::int64_t typicalCpu)
{
    return typicalCpu > 0 && freeCpu > 0 ? freeCpu % typicalCpu : 0;
}

void PlacementPass::begin(ServiceName passService, std::int64_t recentDemand)
{
    this->serviceName = std::move(passService);
    this->candidates.clear();
    this->unfitNeeds.clear();
    this->typicalCpu = recentDemand;
    this->leastSlowness = 1;
    this->fastCpu = 0;
    this->freeFastCpu = 0;
    this->areSpeedsEven = true;
}

void PlacementPass::add(CellEndpoint &endpoint, double slowness, TrialTerms trial)
{
    this->leastSlowness = this->candidates.empty() ? slowness : std::min(this->leastSlowness, slowness);
    this->greatestSlowness = this->candidates.empty() ? slowness : std::max(this->greatestSlowness, slowness);
    if (!this->candidates.empty()) {
        const int firstClass = this->candidates.front().endpoint->speed.speedClass();
        this->areSpeedsEven = this->areSpeedsEven && firstClass == endpoint.speed.speedClass();
    }
    if (endpoint.speed.speedClass() >= 0) {
        this->fastCpu += endpoint.record.capacity.cpu;
        this->freeFastCpu += std::max<std::int64_t>(0, endpoint.freeResources().cpu);
    }
    this->candidates.push_back({&endpoint, slowness, trial, {}});
}

const ServiceName &PlacementPass::service() const
{
    return this->serviceName;
}

bool PlacementPass::isKnownUnfit(const Needs &needs) const
{
    return std::ranges::any_of(this->unfitNeeds, [&needs](const Needs &unfit) { return unfit.isImpliedBy(needs); });
}

void PlacementPass::recordUnfit(Needs needs)
{
    std::erase_if(this->unfitNeeds, [&needs](const Needs &known) { return needs.isImpliedBy(known); });
    if (this->unfitNeeds.size() < MaxUnfitNeeds) {
        this->unfitNeeds.push_back(std::move(needs));
    }
}

bool PlacementPass::Needs::isImpliedBy(const Needs &other) const
{
    const bool isRequirementImplied = this->requirement.empty() || this->requirement == other.requirement;
    return this->demand.fitsInto(other.demand) && isRequirementImplied && (this->hasSpareAttempt || !other.hasSpareAttempt);
}

bool PlacementPass::fits(const PlacementCandidate &candidate, const PlacementTask &task)
{
    const CellEndpoint &endpoint = *candidate.endpoint;
    const bool isForSpareAttempts = candidate.trial == TrialTerms::SpareAttempts;
    const bool isTrialUnderWay = candidate.trial != TrialTerms::None && !endpoint.runs.empty();
    if (isTrialUnderWay || (isForSpareAttempts && !task.hasSpareAttempt)) {
        return false;
    }
    return task.step.demand.fitsInto(endpoint.freeResources()) && canEverRun(endpoint.record, task.step);
}

bool PlacementPass::isWithinStepLimit(const PlacementCandidate &candidate, const PlacementTask &task)
{
    if (task.step.maxPerEndpoint == 0) {
        return true;
    }
    const auto sameStep = std::ranges::count_if(
        candidate.endpoint->runs, [&task](const auto &run) { return run.first.step == task.ref.step && run.first.job == task.ref.job; });
    return sameStep < static_cast<std::ptrdiff_t>(task.step.maxPerEndpoint);
}

double PlacementPass::leastSlownessFor(const StepSpec &step) const
{
    if (this->greatestSlowness <= SlowFactor * this->leastSlowness) {
        return this->leastSlowness;
    }
    double least = this->greatestSlowness;
    for (const PlacementCandidate &candidate : this->candidates) {
        if (candidate.slowness < least && canEverRun(candidate.endpoint->record, step)) {
            least = candidate.slowness;
        }
    }
    return least;
}

bool PlacementPass::isTooSlow(TimePoint now, const PlacementCandidate &candidate, const PlacementTask &task, double leastSlowness)
{
    return candidate.slowness > SlowFactor * leastSlowness && now + task.step.estimate <= task.objective
           && now + scaled(task.step.estimate, candidate.slowness) > task.objective;
}

PlacementChoice PlacementPass::choose(TimePoint now, const PlacementTask &task, double remoteFactor)
{
    // Compared lexicographically; the smallest rank is the best.
    using Rank = std::tuple<bool, ExpectedEnd, bool, double, int, std::int64_t, std::int64_t>;
    const StepSpec &step = task.step;
    const Needs needs{step.demand, step.requirement, task.hasSpareAttempt};
    if (this->isKnownUnfit(needs)) {
        return {nullptr, nullptr, true};
    }
    const int direction = 2 * this->freeFastCpu >= this->fastCpu ? -1 : 1;
    PlacementChoice choice;
    Rank bestRank;
    bool isFitting = false;
    const double least = this->leastSlownessFor(step);
    for (const PlacementCandidate &candidate : this->candidates) {
        const CellEndpoint &endpoint = *candidate.endpoint;
        if (!fits(candidate, task)) {
            continue;
        }
        isFitting = true;
        if (!isWithinStepLimit(candidate, task) || isTooSlow(now, candidate, task, least)) {
            continue;
        }
        const Resources available = endpoint.freeResources();
        const ExpectedEnd end
            = this->areSpeedsEven ? ExpectedEnd::InTime : classify(now + expectedRunTime(endpoint, step, remoteFactor) + EndDelay, task);
        const double slowness = candidate.slowness < MinRelevantSlowness ? 1 : candidate.slowness;
        const std::int64_t rest = available.cpu - step.demand.cpu;
        const std::int64_t addedLoss = unusableCpu(rest, this->typicalCpu) - unusableCpu(available.cpu, this->typicalCpu);
        const Rank rank{endpoint.record.name == task.avoid,
                        end,
                        isFarFromData(endpoint.record, step),
                        slowness,
                        direction * endpoint.speed.speedClass(),
                        addedLoss,
                        rest};
        if (!choice.endpoint || rank < bestRank) {
            choice.endpoint = candidate.endpoint;
            bestRank = rank;
        }
    }
    if (!isFitting) {
        this->recordUnfit(needs);
    }
    if (choice.endpoint && std::get<ExpectedEnd>(bestRank) != ExpectedEnd::InTime) {
        choice.awaited = this->findAwaited(now, task, remoteFactor);
        choice.endpoint = choice.awaited ? nullptr : choice.endpoint;
    }
    return choice;
}

const CellEndpoint *PlacementPass::findAwaited(TimePoint now, const PlacementTask &task, double remoteFactor)
{
    for (PlacementCandidate &candidate : this->candidates) {
        const CellEndpoint &endpoint = *candidate.endpoint;
        const TimePoint latestStart = task.dueAt - expectedRunTime(endpoint, task.step, remoteFactor) - EndDelay;
        const bool isEligible = latestStart > now && candidate.trial == TrialTerms::None && candidate.slowness < MinRelevantSlowness
                                && endpoint.record.name != task.avoid && canEverRun(endpoint.record, task.step)
                                && isWithinStepLimit(candidate, task);
        if (!isEligible) {
            continue;
        }
        Resources demand = task.step.demand;
        demand += candidate.promised;
        const std::optional<TimePoint> free = this->freeAt(now, candidate, demand);
        if (free && *free <= latestStart) {
            candidate.promised = demand;
            return &endpoint;
        }
    }
    return nullptr;
}

std::optional<TimePoint> PlacementPass::freeAt(TimePoint now, const PlacementCandidate &candidate, const Resources &demand)
{
    this->endsScratch.clear();
    for (const auto &[task, run] : candidate.endpoint->runs) {
        if (run.expectedEnd == TimePoint{}) {
            continue;
        }
        // A run beyond its expected end is taken to last as long again as it is overdue.
        const TimePoint end = std::max(run.expectedEnd, now + (now - run.expectedEnd));
        this->endsScratch.emplace_back(end, &run.demand);
    }
    std::ranges::sort(this->endsScratch);
    Resources available = candidate.endpoint->freeResources();
    for (const auto &[end, freed] : this->endsScratch) {
        available += *freed;
        if (demand.fitsInto(available)) {
            return end;
        }
    }
    return std::nullopt;
}

} // namespace Tanagertally::Cells
