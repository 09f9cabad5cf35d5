/** Runs a session script and writes its transcript. */
#pragma once

#include "golden/script_type.h"
#include "session/session.h"

#include <functional>

namespace Tanagertally {

/**
 * Runs one script on a session.
 *
 * The transcript has one line for each thing that happens, in order. Left out are: what happens before the first command
 * (the start of the instances); the line with which the session repeats a command that the transcript already shows; reads,
 * heartbeats and probes, which the session does not report. An issued key is shown under the name that the script gave it.
 * Thread safety: none.
 */
class ScriptRunner
{
public:
    /** Set up a run. @param script The script. */
    explicit ScriptRunner(const Script &script);

    /**
     * Run the script to its end.
     * @return The transcript, or an error whose field is the file:line of a malformed command.
     */
    Result<std::string> run();

private:
    using Command = std::function<std::optional<Error>(const ScriptStep &)>; ///< Carries out one command.

    std::map<std::string, Command> makeCommands();
    std::map<std::string, Command> makeFaults();
    void execute(const ScriptStep &step);
    void write(TimePoint at, std::string line);
    void writeSummary();
    std::optional<Error> submit(const ScriptStep &step);
    std::optional<Error> ask(const ScriptStep &step);
    std::optional<Error> requestKeys(const ScriptStep &step);
    std::optional<Error> cut(const ScriptStep &step, bool cut);
    std::optional<Error> setEndpoint(const ScriptStep &step);
    std::optional<Error> setPlatform(const ScriptStep &step);
    std::optional<Error> operate(const ScriptStep &step);
    std::optional<Error> withInstance(const ScriptStep &step, const std::function<void(std::uint32_t)> &what);
    std::optional<Error> withWorker(const ScriptStep &step, const std::function<void(std::uint32_t)> &what);
    JobKey keyNamed(const std::string &name) const;

    const Script &script; ///< The script.
    Session session; ///< The session.
    std::map<std::string, Command> commands; ///< What each command does.
    std::map<std::string, std::size_t> keyCalls; ///< Call that asked for each named issued key.
    std::vector<std::size_t> callNumbers; ///< Calls that the script made.
    std::optional<Error> error; ///< First error in a command.
    std::string transcript; ///< Lines so far.
    bool begun = false; ///< Whether a command was carried out.
    bool echoes = false; ///< Whether the session's next line repeats a command.
};

} // namespace Tanagertally
