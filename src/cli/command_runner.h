/** Runs the commands of callers and operators as HTTP calls to a server. */
#pragma once

#include "cli/http_client.h"
#include "cli/options.h"
#include "cli/printer.h"

#include <iosfwd>
#include <optional>
#include <string>

namespace Tanagertally {

/** Earlier use of a job key; decides the exit code for a refusal that carries no verdict. */
struct KeyHistory {
    bool isNewlyIssued = false; ///< The key was issued to this invocation, so that no other caller has used it.
    bool mayHaveArrived = false; ///< An earlier try of this invocation got no reply and may have been delivered.
};

/**
 * Runs one command against a server.
 * Thread safety: none.
 */
class CommandRunner
{
public:
    /** Creates a runner. All arguments have to outlive it. */
    CommandRunner(const CliOptions &cliOptions, const ServerAddress &serverAddress, std::istream &standardInput, Printer &resultPrinter);

    /** Submits a job; resubmits it under the same key after a lost connection. */
    ExitCode run(const SubmitCommand &command);

    /** Fetches the answer or state of a job. */
    ExitCode run(const FetchCommand &command);

    /** Cancels a job. */
    ExitCode run(const CancelCommand &command);

    /** Requests new job keys. */
    ExitCode run(const KeysCommand &command);

    /** Sends a query or command in the operators' language. */
    ExitCode run(const OperatorCommand &command);

    /** Queries the readiness of the server. */
    ExitCode run(const StatusCommand &command);

private:
    /** Result of a call, over all its tries. */
    struct CallResult {
        std::optional<HttpAnswer> answer; ///< The reply; unset if the last try got none.
        Document document; ///< Parsed body of the reply.
        bool mayHaveArrived = false; ///< A try got no valid reply and may have been delivered.
        bool timedOut = false; ///< The last try got no reply within its timeout.
        std::string message; ///< Why there is no reply; empty if there is one.
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

    const CliOptions &options; ///< Parsed command line.
    const ServerAddress &server;
    std::istream &input; ///< Standard input, for a job file named "-".
    Printer &printer;
};

} // namespace Tanagertally
