/** Reads commands of the control port from JSON. */
#pragma once

#include "command_type.h"

namespace Tanagertally::Standins {

/**
 * Read a command.
 * @param text JSON object whose field "command" names the command.
 * @return The command, or an error that names the field that is wrong, missing or unknown.
 * Thread safety: any thread.
 */
Result<Command> readCommand(std::string_view text);

} // namespace Tanagertally::Standins
