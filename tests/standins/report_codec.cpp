#include "report_codec.h"

#include <algorithm>

namespace Tanagertally::Standins {

namespace {

constexpr std::size_t MaxRepeatedListed = 1000;

/** A count of an endpoint and its name in reports. */
struct CounterName {
    std::string_view name; ///< Name in reports.
    std::uint64_t EndpointCounters::*counter; ///< The count.
};

constexpr CounterName CounterNames[] = {
    {"started", &EndpointCounters::started},
    {"succeeded", &EndpointCounters::succeeded},
    {"taskFailed", &EndpointCounters::taskFailed},
    {"endpointFailed", &EndpointCounters::endpointFailed},
    {"refusedBusy", &EndpointCounters::refusedBusy},
    {"refusedLeaving", &EndpointCounters::refusedLeaving},
    {"malformed", &EndpointCounters::malformed},
    {"swallowed", &EndpointCounters::swallowed},
    {"dropped", &EndpointCounters::dropped},
    {"late", &EndpointCounters::late},
    {"cut", &EndpointCounters::cut},
    {"killed", &EndpointCounters::killed},
    {"probes", &EndpointCounters::probes},
};

std::string_view stateName(EndpointState state)
{
    switch (state) {
    case EndpointState::Live:
        return "live";
    case EndpointState::Leaving:
        return "leaving";
    case EndpointState::Killed:
        return "killed";
    }
    return "killed";
}

nlohmann::json afterLeavingToJson(const AfterLeaving &after)
{
    nlohmann::json bySecond = nlohmann::json::object();
    for (std::size_t second = 0; second < after.bySecond.size(); ++second) {
        if (after.bySecond[second] > 0) {
            bySecond[std::to_string(second)] = after.bySecond[second];
        }
    }
    return {{"started", after.started},
            {"refused", after.refused},
            {"lastMs", toMilliseconds(after.last)},
            {"arrivalsBySecond", std::move(bySecond)}};
}

nlohmann::json faultsToJson(const EndpointFaults &faults)
{
    return {{"failProbability", faults.failProbability},
            {"failFast", faults.failFast},
            {"slowFactor", faults.slowFactor},
            {"stragglerProbability", faults.stragglerProbability},
            {"stragglerFactor", faults.stragglerFactor},
            {"refuseBusy", faults.refuseBusy},
            {"silent", faults.silent},
            {"dropProbability", faults.dropProbability},
            {"lateProbability", faults.lateProbability},
            {"lateDelayMs", toMilliseconds(faults.lateDelay)}};
}

} // namespace

nlohmann::json startsToJson(const StartSummary &summary)
{
    nlohmann::json repeated = nlohmann::json::array();
    for (const RepeatedStart &entry : summary.repeated) {
        if (repeated.size() == MaxRepeatedListed) {
            break;
        }
        repeated.push_back({{"task", entry.task}, {"kind", entry.kind}, {"starts", entry.starts}, {"laterWorkers", entry.workers}});
    }
    return {{"total", summary.starts},
            {"tasks", summary.tasks},
            {"byKind", summary.startsByKind},
            {"repeatsByKind", summary.repeatsByKind},
            {"tasksStartedAgain", summary.repeated.size()},
            {"startedAgain", std::move(repeated)}};
}

nlohmann::json countersToJson(const EndpointCounters &counters)
{
    nlohmann::json json;
    for (const CounterName &entry : CounterNames) {
        json[std::string(entry.name)] = counters.*entry.counter;
    }
    json["afterLeaving"] = afterLeavingToJson(counters.afterLeaving);
    return json;
}

nlohmann::json endpointToJson(const EndpointReport &report)
{
    return {{"worker", report.place.worker},
            {"rack", report.place.rack},
            {"domain", report.place.domain},
            {"slots", report.place.slots},
            {"address", report.address},
            {"state", stateName(report.state)},
            {"running", report.running},
            {"connections", report.connections},
            {"connectionsOverLimit", report.connectionsOverLimit},
            {"faults", faultsToJson(report.faults)},
            {"counters", countersToJson(report.counters)}};
}

EndpointCounters sumOf(const std::vector<EndpointReport> &reports)
{
    EndpointCounters sum;
    for (const EndpointReport &report : reports) {
        for (const CounterName &entry : CounterNames) {
            sum.*entry.counter += report.counters.*entry.counter;
        }
        const AfterLeaving &after = report.counters.afterLeaving;
        sum.afterLeaving.started += after.started;
        sum.afterLeaving.refused += after.refused;
        sum.afterLeaving.last = std::max(sum.afterLeaving.last, after.last);
        for (std::size_t second = 0; second < after.bySecond.size(); ++second) {
            sum.afterLeaving.bySecond[second] += after.bySecond[second];
        }
    }
    return sum;
}

nlohmann::json platformToJson(Platform &platform)
{
    const PlatformCounters counters = platform.counters();
    const TableCounters table = platform.table().counters();
    const ObjectCounters objects = platform.objects().counters();
    return {{"rows", platform.table().size()},
            {"objects", platform.objects().size()},
            {"listLagMs", toMilliseconds(platform.list().lag())},
            {"writes", table.transactions + table.conflicts + objects.puts},
            {"reads", table.reads + objects.gets + counters.listReads},
            {"transactions", table.transactions},
            {"conflicts", table.conflicts},
            {"rowsWritten", table.rowsWritten},
            {"tableReads", table.reads},
            {"rowsRead", table.rowsRead},
            {"objectPuts", objects.puts},
            {"objectGets", objects.gets},
            {"listReads", counters.listReads},
            {"requests", counters.requests},
            {"overRate", counters.overRate},
            {"unavailable", counters.unavailable},
            {"closed", counters.closed},
            {"swallowed", counters.swallowed},
            {"lostAnswers", counters.lostAnswers},
            {"malformed", counters.malformed}};
}

} // namespace Tanagertally::Standins
