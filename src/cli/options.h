/** Command-line options of `tanagertally`. */
#pragma once

#include "cli/exit_code_type.h"
#include "core/time_type.h"

#include <cstdint>
#include <iosfwd>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace Tanagertally {

/** `submit FILE`. */
struct SubmitCommand {
    std::string file; ///< Job file; "-" for standard input.
    std::string key; ///< Job key; empty to have the server issue one.
    bool later = false; ///< Submit with mode "later": the server accepts the job at once.
    bool wait = false; ///< After a submission with `later`, wait for the answer.
    std::optional<Duration> timeout; ///< Timeout of the job; unset to use the one in the file.
};

/** `fetch KEY`. */
struct FetchCommand {
    std::string key; ///< Key of the job.
    bool wait = false; ///< Wait for the answer instead of printing the current state.
};

/** `cancel KEY`. */
struct CancelCommand {
    std::string key; ///< Key of the job.
};

/** `keys`. */
struct KeysCommand {
    std::uint32_t count = 1; ///< Number of keys to issue.
};

/** `ask TEXT` and `command TEXT`. */
struct OperatorCommand {
    std::string text; ///< Query or command in the operators' language.
    bool dryRun = false; ///< Check the command without executing it.
    bool isQuery = false; ///< The text is a query, which has no side effects and may be repeated.
};

/** `status`. */
struct StatusCommand {
};

/** `timeline JOB FILE...`. */
struct TimelineCommand {
    std::string job; ///< Job id, as in the `job` field of log lines.
    std::vector<std::string> files; ///< Log files, one for each instance.
};

/** A command that calls a server. */
using Command = std::variant<SubmitCommand, FetchCommand, CancelCommand, KeysCommand, OperatorCommand, StatusCommand>;

/** Output format of results. */
enum class OutputFormat : std::uint8_t {
    Text, ///< Human-readable text.
    Json, ///< The documents of the server, one on each line.
};

/** Parsed command line. */
struct CliOptions {
    std::string server; ///< Address of the caller service.
    std::string operatorServer; ///< Address of the operator service.
    std::string secret; ///< Bearer token of the team or operator; empty for none.
    OutputFormat output = OutputFormat::Text;
    std::uint32_t retries = 5; ///< Most retries after a lost connection.
    Command command; ///< Command to run; ignored if `timeline` is set.
    std::optional<TimelineCommand> timeline; ///< Set for the `timeline` command, which calls no server.
};

/**
 * Parses the command line and the environment variables.
 * @param arguments Program name and arguments.
 * @param out Receives the help text.
 * @param err Receives error messages.
 * @return The options, or the exit code if help was printed or the command line is invalid.
 */
std::variant<CliOptions, ExitCode> parseOptions(std::span<const char *const> arguments, std::ostream &out, std::ostream &err);

} // namespace Tanagertally
