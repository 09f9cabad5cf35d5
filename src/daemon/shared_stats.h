/** The latest statistics of the control thread, shared with the threads that serve metrics. */
#pragma once

#include "controllers/coordinator.h"
#include "core/time_type.h"

#include <mutex>

namespace Tanagertally {

/** Statistics of the control thread. */
struct ControlThreadStats {
    CoordinatorStats coordinatorStats; ///< Statistics of the coordinator.
    Duration processorTime{}; ///< Processor time that the control thread has used.
    std::uint64_t events = 0; ///< Events handled.
    std::uint64_t batches = 0; ///< Batches in which they were handled.
};

/** Holds the latest statistics. Thread safety: all methods may be called from any thread. */
class SharedStats
{
public:
    /** Replaces the statistics. */
    void publish(const ControlThreadStats &latest)
    {
        const std::lock_guard lock(this->mutex);
        this->stats = latest;
    }

    /** @return A copy of the latest statistics. */
    ControlThreadStats read() const
    {
        const std::lock_guard lock(this->mutex);
        return this->stats;
    }

private:
    mutable std::mutex mutex; ///< Guards `stats`.
    ControlThreadStats stats;
};

} // namespace Tanagertally
