/** Division of the memory and descriptors of a process among everything that its clients and peers can make it keep. */
#pragma once

#include <cstddef>

namespace Tanagertally::Cells {

/** Memory and descriptors that a process has. */
struct ProcessResources {
    std::size_t memoryBytes = 256'000'000; ///< Memory; the process is ended if it needs more.
    std::size_t descriptors = 1024; ///< Descriptors, including those reserved for files.
};

/** The parts of ProcessResources. Memory that no part has is left for code, stacks and free blocks of the heap. */
struct ProcessBudget {
    std::size_t callerBytes = 0; ///< Requests that arrive from callers, and replies to them.
    std::size_t balancerBytes = 0; ///< The same at the readiness address.
    std::size_t workBytes = 0; ///< Heap in use up to which new jobs are taken.
    std::size_t peerMessageBytes = 0; ///< Largest message of another instance.
    std::size_t callerConnections = 0; ///< Connections of callers.
    std::size_t balancerConnections = 0; ///< Connections at the readiness address.
    std::size_t peerConnections = 0; ///< Connections that other instances have opened.
    std::size_t refusedConnections = 0; ///< Connections at each of the two addresses above their limit, while others are being closed.
};

/** @return The budget of a process. Thread safety: any thread. */
ProcessBudget divideResources(const ProcessResources &resources);

} // namespace Tanagertally::Cells
