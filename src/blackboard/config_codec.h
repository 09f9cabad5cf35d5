/** Checks of a configuration document beyond the first error. */
#pragma once

#include "blackboard/config_type.h"
#include "core/result_type.h"

#include <string_view>
#include <vector>

namespace Tanagertally {

/**
 * Check a configuration document.
 * @param text JSON text.
 * @return Everything that is wrong with it, in the order of the text's members; empty if fleetConfigFromJson() accepts it.
 * The field of each error is the JSON path, such as "kinds[0].urgency".
 * Thread safety: any thread.
 */
std::vector<Error> fleetConfigErrors(std::string_view text);

} // namespace Tanagertally
