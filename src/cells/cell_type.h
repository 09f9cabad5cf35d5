/** Identifiers of cells, jobs and tasks, and resource amounts. */
#pragma once

#include "core/hash_func.h"
#include "core/strong_type.h"
#include "core/time_type.h"

#include <compare>
#include <cstdint>
#include <memory>
#include <string>

namespace Tanagertally::Cells {

using CellName = StrongString<struct CellNameTag>; ///< A cell: all or some endpoints of one failure domain, led by one instance at a time.
using JobId = StrongString<struct BatchJobIdTag>; ///< Job name chosen by the caller; unique in the fleet.
using QueueName = StrongString<struct QueueNameTag>; ///< Name of a configured queue.
using ServiceName = StrongString<struct ServiceNameTag>; ///< Name of a service: a pool of endpoints.
using EndpointName = StrongString<struct EndpointNameTag>; ///< One incarnation of an endpoint; a restarted endpoint has another name.
using RackLabel = StrongString<struct RackLabelTag>; ///< Label of a rack.

using FenceToken = StrongInt<struct FenceTokenTag>; ///< Fencing token of a leader; increases with each change of leader of a cell.
using RunNumber = StrongInt<struct RunNumberTag>; ///< Number of one start of a task; increases across all leaders.
using CallId = StrongInt<struct CallIdTag>; ///< A call to this process that awaits an answer.

/** Identifies one task of a job. */
struct TaskRef {
    JobId job;
    std::uint32_t step = 0; ///< Number of the step in the job, from 0.
    std::uint32_t index = 0; ///< Number of the task in the step, from 0.

    friend auto operator<=>(const TaskRef &, const TaskRef &) = default; // NOLINT(modernize-use-nullptr): false positive.
};

/** Resources that a task demands or an endpoint has. */
struct Resources {
    std::int64_t cpu = 0; ///< Thousandths of a core.
    std::int64_t memoryMb = 0; ///< Memory in MB.
    std::int64_t gpu = 0; ///< Number of accelerators.

    Resources &operator+=(const Resources &other)
    {
        this->cpu += other.cpu;
        this->memoryMb += other.memoryMb;
        this->gpu += other.gpu;
        return *this;
    }

    Resources &operator-=(const Resources &other)
    {
        this->cpu -= other.cpu;
        this->memoryMb -= other.memoryMb;
        this->gpu -= other.gpu;
        return *this;
    }

    /** @return Whether each amount is at most that of `available`. */
    bool fitsInto(const Resources &available) const
    {
        return this->cpu <= available.cpu && this->memoryMb <= available.memoryMb && this->gpu <= available.gpu;
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
