/** A session script: options, then timed requests and faults, one a line. */
#pragma once

#include "core/result_type.h"
#include "core/time_type.h"
#include "session/session_type.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Tanagertally {

/** One word of a line, split at its first '='. */
struct ScriptWord {
    std::string name; ///< The word, or what stands before '='.
    std::string value; ///< What stands after '='; empty if there is none.
};

/** A timed line. */
struct ScriptStep {
    Duration at{}; ///< When, since the start of the session.
    std::string text; ///< The command as written, for the transcript.
    std::vector<ScriptWord> words; ///< Its words; the first is the command.
    std::string place; ///< file:line, for errors.
};

/** A whole script. */
struct Script {
    SessionOptions options; ///< What the session is made of.
    std::map<std::string, Duration> runTimes; ///< Run time by kind.
    std::vector<ScriptStep> steps; ///< Timed lines, in the order of the file.
    Duration end{}; ///< When the session ends.
};

/**
 * Read a script.
 * @param name Name of the file, for errors.
 * @param text Its content.
 * @return The script, or an error whose field is file:line.
 */
Result<Script> parseScript(std::string_view name, std::string_view text);

} // namespace Tanagertally
