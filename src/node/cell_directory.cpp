#include "node/cell_directory.h"

#include "core/hash_func.h"

#include <algorithm>
#include <limits>
#include <tuple>

namespace Tanagertally::Cells {

namespace {

constexpr double OtherDomainPenaltyMs = 15; // Reduction of the expected wait that justifies a hop to another domain.
constexpr double SpreadMs = 15; // As large as the term for the share of the capacity in use, so that this share sets the odds.
constexpr int MaxOverloadRefusals = 2; // The nearest cell and one other; then only cells that are expected to serve in time.
constexpr int SlackMargin = 3; // Adverts are up to 250 ms old: the queue may have grown since, and estimates err by up to 40%.
constexpr double OtherRackFactor = 1; // Away from its data a task takes about twice as long, so its work counts twice.

/** @return Core-milliseconds per millisecond that a cell is expected to complete; its capacity if it doesn't tell. */
double effectiveRate(const CellLoad &load)
{
    return static_cast<double>(load.rateCpu > 0 ? load.rateCpu : load.capacityCpu) / 1000;
}

/** @return Free room that typical tasks can use, in thousandths of a core; all free room if the cell doesn't tell. */
std::int64_t usableCpu(const CellLoad &load)
{
    return load.usableCpu >= 0 ? load.usableCpu : load.freeCpu;
}

/** @return Number from 0 to 1 that differs from cell to cell and from job to job. */
double spreadOf(const CellName &cell, std::uint64_t key)
{
    return static_cast<double>(stableHash(cell.value, key)) / static_cast<double>(std::numeric_limits<std::uint64_t>::max());
}

/** @return Milliseconds until the work that waits in a cell, or was sent to it since its last advert, has started. */
double expectedWaitMs(const CellView &view, const CellDemand &demand)
{
    const double rate = effectiveRate(view.load);
    // Work that finds room starts at once and delays nothing.
    return hasRoomFor(view, demand) ? 0 : (view.load.waitingWork + view.sentWork) / rate;
}

bool hasRackOf(const CellView &view, const CellDemand &demand)
{
    return demand.affinity.empty() || std::ranges::find(view.load.labels, demand.affinity.value) != view.load.labels.end();
}

} // namespace

bool acceptsJobs(const CellView &cell)
{
    return !cell.leader.empty() && !cell.hasLeadEnded && !cell.isEvacuated && cell.load.capacityCpu != 0;
}

bool hasRoomFor(const CellView &cell, const CellDemand &demand)
{
    return cell.load.waitingWork == 0 && cell.sentCpu + demand.cpu <= static_cast<double>(usableCpu(cell.load));
}

bool canServeInTime(const CellView &cell, const CellDemand &demand)
{
    if (!acceptsJobs(cell)) {
        return false;
    }
    Duration wait = std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(expectedWaitMs(cell, demand)));
    if (!hasRackOf(cell, demand)) {
        wait += std::chrono::duration_cast<Duration>(OtherRackFactor * std::chrono::duration<double, std::nano>(demand.longestTask));
    }
    return SlackMargin * wait < demand.slack;
}

bool isWorthOffering(const CellView &cell, const CellDemand &demand, int overloadRefusals)
{
    return overloadRefusals < MaxOverloadRefusals || canServeInTime(cell, demand);
}

std::vector<CellName> rankCells(const std::map<CellName, CellView> &cells, const FailureDomain &home, const CellDemand &demand)
{
    // Compared lexicographically; the smallest rank is the best.
    enum class Group : std::uint8_t { OwnInTime, OtherInTime, Late };
    std::vector<std::tuple<Group, double, CellName>> ranked;
    for (const auto &[name, view] : cells) {
        if (!acceptsJobs(view)) {
            continue;
        }
        const double capacity = static_cast<double>(view.load.capacityCpu);
        const bool isOwn = view.domain == home;
        const Group inTime = isOwn ? Group::OwnInTime : Group::OtherInTime;
        const Group group = canServeInTime(view, demand) ? inTime : Group::Late;
        // Time until the waiting work has started, plus a term that grows with the share of the capacity in use.
        double waitMs = expectedWaitMs(view, demand) + (1 - static_cast<double>(usableCpu(view.load)) / capacity) * OtherDomainPenaltyMs;
        const bool isDivided = name.value != view.domain.value;
        waitMs += isDivided || !isOwn ? SpreadMs * spreadOf(name, demand.spreadKey) : 0;
        waitMs += isOwn ? 0 : OtherDomainPenaltyMs;
        if (!hasRackOf(view, demand)) {
            waitMs += OtherRackFactor * demand.work / effectiveRate(view.load) + OtherDomainPenaltyMs;
        }
        ranked.emplace_back(group, waitMs, name);
    }
    std::ranges::sort(ranked);
    std::vector<CellName> order;
    order.reserve(ranked.size());
    for (auto &[group, wait, name] : ranked) {
        order.push_back(std::move(name));
    }
    return order;
}

} // namespace Tanagertally::Cells
