#include "run_plan.h"

#include <boost/outcome/try.hpp>
#include <nlohmann/json.hpp>

namespace Tanagertally::Standins {

namespace {

constexpr double MaxRunTimeMs = 3.6e6;

Duration undisturbedRunTime(const TaskRequest &request, const RunTimeTable &table)
{
    if (request.runTime) {
        return *request.runTime;
    }
    RandomEngine engine(stableHash(request.task + '\n' + request.kind, table.seed));
    const auto found = table.kinds.find(request.kind);
    return drawRunTime(found == table.kinds.end() ? table.other : found->second, engine);
}

/** Read the fields of a payload that the stand-in heeds. */
Result<void> readFields(const nlohmann::json &payload, TaskRequest &request)
{
    if (!payload.is_object()) {
        return boost::outcome_v2::success();
    }
    if (const auto poison = payload.find("poison"); poison != payload.end() && poison->is_boolean()) {
        request.poison = poison->get<bool>();
    }
    const auto runTime = payload.find("runTimeMs");
    if (runTime == payload.end()) {
        return boost::outcome_v2::success();
    }
    if (!runTime->is_number() || runTime->get<double>() < 0.0 || runTime->get<double>() > MaxRunTimeMs) {
        return makeError(ErrorCode::BadInput, "runTimeMs is not a number of milliseconds up to an hour", "runTimeMs");
    }
    request.runTime = scale(std::chrono::milliseconds(1), runTime->get<double>());
    return boost::outcome_v2::success();
}

} // namespace

Result<TaskRequest> readTask(std::string task, std::string kind, std::string payload)
{
    if (task.empty()) {
        return makeError(ErrorCode::BadInput, "no Task-Id", "Task-Id");
    }
    if (kind.empty()) {
        return makeError(ErrorCode::BadInput, "no Task-Kind", "Task-Kind");
    }
    TaskRequest request{std::move(task), std::move(kind), std::move(payload), false, std::nullopt};
    if (request.payload.empty()) {
        request.payload = "null";
    }
    const nlohmann::json parsed = nlohmann::json::parse(request.payload, nullptr, false);
    if (parsed.is_discarded()) {
        return makeError(ErrorCode::BadInput, "the payload is no JSON", "body");
    }
    BOOST_OUTCOME_TRY(readFields(parsed, request));
    return request;
}

RunPlan planRun(const TaskRequest &request, const RunTimeTable &table, const EndpointFaults &faults, std::string_view worker,
                std::uint64_t start)
{
    RandomEngine engine(stableHash(request.task + '\n' + std::string(worker) + '\n' + std::to_string(start), table.seed));
    const bool fails = drawChance(faults.failProbability, engine);
    const bool straggles = drawChance(faults.stragglerProbability, engine);
    const bool late = drawChance(faults.lateProbability, engine);
    RunPlan plan;
    plan.drop = drawChance(faults.dropProbability, engine);
    plan.lateBy = late ? faults.lateDelay : Duration::zero();
    plan.runTime = scale(undisturbedRunTime(request, table), faults.slowFactor * (straggles ? faults.stragglerFactor : 1.0));
    if (fails) {
        plan.outcome = RunOutcome::FailEndpoint;
        plan.runTime = faults.failFast ? Duration::zero() : plan.runTime;
    } else if (request.poison) {
        plan.outcome = RunOutcome::FailTask;
    }
    return plan;
}

std::string answerBody(const TaskRequest &request)
{
    return R"({"task":)" + nlohmann::json(request.task).dump() + R"(,"kind":)" + nlohmann::json(request.kind).dump() + R"(,"echo":)"
           + request.payload + "}";
}

} // namespace Tanagertally::Standins
