#include "cells/job_cbor.h"

namespace Tanagertally::Cells {

using Json = nlohmann::json;

namespace {

std::int64_t toMs(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

Json stepToJson(const StepSpec &step)
{
    return Json::array({step.count, step.demand.cpu, step.demand.memoryMb, step.demand.gpu, toMs(step.estimate), step.after,
                        step.requirement, step.affinity.value, step.maxPerEndpoint});
}

StepSpec stepFromJson(const Json &json)
{
    StepSpec step;
    step.count = json.at(0).get<std::uint32_t>();
    step.demand = {json.at(1).get<std::int64_t>(), json.at(2).get<std::int64_t>(), json.at(3).get<std::int64_t>()};
    step.estimate = std::chrono::milliseconds(json.at(4).get<std::int64_t>());
    step.after = json.at(5).get<std::vector<std::uint32_t>>();
    step.requirement = json.at(6).get<std::string>();
    step.affinity = RackLabel(json.at(7).get<std::string>());
    step.maxPerEndpoint = json.at(8).get<std::uint32_t>();
    return step;
}

} // namespace

Json specToJson(const JobSpec &spec)
{
    Json steps = Json::array();
    for (const StepSpec &step : spec.steps) {
        steps.push_back(stepToJson(step));
    }
    const std::string &payload = *spec.payload;
    return Json::array({std::move(steps), Json::binary(std::vector<std::uint8_t>(payload.begin(), payload.end())), spec.isBestEffort});
}

JobSpec specFromJson(const Json &json)
{
    JobSpec spec;
    for (const Json &step : json.at(0)) {
        spec.steps.push_back(stepFromJson(step));
    }
    const auto &bytes = json.at(1).get_binary();
    spec.payload = std::make_shared<const std::string>(bytes.begin(), bytes.end());
    spec.isBestEffort = json.at(2).get<bool>();
    return spec;
}

Json termsToJson(const JobTerms &terms)
{
    return Json::array(
        {terms.queue.value, terms.service.value, terms.priority, terms.maxAttempts, terms.stretch, toMs(terms.targetDuration)});
}

JobTerms termsFromJson(const Json &json)
{
    JobTerms terms;
    terms.queue = QueueName(json.at(0).get<std::string>());
    terms.service = ServiceName(json.at(1).get<std::string>());
    terms.priority = json.at(2).get<std::uint32_t>();
    terms.maxAttempts = json.at(3).get<std::uint32_t>();
    terms.stretch = json.at(4).get<double>();
    terms.targetDuration = std::chrono::milliseconds(json.at(5).get<std::int64_t>());
    return terms;
}

std::string toCborText(const Json &json)
{
    std::string bytes;
    Json::to_cbor(json, bytes);
    return bytes;
}

Json fromCborText(std::string_view bytes)
{
    return Json::from_cbor(bytes);
}

} // namespace Tanagertally::Cells
