/** The latest figures of the control thread, for the threads that serve metrics. */
#pragma once

#include "controllers/coordinator.h"
#include "core/time_type.h"

#include <mutex>

namespace Tanagertally {

/** Figures of the control thread. */
struct ControlFigures {
    CoordinatorStats stats; ///< Figures of the decision part.
    Duration processorTime{}; ///< Processor time that the control thread has used.
    std::uint64_t events = 0; ///< Events handled.
    std::uint64_t batches = 0; ///< Batches in which they were handled.
};

/** Holds the latest figures. Thread safety: all methods may be called from any thread. */
class StatsBoard
{
public:
    /** Replace the figures. */
    void publish(const ControlFigures &latest)
    {
        const std::lock_guard lock(this->mutex);
        this->figures = latest;
    }

    /** @return A copy of the latest figures. */
    ControlFigures read() const
    {
        const std::lock_guard lock(this->mutex);
        return this->figures;
    }

private:
    mutable std::mutex mutex; ///< Guards `figures`.
    ControlFigures figures; ///< The latest figures.
};

} // namespace Tanagertally
