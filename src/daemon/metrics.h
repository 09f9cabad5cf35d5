/** Metrics in the Prometheus text format. */
#pragma once

#include "daemon/shared_stats.h"
#include "peer/peer_links.h"

#include <string>

namespace Tanagertally {

/** Resource usage of this process. */
struct ProcessStats {
    Duration processorTime{}; ///< CPU time of all threads.
    std::uint64_t residentBytes = 0; ///< Resident memory.
};

/** @return The current resource usage of this process; values that can't be read are zero. Thread safety: may be called from any thread. */
ProcessStats readProcessStats();

/** Input of the metrics page. */
struct MetricsInput {
    ControlThreadStats control; ///< Control thread and coordinator.
    ProcessStats process;
    PeerLinksStats peers;
    std::uint64_t listFailures = 0; ///< Failed reads of the platform's instance list.
};

/**
 * Formats the metrics page.
 * @return The page in the Prometheus text format; all metric names start with "tanagertally_".
 * Thread safety: may be called from any thread.
 */
std::string formatMetrics(const MetricsInput &input);

} // namespace Tanagertally
