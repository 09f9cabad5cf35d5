/** The command-line tool: each command as calls to a server, with an exit code. */
#pragma once

#include "cli/exit_code_type.h"
#include "cli/printer.h"

#include <iosfwd>
#include <span>

namespace Tanagertally {

/**
 * Run the tool.
 * @param arguments Program name and arguments.
 * @param input Standard input, read where a file is "-".
 * @param terminal Where it prints.
 * @return How it ended. Thread safety: any thread, but it reads the environment.
 */
ExitCode runCli(std::span<const char *const> arguments, std::istream &input, Terminal terminal);

} // namespace Tanagertally
