/** The commands of callers and operators, as calls to a server. */
#pragma once

#include "cli/http_client.h"
#include "cli/options.h"
#include "cli/printer.h"

#include <iosfwd>
#include <optional>
#include <string>

namespace Tanagertally {

/** What is known of earlier submissions under a key, for a refusal that doesn't say. */
struct KeyHistory {
    bool isNewlyIssued = false; ///< Whether the key was issued to this run, so that nobody else has used it.
    bool mayHaveArrived = false; ///< Whether a submission of this run got no reply and may have been delivered.
};

/**
 * Runs one command against a server.
 * Thread safety: none.
 */
class CommandRunner
{
public:
    /** Make a runner. Its arguments have to outlive it. */
    CommandRunner(const CliOptions &cliOptions, const ServerAddress &serverAddress, std::istream &standardInput, Printer &resultPrinter);

    /** Submit a job, again under the same key after a lost connection. */
    ExitCode run(const SubmitCommand &command);

    /** Fetch a job's answer or state. */
    ExitCode run(const FetchCommand &command);

    /** Cancel a job. */
    ExitCode run(const CancelCommand &command);

    /** Have keys issued. */
    ExitCode run(const KeysCommand &command);

    /** Send a text of the operators' language. */
    ExitCode run(const OperatorCommand &command);

    /** Ask whether the server is ready. */
    ExitCode run(const StatusCommand &command);

private:
    /** How a call ended, with its document. */
    struct CallResult {
        std::optional<HttpAnswer> answer; ///< The reply; unset if none came.
        Document document; ///< Its body.
        bool mayHaveArrived = false; ///< Whether some try got no reply and may have been delivered.
        bool timedOut = false; ///< Whether the last try got no reply within its timeout.
        std::string message; ///< Why no reply came.
    };

    CallResult callOnce(const HttpCall &call) const;
    CallResult callWithRetries(const HttpCall &call, const std::string &retryNote);
    HttpCall makeCall(std::string method, std::string target, std::string body, Duration timeout) const;
    std::optional<std::string> readInput(const std::string &file);
    std::optional<ExitCode> issueKey(std::string &key);
    ExitCode waitForAnswer(const std::string &key);
    ExitCode reportSideEffectFreeCall(CallResult result);
    ExitCode reportResult(const CallResult &result, const KeyHistory &history);
    ExitCode reportError(const CallResult &result, const KeyHistory &history);
    ExitCode reportFailure(const CallResult &result);

    const CliOptions &options; ///< The command line.
    const ServerAddress &server; ///< Server to call.
    std::istream &input; ///< Standard input.
    Printer &printer; ///< Prints results.
};

} // namespace Tanagertally
