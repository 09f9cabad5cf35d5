/** Commands of the control port, one typed document each. */
#pragma once

#include "client_faults.h"
#include "endpoint_type.h"
#include "platform.h"
#include "scope_type.h"

#include <variant>

namespace Tanagertally::Standins {

/** Fields of EndpointFaults to change; unset ones stay. */
struct EndpointFaultsChange {
    std::optional<double> failProbability; ///< Share of the tasks answered 500.
    std::optional<bool> failFast; ///< Whether a failure comes at once.
    std::optional<double> slowFactor; ///< Factor on every run time.
    std::optional<double> stragglerProbability; ///< Share of the tasks that run longer.
    std::optional<double> stragglerFactor; ///< Factor on the run time of those.
    std::optional<bool> refuseBusy; ///< Whether everything is refused as busy.
    std::optional<bool> silent; ///< Whether nothing is answered.
    std::optional<double> dropProbability; ///< Share of the tasks whose connection is closed after the run.
    std::optional<double> lateProbability; ///< Share of the tasks whose answer comes late.
    std::optional<Duration> lateDelay; ///< Time by which such an answer is late.
};

/** Change the faults of endpoints. */
struct ChangeEndpointFaults {
    EndpointScope scope; ///< Which endpoints.
    EndpointFaultsChange change; ///< What to change.
};

/** Clear the faults of endpoints. */
struct ClearEndpointFaults {
    EndpointScope scope; ///< Which endpoints.
};

/** Tell endpoints to leave. */
struct LeaveEndpoints {
    EndpointScope scope; ///< Which endpoints.
    bool refuses = true; ///< Whether they refuse work at once.
};

/** Kill endpoints. */
struct KillEndpoints {
    EndpointScope scope; ///< Which endpoints.
    bool unlist = true; ///< Whether the platform takes them from the list.
};

/** Make endpoints live again. */
struct ReviveEndpoints {
    EndpointScope scope; ///< Which endpoints.
};

/** Make the present connections of endpoints silent. */
struct SilenceConnections {
    EndpointScope scope; ///< Which endpoints.
};

/** Change the platform's faults for clients. */
struct ChangePlatformFaults {
    ClientScope scope; ///< Which clients.
    PlatformFaultsChange change; ///< What to change.
};

/** Clear the platform's faults for clients. */
struct ClearPlatformFaults {
    ClientScope scope; ///< Which clients.
};

/** Cut clients off from the platform. */
struct CutClients {
    ClientScope scope; ///< Which clients.
};

/** End cuts. */
struct HealClients {
    ClientScope scope; ///< Which clients.
};

/** Change the platform's speed. */
struct ChangePlatformSpeed {
    PlatformSpeedChange change; ///< What to change.
};

/** Set the lag of the instance list. */
struct SetListLag {
    Duration lag{}; ///< The lag.
};

/** Enter an entry instance in the list. */
struct AddInstance {
    std::string name; ///< Its name.
    std::string domain; ///< Its failure domain.
    std::string peerAddress; ///< Where it accepts peer links.
    bool atOnce = false; ///< Whether the list shows it without lag.
};

/** Mark an entry instance as leaving. */
struct LeaveInstance {
    std::string name; ///< Its name.
    bool atOnce = false; ///< Whether the list shows it without lag.
};

/** Take an entry instance from the list. */
struct RemoveInstance {
    std::string name; ///< Its name.
    bool atOnce = false; ///< Whether the list shows it without lag.
};

/** Ask for the rows of the table. */
struct DumpTable {
    std::string prefix; ///< Prefix of the rows wanted; empty for all.
};

/** Ask for all counts. */
struct ReportCounters {
    bool endpoints = true; ///< Whether to report each endpoint as well as the totals.
};

/** Ask how often tasks were started. */
struct ReportStarts {
    std::vector<std::string> tasks; ///< Task-Ids.
};

/** Ask where everything serves. */
struct ReportAddresses {
};

/** Set all counts to zero. */
struct ResetCounters {
};

using Command = std::variant<ChangeEndpointFaults, ClearEndpointFaults, LeaveEndpoints, KillEndpoints, ReviveEndpoints, SilenceConnections,
                             ChangePlatformFaults, ClearPlatformFaults, CutClients, HealClients, ChangePlatformSpeed, SetListLag,
                             AddInstance, LeaveInstance, RemoveInstance, DumpTable, ReportCounters, ReportStarts, ReportAddresses,
                             ResetCounters>; ///< Any command.

} // namespace Tanagertally::Standins
