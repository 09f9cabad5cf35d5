/** Division of the memory of a process among everything that its clients can make it keep. */
#pragma once

#include <cstddef>

namespace Tanagertally::Cells {

/** Resources that a process has. */
struct ProcessResources {
    std::size_t memoryBytes = 256'000'000; ///< Memory; the process is ended if it needs more.
};

/** The parts of ProcessResources. Memory that no part has is left for code, stacks and free blocks of the heap. */
struct ProcessBudget {
    std::size_t callerBytes = 0; ///< Requests that arrive from callers, and replies to them.
    std::size_t balancerBytes = 0; ///< The same at the readiness address.
};

/** @return The budget of a process. Thread safety: any thread. */
ProcessBudget divideResources(const ProcessResources &resources);

} // namespace Tanagertally::Cells
