#include "node/cell_directory.h"

#include <algorithm>

namespace Tanagertally::Cells {

namespace {

constexpr double OtherDomainPenaltyMs = 15; // Expected wait that is worth a hop to another failure domain.
constexpr double OtherRackFactor = 1; // A task away from its data takes about twice as long: its work counts once more.

} // namespace

std::vector<CellName> rankCells(const std::map<CellName, CellView> &cells, const CellName &home, const CellDemand &demand)
{
    std::vector<std::pair<double, CellName>> ranked;
    for (const auto &[name, view] : cells) {
        if (view.leader.empty() || view.isGone || view.load.capacityCpu == 0) {
            continue;
        }
        const double capacity = static_cast<double>(view.load.capacityCpu) / 1000;
        const double free = static_cast<double>(view.load.freeCpu) / 1000;
        // Time until the work that waits has been taken up, less what is free.
        double waitMs = (view.load.waitingWork + view.sentWork) / capacity + (1 - free / capacity) * OtherDomainPenaltyMs;
        if (name != home) {
            waitMs += OtherDomainPenaltyMs;
        }
        const bool hasRack
            = demand.affinity.empty() || std::ranges::find(view.load.labels, demand.affinity.value) != view.load.labels.end();
        if (!hasRack) {
            waitMs += OtherRackFactor * demand.work / capacity + OtherDomainPenaltyMs;
        }
        ranked.emplace_back(waitMs, name);
    }
    std::ranges::sort(ranked);
    std::vector<CellName> order;
    order.reserve(ranked.size());
    for (auto &[wait, name] : ranked) {
        order.push_back(std::move(name));
    }
    return order;
}

} // namespace Tanagertally::Cells
