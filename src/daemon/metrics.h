/** Metrics in the Prometheus text format. */
#pragma once

#include "daemon/shared_stats.h"
#include "peer/peer_links.h"

#include <string>

namespace Tanagertally {

/** What this process uses of the machine. */
struct ProcessStats {
    Duration processorTime{}; ///< Processor time of all threads.
    std::uint64_t residentBytes = 0; ///< Resident memory in bytes.
};

/** @return What this process uses now. Thread safety: any thread. */
ProcessStats readProcessStats();

/** Everything that the metrics page is made of. */
struct MetricsInput {
    ControlThreadStats control; ///< The control thread and the decision part.
    ProcessStats process; ///< The process.
    PeerLinksStats peers; ///< The peer links.
    std::uint64_t listFailures = 0; ///< Reads of the platform's instance list that failed.
};

/**
 * Write the metrics page.
 * @param input The figures.
 * @return The page; names start with "tanagertally_".
 * Thread safety: any thread.
 */
std::string formatMetrics(const MetricsInput &input);

} // namespace Tanagertally
