#include "cells/store_rows.h"

#include "cells/job_cbor.h"

#include <fmt/format.h>

namespace Tanagertally::Cells {

using Json = nlohmann::json;

namespace {

// Keeps the load of each partition below its limit of 250 transactions/s on the users' platform.
constexpr std::uint64_t IdPartitions = 16;

constexpr double MaxCoreShare = 4096; // Cores of the largest machines.

template<typename Decode>
auto decodeRow(std::string_view value, std::string_view what, Decode decode) -> Result<decltype(decode(Json()))>
{
    std::string fault;
    try {
        return decode(fromCborText(value));
    } catch (const Json::exception &error) {
        fault = error.what();
    } catch (const CborError &error) {
        fault = error.what();
    }
    return makeError(ErrorCode::BadInput, fmt::format("can't read the {} row: {}", what, fault), std::string(what));
}

Json endpointToJson(const EndpointRecord &endpoint)
{
    return Json::array({endpoint.name.value, endpoint.service.value, endpoint.address.value, endpoint.domain.value, endpoint.capacity.cpu,
                        endpoint.capacity.memoryMb, endpoint.capacity.gpu, endpoint.labels});
}

EndpointRecord endpointFromJson(const Json &json)
{
    EndpointRecord endpoint;
    endpoint.name = EndpointName(json.at(0).get<std::string>());
    endpoint.service = ServiceName(json.at(1).get<std::string>());
    endpoint.address = NetAddress(json.at(2).get<std::string>());
    endpoint.domain = FailureDomain(json.at(3).get<std::string>());
    endpoint.capacity = {integerFromJson<std::uint32_t>(json.at(4), "cpu"), integerFromJson<std::uint32_t>(json.at(5), "memory"),
                         integerFromJson<std::uint32_t>(json.at(6), "gpu")};
    endpoint.labels = json.at(7).get<std::vector<std::string>>();
    return endpoint;
}

} // namespace

RowKey leadKey(const CellName &cell)
{
    return {std::string(CellsTable), cell.value, "lead"};
}

RowKey rosterKey(const CellName &cell)
{
    return {std::string(CellsTable), cell.value, "roster"};
}

RowKey lossesKey(const CellName &cell)
{
    return {std::string(CellsTable), cell.value, "losses"};
}

RowKey jobKey(const CellName &cell, const JobId &job)
{
    return {std::string(JobsTable), cell.value, job.value};
}

RowKey progressKey(const CellName &cell, const JobId &job)
{
    return {std::string(ProgressTable), cell.value, job.value};
}

RowKey transferKey(const CellName &formerCell, const JobId &job)
{
    return {std::string(TransfersTable), formerCell.value, job.value};
}

RowKey idKey(const JobId &job)
{
    return {std::string(IdsTable), fmt::format("{:02x}", stableHash(job.value) % IdPartitions), job.value};
}

RowKey layoutKey(const FailureDomain &domain)
{
    return {std::string(LayoutsTable), "", domain.value};
}

RowKey instanceKey(const InstanceName &instance)
{
    return {std::string(InstancesTable), "", instance.value};
}

std::string encodeLead(const LeadRecord &lead)
{
    return toCborText(Json::array({lead.owner.value, lead.incarnation.value, lead.token.value, lead.transactionNumber}));
}

Result<LeadRecord> decodeLead(std::string_view value)
{
    return decodeRow(value, "lead", [](const Json &json) {
        return LeadRecord{InstanceName(json.at(0).get<std::string>()),
                          Incarnation(integerFromJson<std::uint64_t>(json.at(1), "incarnation")),
                          FenceToken(integerFromJson<std::uint64_t>(json.at(2), "token")),
                          integerFromJson<std::uint64_t>(json.at(3), "number of the transaction")};
    });
}

std::string encodeJob(const JobSpec &spec, const JobTerms &terms)
{
    return toCborText(Json::array({specToJson(spec), termsToJson(terms)}));
}

std::string validateRowSize(const JobSpec &spec, std::string_view row, std::size_t maxRowBytes)
{
    if (row.size() <= maxRowBytes) {
        return {};
    }
    const bool isPayloadLarger = spec.payload->size() >= row.size() / 2;
    return std::string(isPayloadLarger ? "spec" : "steps") + ": the job takes " + std::to_string(row.size())
           + " bytes in the store, must be at most " + std::to_string(maxRowBytes);
}

Result<StoredJob> decodeJob(const JobId &id, std::string_view value)
{
    return decodeRow(value, "job", [&id](const Json &json) { return StoredJob{id, specFromJson(json.at(0)), termsFromJson(json.at(1))}; });
}

std::string encodeTransfer(const JobTransfer &transfer)
{
    return toCborText(Json::array({transfer.target.value, lossesToJson(transfer.losses)}));
}

Result<JobTransfer> decodeTransfer(const JobId &id, std::string_view value)
{
    return decodeRow(value, "transfer", [&id](const Json &json) {
        return JobTransfer{id, CellName(json.at(0).get<std::string>()), lossesFromJson(json.at(1))};
    });
}

std::string encodeProgress(const JobProgress &progress)
{
    Json done = Json::array();
    for (const JobProgress::DoneTask &task : progress.done) {
        done.push_back({task.step, task.index});
    }
    Json failures = Json::array();
    for (const JobProgress::TaskFailures &task : progress.failures) {
        Json runs = Json::array();
        for (const RunNumber run : task.runs) {
            runs.push_back(run.value);
        }
        failures.push_back({task.step, task.index, task.failures, std::move(runs)});
    }
    return toCborText(Json::array({static_cast<int>(progress.state), std::move(done), std::move(failures), progress.runsBefore}));
}

Result<JobProgress> decodeProgress(std::string_view value)
{
    return decodeRow(value, "progress", [](const Json &json) {
        JobProgress progress;
        progress.state = enumFromJson(json.at(0), "state", JobState::Cancelled);
        for (const Json &task : json.at(1)) {
            progress.done.push_back(
                {integerFromJson<std::uint32_t>(task.at(0), "step"), integerFromJson<std::uint32_t>(task.at(1), "task")});
        }
        for (const Json &task : json.at(2)) {
            JobProgress::TaskFailures failures{integerFromJson<std::uint32_t>(task.at(0), "step"),
                                               integerFromJson<std::uint32_t>(task.at(1), "task"),
                                               integerFromJson<std::uint32_t>(task.at(2), "failures"),
                                               {}};
            if (task.size() > 3) { // Former releases stored the number of failed runs only.
                for (const Json &run : task.at(3)) {
                    failures.runs.emplace_back(integerFromJson<std::uint64_t>(run, "run"));
                }
            }
            progress.failures.push_back(std::move(failures));
        }
        if (json.size() > 3) { // Absent in former releases.
            progress.runsBefore = integerFromJson<std::uint64_t>(json.at(3), "runs before");
        }
        return progress;
    });
}

std::string encodeRoster(std::span<const EndpointRecord> endpoints)
{
    Json rows = Json::array();
    for (const EndpointRecord &endpoint : endpoints) {
        rows.push_back(endpointToJson(endpoint));
    }
    return toCborText(rows);
}

Result<std::vector<EndpointRecord>> decodeRoster(std::string_view value)
{
    return decodeRow(value, "roster", [](const Json &json) {
        std::vector<EndpointRecord> endpoints;
        for (const Json &row : json) {
            endpoints.push_back(endpointFromJson(row));
        }
        return endpoints;
    });
}

std::string encodeLosses(std::span<const EndpointLoss> losses)
{
    return toCborText(lossesToJson(losses));
}

Result<std::vector<EndpointLoss>> decodeLosses(std::string_view value)
{
    return decodeRow(value, "losses", lossesFromJson);
}

std::string encodeCellCount(std::uint32_t count)
{
    return toCborText(Json::array({count}));
}

Result<std::uint32_t> decodeCellCount(std::string_view value)
{
    return decodeRow(value, "layout",
                     [](const Json &json) { return integerFromJson<std::uint32_t>(json.at(0), "number of cells", 1, MaxCellsPerDomain); });
}

std::string encodeInstance(const InstanceRecord &instance)
{
    return toCborText(Json::array({instance.name.value, instance.incarnation.value, instance.peerAddress.value, instance.domain.value,
                                   instance.coreShare, instance.isLeaving}));
}

Result<InstanceRecord> decodeInstance(std::string_view value)
{
    return decodeRow(value, "instance", [](const Json &json) {
        return InstanceRecord{InstanceName(json.at(0).get<std::string>()),
                              Incarnation(integerFromJson<std::uint64_t>(json.at(1), "incarnation")),
                              NetAddress(json.at(2).get<std::string>()),
                              FailureDomain(json.at(3).get<std::string>()),
                              numberFromJson(json.at(4), "core share", 0, MaxCoreShare),
                              json.at(5).get<bool>()};
    });
}

} // namespace Tanagertally::Cells
