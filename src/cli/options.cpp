#include "cli/options.h"

#include <CLI/CLI.hpp>

#include <fstream>

namespace Tanagertally {

namespace {

constexpr const char *DefaultServer = "127.0.0.1:8001";
constexpr const char *DefaultOperatorServer = "127.0.0.1:8002";
constexpr std::uint32_t MaxRetries = 100; ///< Upper limit of --retries.
constexpr std::uint32_t MaxKeys = 1000; ///< Upper limit of --count; the server issues no more in one call.

constexpr const char *Footer = "Exit codes: 0 done, 1 the job failed, 2 usage or malformed input, 3 refused and not run, "
                               "4 may have run, 5 the server can't be reached.";

/** Variables that the parser writes to. */
struct RawOptions {
    CliOptions options; ///< Options common to all commands.
    std::string teamKeyFile; ///< File with the team's secret.
    std::string operatorKeyFile; ///< File with the operator's secret.
    std::string output = "text"; ///< "text" or "json".
    std::uint64_t timeoutMs = 0; ///< Timeout of a job; 0 if none was given.
    SubmitCommand submit; ///< Options of `submit`.
    FetchCommand fetch; ///< Options of `fetch`.
    CancelCommand cancel; ///< Options of `cancel`.
    KeysCommand keys; ///< Options of `keys`.
    OperatorCommand ask; ///< Options of `ask`.
    OperatorCommand command; ///< Options of `command`.
    TimelineCommand timeline; ///< Options of `timeline`.
};

void addCommonOptions(CLI::App &app, RawOptions &raw)
{
    raw.options.server = DefaultServer;
    raw.options.operatorServer = DefaultOperatorServer;
    app.add_option("--server", raw.options.server, "Address of the callers' service, IP:port")->envname("TANAGERTALLY_SERVER");
    app.add_option("--operator-server", raw.options.operatorServer, "Address of the operators' service, IP:port")
        ->envname("TANAGERTALLY_OPERATOR_SERVER");
    app.add_option("--team-key-file", raw.teamKeyFile, "File with the team's secret; without it, TANAGERTALLY_TEAM_KEY holds the secret");
    app.add_option("--operator-key-file", raw.operatorKeyFile,
                   "File with the operator's secret; without it, TANAGERTALLY_OPERATOR_KEY holds the secret");
    app.add_option("--output", raw.output, "Output format: text or json")->check(CLI::IsMember({"text", "json"}));
    app.add_option("--retries", raw.options.retries, "Maximum number of retries after a lost connection")
        ->check(CLI::Range(0U, MaxRetries));
    app.footer(Footer);
    app.fallthrough();
    app.require_subcommand(1);
}

void addCallerCommands(CLI::App &app, RawOptions &raw)
{
    const std::map<std::string, std::uint64_t> units = {{"ms", 1}, {"s", 1000}, {"m", 60'000}, {"h", 3'600'000}};
    CLI::App *submit = app.add_subcommand("submit", "Submit a job and print its answer");
    submit->add_option("FILE", raw.submit.file, "Job file in JSON or YAML; - for standard input")->required();
    submit->add_option("--key", raw.submit.key, "Key to submit the job under; the server issues one if it is not given");
    submit->add_flag("--later", raw.submit.later, "Return once the job is accepted for later, and print its key");
    submit->add_flag("--wait", raw.submit.wait, "With --later, wait for the answer once the job is accepted");
    submit->add_option("--timeout", raw.timeoutMs, "Timeout of the job, in ms or with a unit: ms, s, m, h")
        ->transform(CLI::AsNumberWithUnit(units))
        ->check(CLI::PositiveNumber);
    CLI::App *fetch = app.add_subcommand("fetch", "Print a job's answer or state");
    fetch->add_option("KEY", raw.fetch.key, "Key of the job")->required();
    fetch->add_flag("--wait", raw.fetch.wait, "Wait for the answer");
    CLI::App *cancel = app.add_subcommand("cancel", "Cancel a job");
    cancel->add_option("KEY", raw.cancel.key, "Key of the job")->required();
    CLI::App *keys = app.add_subcommand("keys", "Request new job keys");
    keys->add_option("--count", raw.keys.count, "Number of keys")->check(CLI::Range(1U, MaxKeys));
    app.add_subcommand("status", "Print whether the server is ready");
}

void addOperatorCommands(CLI::App &app, RawOptions &raw)
{
    CLI::App *ask = app.add_subcommand("ask", "Run a query of the operators' language");
    ask->add_option("TEXT", raw.ask.text, "The query")->required();
    CLI::App *command = app.add_subcommand("command", "Run a command of the operators' language");
    command->add_option("TEXT", raw.command.text, "The command")->required();
    command->add_flag("--dry-run", raw.command.dryRun, "Check the command only, without executing it");
    raw.ask.isQuery = true;
    CLI::App *timeline = app.add_subcommand("timeline", "Print the timeline of a job from the logs of instances on the users' platform");
    timeline->add_option("JOB", raw.timeline.job, "Job id, as in the field job of log lines")->required();
    timeline->add_option("FILE", raw.timeline.files, "Log files, one for each instance")->required();
}

/** @return The parsed subcommand. */
Command selectedCommand(const CLI::App &app, RawOptions &raw)
{
    if (app.got_subcommand("submit")) {
        if (raw.timeoutMs > 0) {
            raw.submit.timeout = std::chrono::milliseconds(raw.timeoutMs);
        }
        return raw.submit;
    }
    if (app.got_subcommand("fetch")) {
        return raw.fetch;
    }
    if (app.got_subcommand("cancel")) {
        return raw.cancel;
    }
    if (app.got_subcommand("keys")) {
        return raw.keys;
    }
    if (app.got_subcommand("ask")) {
        return raw.ask;
    }
    if (app.got_subcommand("command")) {
        return raw.command;
    }
    return StatusCommand();
}

/** Reads a secret from the first line of a file or, if no file is given, from the environment. @return Unset if the file can't be read. */
std::optional<std::string> readSecret(const std::string &file, const char *variable)
{
    if (file.empty()) {
        const char *value = std::getenv(variable);
        return std::string(value ? value : "");
    }
    std::ifstream stream(file);
    std::string secret;
    if (!stream || !std::getline(stream, secret)) {
        return std::nullopt;
    }
    while (!secret.empty() && (secret.back() == '\r' || secret.back() == ' ')) {
        secret.pop_back();
    }
    return secret;
}

} // namespace

std::variant<CliOptions, ExitCode> parseOptions(std::span<const char *const> arguments, std::ostream &out, std::ostream &err)
{
    CLI::App app("Submits jobs to tanagertally, and runs queries and commands of operators.", "tanagertally");
    RawOptions raw;
    addCommonOptions(app, raw);
    addCallerCommands(app, raw);
    addOperatorCommands(app, raw);
    try {
        app.parse(static_cast<int>(arguments.size()), arguments.data());
    } catch (const CLI::ParseError &error) {
        const bool isHelp = app.exit(error, out, err) == 0;
        return isHelp ? ExitCode::Done : ExitCode::BadInput;
    }
    raw.options.output = raw.output == "json" ? OutputFormat::Json : OutputFormat::Text;
    if (app.got_subcommand("timeline")) {
        raw.options.timeline = raw.timeline;
        return raw.options;
    }
    raw.options.command = selectedCommand(app, raw);
    const bool isOperator = std::holds_alternative<OperatorCommand>(raw.options.command);
    const std::string &file = isOperator ? raw.operatorKeyFile : raw.teamKeyFile;
    std::optional<std::string> secret = readSecret(file, isOperator ? "TANAGERTALLY_OPERATOR_KEY" : "TANAGERTALLY_TEAM_KEY");
    if (!secret) {
        err << "can't read a secret from " << file << "\n";
        return ExitCode::BadInput;
    }
    raw.options.secret = std::move(*secret);
    return raw.options;
}

} // namespace Tanagertally
