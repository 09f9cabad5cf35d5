/** Decides at the start of a task how its run will go: run time and faults, drawn repeatably. */
#pragma once

#include "endpoint_type.h"
#include "run_time.h"

namespace Tanagertally::Standins {

/** Run times of all kinds. */
struct RunTimeTable {
    std::map<std::string, RunTimeSpec> kinds; ///< Run times by kind.
    RunTimeSpec other; ///< Run times of all other kinds.
    std::uint64_t seed = 1; ///< Seed of all draws.
};

/** A task as it reached an endpoint. */
struct TaskRequest {
    std::string task; ///< Task-Id.
    std::string kind; ///< Task-Kind.
    std::string payload; ///< Payload as JSON text.
    bool poison = false; ///< Whether the payload says that the task fails.
    std::optional<Duration> runTime; ///< Run time that the payload asks for.
};

/** How a run ends. */
enum class RunOutcome : std::uint8_t {
    Succeed, ///< 200.
    FailTask, ///< 422.
    FailEndpoint, ///< 500.
};

/** How one run will go. */
struct RunPlan {
    RunOutcome outcome = RunOutcome::Succeed; ///< How it ends.
    Duration runTime{}; ///< How long it holds its slot.
    bool drop = false; ///< Whether the connection is closed in place of an answer.
    Duration lateBy{}; ///< Time from the end of the run to the answer.
};

/**
 * Read a request to run a task.
 * @param task Task-Id.
 * @param kind Task-Kind.
 * @param payload JSON text; empty stands for null. The fields "poison" and "runTimeMs" of an object are heeded.
 * @return The request, or an error if a name is missing or the payload is no JSON.
 * Thread safety: any thread.
 */
Result<TaskRequest> readTask(std::string task, std::string kind, std::string payload);

/**
 * Plan a run. The undisturbed run time depends only on seed, task and kind; faults on the worker and the start as well.
 * @param request The task.
 * @param table Run times.
 * @param faults Faults of the endpoint.
 * @param worker Worker that runs it.
 * @param start Number of the start on this worker.
 * Thread safety: any thread.
 */
RunPlan planRun(const TaskRequest &request, const RunTimeTable &table, const EndpointFaults &faults, std::string_view worker,
                std::uint64_t start);

/** @return The body of a successful answer: task, kind and the payload as it came. Thread safety: any thread. */
std::string answerBody(const TaskRequest &request);

} // namespace Tanagertally::Standins
