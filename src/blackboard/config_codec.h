/** Validation of a configuration document that reports all errors. */
#pragma once

#include "blackboard/config_type.h"
#include "core/result_type.h"

#include <string_view>
#include <vector>

namespace Tanagertally {

/**
 * Validates a configuration document.
 * @param text JSON text.
 * @return All errors, in the order version, kinds, teams, policy, unknown keys of the document, duplicate names; empty if
 *         fleetConfigFromJson() accepts the document. The field of each error is the JSON path, such as "kinds[0].urgency".
 * Thread safety: any thread.
 */
std::vector<Error> validateFleetConfig(std::string_view text);

} // namespace Tanagertally
