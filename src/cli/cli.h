/** Entry point of the command-line tool. */
#pragma once

#include "cli/exit_code_type.h"
#include "cli/printer.h"

#include <iosfwd>
#include <span>

namespace Tanagertally {

/**
 * Parses the command line and runs one command.
 * @param arguments Program name and arguments.
 * @param input Standard input; read if the job file is "-".
 * @param terminal Output streams.
 * @return The exit code of the process.
 * Thread safety: may be called from any thread, as long as no other thread changes the environment.
 */
ExitCode runCli(std::span<const char *const> arguments, std::istream &input, Terminal terminal);

} // namespace Tanagertally
