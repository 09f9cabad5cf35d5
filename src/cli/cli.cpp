#include "cli/cli.h"

#include "cli/command_runner.h"
#include "cli/timeline.h"

namespace Tanagertally {

ExitCode runCli(std::span<const char *const> arguments, std::istream &input, Terminal terminal)
{
    const std::variant<CliOptions, ExitCode> parsed = parseOptions(arguments, terminal.out, terminal.err);
    if (const ExitCode *code = std::get_if<ExitCode>(&parsed)) {
        return *code;
    }
    const CliOptions &options = std::get<CliOptions>(parsed);
    if (options.timeline) {
        return printTimeline(*options.timeline, terminal);
    }
    Printer printer(terminal, options.output);
    const bool isOperator = std::holds_alternative<OperatorCommand>(options.command);
    const Result<ServerAddress> server = parseServerAddress(isOperator ? options.operatorServer : options.server);
    if (server.has_error()) {
        printer.printLocalError("bad-input", server.error().message, server.error().field);
        return ExitCode::BadInput;
    }
    CommandRunner runner(options, server.value(), input, printer);
    return std::visit([&](const auto &command) { return runner.run(command); }, options.command);
}

} // namespace Tanagertally
