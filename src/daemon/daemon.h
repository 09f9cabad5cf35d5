/** The daemon: one entry instance, from its settings to its exit. */
#pragma once

#include "core/result_type.h"
#include "daemon/settings_type.h"

namespace Tanagertally {

/**
 * Run an entry instance until SIGTERM or SIGINT has stopped it gracefully; more signals of these change nothing.
 * @param settings The settings.
 * @return Nothing, or the error that kept it from starting.
 * Thread safety: called once, by the main thread, which becomes the control thread.
 */
Result<void> runDaemon(const Settings &settings);

} // namespace Tanagertally
