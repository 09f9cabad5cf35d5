/** Joins the logs of several instances into what happened to one job. */
#pragma once

#include "cli/exit_code_type.h"
#include "cli/options.h"
#include "cli/printer.h"

namespace Tanagertally {

/**
 * Print what the logs say of a job, in the order of their times: its own lines, changes of leader of the cells that they name, and losses
 * of the endpoints that they name, from a second before the first to a second after the last. Times are each instance's own; where the
 * logs show that a clock is behind another one, that is printed.
 * @return Done, or BadInput if a file can't be read or none names the job.
 * Thread safety: any thread.
 */
ExitCode printTimeline(const TimelineCommand &command, Terminal terminal);

} // namespace Tanagertally
