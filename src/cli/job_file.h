/** Reads job files: the body of a job submission in JSON or YAML. */
#pragma once

#include "core/result_type.h"
#include "core/time_type.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace Tanagertally {

/** Job options of the command line; the file must not contradict them. */
struct JobOverrides {
    bool later = false; ///< Submit with mode "later".
    std::optional<Duration> timeout; ///< Timeout of the job; unset if not given.
};

/** Content of a job file after the overrides were applied. */
struct JobFile {
    std::string json; ///< Body of the submission, as JSON.
    std::string key; ///< Job key given in the file; empty if none.
    bool later = false; ///< The job is submitted with mode "later".
    Duration timeout{}; ///< Timeout of the job; zero if none is given.
    std::size_t tasks = 0; ///< Number of tasks.
};

/**
 * Parses a job file. JSON is sent unchanged except for inserted overrides. In YAML, a plain scalar that is a valid JSON null, boolean
 * or number, and a plain `~` or empty scalar (null), is converted to it; any other scalar is a string.
 * @param text Content of the file.
 * @param overrides Job options of the command line.
 * @return The job, or BadInput if the text is malformed or contradicts the overrides.
 * Thread safety: may be called from any thread.
 */
Result<JobFile> readJobFile(std::string_view text, const JobOverrides &overrides);

/** @return The YAML document as JSON text, or BadInput with line and column. Thread safety: may be called from any thread. */
Result<std::string> yamlToJson(std::string_view text);

} // namespace Tanagertally
