/** Exit codes of the command-line tool. */
#pragma once

namespace Tanagertally {

/** Exit code of the process, for use by scripts. */
enum class ExitCode {
    Done = 0, ///< The command succeeded; a job is complete or was accepted.
    JobFailed = 1, ///< The job was answered as failed.
    BadInput = 2, ///< Usage error, or input that was rejected as malformed.
    Refused = 3, ///< The request was refused; nothing has run.
    MayHaveRun = 4, ///< No answer, or a refusal that doesn't rule out that something has run.
    Unreachable = 5, ///< The server is unreachable; nothing was sent.
};

} // namespace Tanagertally
