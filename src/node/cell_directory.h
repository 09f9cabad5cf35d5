/** This instance's view of all cells (leader, fencing token, load), and the order in which a job is offered to them. */
#pragma once

#include "node/link_message.h"

#include <map>
#include <span>

namespace Tanagertally::Cells {

/** State of a cell as known to this instance. */
struct CellView {
    FailureDomain domain; ///< Failure domain of the cell's endpoints.
    InstanceName leader; ///< Instance that claims the lead with the highest fencing token; empty if none does.
    FenceToken token; ///< Fencing token of `leader`.
    bool isKnownFromStore = false; ///< Whether the store named the leader, and no advert of it has arrived since.
    bool hasLeadEnded = false; ///< Whether the leader released the lead or its process has ended.
    Duration storeSilence{}; ///< Time since the store last confirmed the lead, as reported in the leader's last advert.
    CellLoad load; ///< Load as reported in the leader's last advert; its capacity is 0 before the first advert.
    double sentWork = 0; ///< Core-milliseconds that this instance has sent to the cell since the leader's last advert.
    bool isEvacuated = false; ///< Whether the operators have evacuated its failure domain.
    double sentCpu = 0; ///< Thousandths of a core that the tasks of that work demand.
    TimePoint vacantSince; ///< Start of the current vacancy; valid only while `isVacant`.
    TimePoint lostAt; ///< Last sign of life of the first leader that was lost within the time in which callers return; unset before.
    bool isVacant = true; ///< Whether the cell needs a new leader.
};

/** Resources that a job needs from a cell. */
struct CellDemand {
    double work = 0; ///< Estimated core-milliseconds.
    RackLabel affinity; ///< Rack near the job's data; empty for none.
    std::uint64_t spreadKey = 0; ///< Differs from job to job; selects among cells that are about equally loaded.
    double cpu = 0; ///< Thousandths of a core that the job's tasks demand.
    Duration slack{}; ///< Time that the job can wait and still end in time; 0 if it isn't known.
    Duration longestTask{}; ///< Longest estimate of a task; 0 if there is none.
};

/** @return Whether a cell has a leader and endpoints that take new jobs. Thread safety: any thread. */
bool acceptsJobs(const CellView &cell);

/** @return Whether a cell has room for a job of this demand at once, also after what this instance has sent. Thread safety: any thread. */
bool hasRoomFor(const CellView &cell, const CellDemand &demand);

/** @return Whether a job of this demand is expected to end in time in a cell. Thread safety: any thread. */
bool canServeInTime(const CellView &cell, const CellDemand &demand);

/**
 * Pattern: all cells overloaded. Offering each job to all leaders in turn multiplies their work when they have least time for it, and a
 * refusal that comes late costs the caller its own alternatives.
 * @param overloadRefusals Number of leaders that have refused the job as overloaded.
 * @return Whether a job should be offered to a further cell. Thread safety: any thread.
 */
bool isWorthOffering(const CellView &cell, const CellDemand &demand, int overloadRefusals);

/**
 * Order the cells that can take a job: those of the own domain in which it ends in time, those of others in which it does, then the rest;
 * within each group by the expected start time, earliest first. Among the rest a cell in another failure domain gets a penalty because each
 * message to it crosses domains, and so does a cell without the rack near the data. Cells without a leader or without capacity and
 * evacuated cells are left out.
 *
 * Pattern: uneven demand. Callers move between domains and cells of one domain differ in load and speed. The own domain is left as soon as
 * it doesn't serve in time, and not before; the expected wait follows from the rate at which the endpoints really work, from the room that
 * typical tasks can use, and from what this instance has sent since the cell's last advert.
 *
 * Pattern: herd behaviour. All instances of a domain know the same loads, some of them 250 ms old. If each one sent every job to the cell
 * that was least loaded at that time, this cell would get several times its capacity until the next adverts. A random share of the wait
 * spreads the jobs over the cells of a divided domain and of other domains instead, in favour of those with more free capacity.
 * @param cells Known cells.
 * @param home Failure domain of this instance.
 * @return Names of the eligible cells in order.
 * Thread safety: any thread.
 */
std::vector<CellName> rankCells(const std::map<CellName, CellView> &cells, const FailureDomain &home, const CellDemand &demand);

} // namespace Tanagertally::Cells
