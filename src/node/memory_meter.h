/** Limits the memory of a process by refusing new jobs while its heap is full. */
#pragma once

#include "core/time_type.h"

#include <cstddef>
#include <functional>
#include <limits>

namespace Tanagertally::Cells {

/** @return Number of bytes of the heap in use. Takes some 10 microseconds. Thread safety: any thread. */
std::size_t measureHeapBytes();

/**
 * Tells whether there is memory for another job. Between measurements it adds the sizes of the jobs that it admitted.
 * Thread safety: none.
 */
class MemoryMeter
{
public:
    /** Creates a meter. @param limit Heap in use, in bytes, up to which jobs are admitted. */
    explicit MemoryMeter(std::size_t limit = std::numeric_limits<std::size_t>::max(),
                         std::function<std::size_t()> measureBytes = measureHeapBytes);

    /** @return Whether there is memory for a job; if so, it counts as taken. */
    bool admit(TimePoint now, std::size_t bytes);

    /** @return Whether there is memory for a job that is only kept until it is passed on. */
    bool admitTransient(TimePoint now, std::size_t bytes);

private:
    bool hasRoom(TimePoint now, std::size_t bytes, std::size_t maxBytes);

    std::size_t maxHeapBytes; ///< Limit given at construction.
    std::function<std::size_t()> measure; ///< Measures the heap.
    std::size_t measuredBytes = 0; ///< Result of the last measurement.
    std::size_t admittedBytes = 0; ///< Jobs admitted since.
    TimePoint measuredAt; ///< Time of the last measurement.
};

} // namespace Tanagertally::Cells
