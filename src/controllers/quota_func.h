/** Limits of teams, shared between instances by the usage that they report. */
#pragma once

#include "blackboard/blackboard.h"

namespace Tanagertally {

/**
 * Tasks that a team may run here at once: its quota less what peers report, and at least an even share of the quota.
 * @return The limit; UINT32_MAX for a team without a quota.
 */
std::uint32_t localQuota(const Blackboard &board, const TeamName &team);

/** @return Whether a team may start another task here. */
bool hasQuotaRoom(const Blackboard &board, const TeamName &team);

} // namespace Tanagertally
