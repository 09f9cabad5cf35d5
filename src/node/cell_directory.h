/** Which instance leads which cell and how busy the cells are, as this instance has heard. */
#pragma once

#include "node/link_message.h"

#include <map>
#include <span>

namespace Tanagertally::Cells {

/** A cell as seen from here. */
struct CellView {
    InstanceName leader; ///< Who says that it leads with the highest token; empty if nobody does.
    FenceToken token; ///< That token.
    bool isGone = false; ///< Whether the leader gave up the lead, or its process has ended.
    Duration storeSilence{}; ///< Time since the store confirmed the lead, as the leader said.
    CellLoad load; ///< How busy the cell is, as the leader said; no capacity until it has.
    double sentWork = 0; ///< Core-milliseconds that this instance has sent there since the leader said so.
    TimePoint vacantSince; ///< Since when the cell has needed a leader.
    bool isVacant = true; ///< Whether it needs one.
};

/** What a job asks of a cell. */
struct CellDemand {
    double work = 0; ///< Core-milliseconds, by estimate.
    RackLabel affinity; ///< Rack near the data; empty for none.
};

/**
 * Put cells in the order in which a job should be offered to them: where it is expected to start first.
 * A cell of another failure domain counts as busier, as each message to it crosses domains; so does one that doesn't have the
 * rack near the data.
 * @param cells Cells that could take it.
 * @param home The cell of this instance's failure domain.
 * @return The names in order.
 * Thread safety: any thread.
 */
std::vector<CellName> rankCells(const std::map<CellName, CellView> &cells, const CellName &home, const CellDemand &demand);

} // namespace Tanagertally::Cells
