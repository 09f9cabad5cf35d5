/** This instance's view of all cells (leader, fencing token, load), and the order in which a job is offered to them. */
#pragma once

#include "node/link_message.h"

#include <map>
#include <span>

namespace Tanagertally::Cells {

/** State of a cell as known to this instance. */
struct CellView {
    InstanceName leader; ///< Instance that claims the lead with the highest fencing token; empty if none does.
    FenceToken token; ///< Fencing token of `leader`.
    bool hasLeadEnded = false; ///< Whether the leader released the lead or its process has ended.
    Duration storeSilence{}; ///< Time since the store last confirmed the lead, as reported in the leader's last advert.
    CellLoad load; ///< Load as reported in the leader's last advert; its capacity is 0 before the first advert.
    double sentWork = 0; ///< Core-milliseconds that this instance has sent to the cell since the leader's last advert.
    TimePoint vacantSince; ///< Start of the current vacancy; valid only while `isVacant`.
    bool isVacant = true; ///< Whether the cell needs a new leader.
};

/** Resources that a job needs from a cell. */
struct CellDemand {
    double work = 0; ///< Estimated core-milliseconds.
    RackLabel affinity; ///< Rack near the job's data; empty for none.
};

/**
 * Order the cells that can take a job by the job's expected start time, earliest first.
 * A cell in another failure domain gets a penalty because each message to it crosses domains, and so does a cell without the rack near
 * the data. Cells without a leader or without capacity are left out.
 * @param cells Known cells.
 * @param home The cell of this instance's failure domain.
 * @return Names of the eligible cells in order.
 * Thread safety: any thread.
 */
std::vector<CellName> rankCells(const std::map<CellName, CellView> &cells, const CellName &home, const CellDemand &demand);

} // namespace Tanagertally::Cells
