/** Merges the logs of several instances into the timeline of one job. */
#pragma once

#include "cli/exit_code_type.h"
#include "cli/options.h"
#include "cli/printer.h"

namespace Tanagertally {

/**
 * Prints the log lines related to a job, ordered by timestamp: the job's own lines and, from one second before the first to one second
 * after the last of them, leader changes of the cells and losses of the endpoints that these lines name. Timestamps are those of each
 * instance's clock; a note is printed for each clock that the logs prove to be behind another one.
 * @return Done, or BadInput if a file can't be read or no line names the job.
 * Thread safety: may be called from any thread.
 */
ExitCode printTimeline(const TimelineCommand &command, Terminal terminal);

} // namespace Tanagertally
