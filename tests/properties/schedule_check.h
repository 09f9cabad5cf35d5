/** The invariants, checked on a finished run. */
#pragma once

#include "properties/schedule_run.h"

namespace Tanagertally {

/**
 * Check the invariants.
 * @param run A run that has ended.
 * @return Every invariant that did not hold, and figures.
 */
ScheduleResult checkRun(const ScheduleRun &run);

} // namespace Tanagertally
