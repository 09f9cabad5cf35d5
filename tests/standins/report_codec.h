/** Writes the reports of the control port as JSON. */
#pragma once

#include "fleet.h"
#include "platform.h"

#include <nlohmann/json.hpp>

namespace Tanagertally::Standins {

/** @return Starts of all tasks. Thread safety: any thread. */
nlohmann::json startsToJson(const StartSummary &summary);

/** @return Counts of an endpoint. Thread safety: any thread. */
nlohmann::json countersToJson(const EndpointCounters &counters);

/** @return All about an endpoint. Thread safety: any thread. */
nlohmann::json endpointToJson(const EndpointReport &report);

/** @return Sum of the counts of endpoints; of the times after leaving the longest. Thread safety: any thread. */
EndpointCounters sumOf(const std::vector<EndpointReport> &reports);

/** @return All about the platform but for its rows. Thread safety: any thread. */
nlohmann::json platformToJson(Platform &platform);

} // namespace Tanagertally::Standins
