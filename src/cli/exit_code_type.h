/** Exit codes of the command-line tool. */
#pragma once

namespace Tanagertally {

/** How a command ended, for scripts. */
enum class ExitCode {
    Done = 0, ///< Done; a job is complete or was accepted.
    JobFailed = 1, ///< The job's answer is failed.
    BadInput = 2, ///< Wrong usage, or input that was refused as malformed.
    Refused = 3, ///< Refused; nothing has run.
    MayHaveRun = 4, ///< No answer, or a refusal that doesn't exclude that something has run.
    Unreachable = 5, ///< The server can't be reached; nothing was sent.
};

} // namespace Tanagertally
