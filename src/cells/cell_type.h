/** Identifiers of cells, jobs and tasks. */
#pragma once

#include "core/hash_func.h"
#include "core/strong_type.h"
#include "core/time_type.h"

#include <compare>
#include <cstdint>
#include <memory>
#include <string>

namespace Tanagertally::Cells {

using CellName = StrongString<struct CellNameTag>; ///< A cell: the endpoints of one failure domain, led by one instance at a time.
using JobId = StrongString<struct BatchJobIdTag>; ///< Name that the caller chose for a job; unique in the fleet.
using QueueName = StrongString<struct QueueNameTag>; ///< Name of a queue of the configuration.
using ServiceName = StrongString<struct ServiceNameTag>; ///< Name of a service: a pool of endpoints.
using EndpointName = StrongString<struct EndpointNameTag>; ///< One life of an endpoint; a restarted endpoint has another name.
using RackLabel = StrongString<struct RackLabelTag>; ///< Label of a rack.

using FenceToken = StrongInt<struct FenceTokenTag>; ///< Fencing token of a leader: rises with each change of leadership of a cell.
using RunNumber = StrongInt<struct RunNumberTag>; ///< Number of one start of a task; rises over all leaders.
using CallId = StrongInt<struct CallIdTag>; ///< A call of this process that awaits an answer.

/** Names one task of a job. */
struct TaskRef {
    JobId job; ///< The job.
    std::uint32_t step = 0; ///< Number of the step in the job, from 0.
    std::uint32_t index = 0; ///< Number of the task in the step, from 0.

    friend auto operator<=>(const TaskRef &, const TaskRef &) = default; // NOLINT(modernize-use-nullptr): false positive.
};

/** What a task asks of an endpoint, and what an endpoint has. */
struct Resources {
    std::int64_t cpu = 0; ///< Thousandths of a core.
    std::int64_t memoryMb = 0; ///< Memory in MB.
    std::int64_t gpu = 0; ///< Accelerators.

    /** Add what another holds. */
    Resources &operator+=(const Resources &other)
    {
        this->cpu += other.cpu;
        this->memoryMb += other.memoryMb;
        this->gpu += other.gpu;
        return *this;
    }

    /** Take away what another holds. */
    Resources &operator-=(const Resources &other)
    {
        this->cpu -= other.cpu;
        this->memoryMb -= other.memoryMb;
        this->gpu -= other.gpu;
        return *this;
    }

    /** @return Whether this fits into `room`. */
    bool fitsInto(const Resources &room) const
    {
        return this->cpu <= room.cpu && this->memoryMb <= room.memoryMb && this->gpu <= room.gpu;
    }

    friend bool operator==(const Resources &, const Resources &) = default;
};

} // namespace Tanagertally::Cells

/** Hash of a TaskRef. */
template<>
struct std::hash<Tanagertally::Cells::TaskRef> {
    std::size_t operator()(const Tanagertally::Cells::TaskRef &task) const noexcept
    {
        return Tanagertally::stableHash(task.job.value, (std::uint64_t(task.step) << 32) | task.index);
    }
};
