/** Concurrency quotas of teams; the instances share a quota by the usage that they report to each other. */
#pragma once

#include "blackboard/blackboard.h"

namespace Tanagertally {

/**
 * Returns the number of tasks that a team may run on this instance at once: its quota minus the usage that peers report, but at
 * least an even share of the quota and at least 1.
 * @return The limit; UINT32_MAX for a team without a quota.
 */
std::uint32_t localQuota(const Blackboard &board, const TeamName &team);

/** @return Whether a team may start another task on this instance. */
bool hasQuotaRoom(const Blackboard &board, const TeamName &team);

} // namespace Tanagertally
