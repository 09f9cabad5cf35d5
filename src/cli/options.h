/** Command line of `tanagertally`. */
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
    std::string key; ///< Key to submit under; empty to have one issued.
    bool later = false; ///< Submit for later.
    bool wait = false; ///< Wait for the answer of a job submitted for later.
    std::optional<Duration> timeout; ///< Timeout of the job.
};

/** `fetch KEY`. */
struct FetchCommand {
    std::string key; ///< Key of the job.
    bool wait = false; ///< Wait for the answer.
};

/** `cancel KEY`. */
struct CancelCommand {
    std::string key; ///< Key of the job.
};

/** `keys`. */
struct KeysCommand {
    std::uint32_t count = 1; ///< Number of keys wanted.
};

/** `ask TEXT` and `command TEXT`. */
struct OperatorCommand {
    std::string text; ///< Text in the operators' language.
    bool dryRun = false; ///< Check only, without effect.
    bool isQuery = false; ///< Whether it is a query, which can be asked again without harm.
};

/** `status`. */
struct StatusCommand {
};

/** `timeline JOB FILE...`. */
struct TimelineCommand {
    std::string job; ///< Name of the job.
    std::vector<std::string> files; ///< Logs of instances.
};

/** Any command that calls a server. */
using Command = std::variant<SubmitCommand, FetchCommand, CancelCommand, KeysCommand, OperatorCommand, StatusCommand>;

/** How results are printed. */
enum class OutputFormat : std::uint8_t {
    Text, ///< For a person.
    Json, ///< The server's documents, one on a line.
};

/** A whole command line. */
struct CliOptions {
    std::string server; ///< Address of the callers' service.
    std::string operatorServer; ///< Address of the operators' service.
    std::string secret; ///< Bearer token; empty for none.
    OutputFormat output = OutputFormat::Text; ///< How results are printed.
    std::uint32_t retries = 5; ///< Further tries after a lost connection.
    Command command; ///< What to do at a server.
    std::optional<TimelineCommand> timeline; ///< What to do instead, without a server.
};

/**
 * Read a command line and the environment.
 * @param arguments Program name and arguments.
 * @param out Where help goes.
 * @param err Where errors go.
 * @return The options, or the exit code if there is nothing more to do.
 */
std::variant<CliOptions, ExitCode> parseOptions(std::span<const char *const> arguments, std::ostream &out, std::ostream &err);

} // namespace Tanagertally
