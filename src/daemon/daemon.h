/** Runs the daemon: one entry instance. */
#pragma once

#include "core/result_type.h"
#include "daemon/settings_type.h"

namespace Tanagertally {

/**
 * Runs an entry instance until it has shut down gracefully after SIGTERM or SIGINT. Further signals of these kinds have no effect.
 * @param settings The settings.
 * @return Success, or the error that prevented the start.
 * Thread safety: has to be called once, by the main thread, which becomes the control thread.
 */
Result<void> runDaemon(const Settings &settings);

} // namespace Tanagertally
