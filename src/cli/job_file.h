/** Job files: the body of a submission, written as JSON or YAML. */
#pragma once

#include "core/result_type.h"
#include "core/time_type.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace Tanagertally {

/** What the command line says about a job besides its file. */
struct JobOverrides {
    bool later = false; ///< Submit for later, whatever the file says.
    std::optional<Duration> timeout; ///< Timeout, whatever the file says.
};

/** A job file as it was read. */
struct JobFile {
    std::string json; ///< Body of the submission.
    std::string key; ///< Key in the file; empty if it has none.
    bool later = false; ///< Whether the job is submitted for later.
    Duration timeout{}; ///< The job's timeout; zero if none is given.
    std::size_t tasks = 0; ///< Number of its tasks.
};

/**
 * Read a job file. JSON is passed on as it stands. In YAML a plain scalar that reads as null, a truth value or a JSON number
 * is one, and anything else is a string.
 * @param text Content of the file.
 * @param overrides What the command line says.
 * @return The job, or BadInput with the place. Thread safety: any thread.
 */
Result<JobFile> readJobFile(std::string_view text, const JobOverrides &overrides);

/** @return YAML as JSON text, or BadInput with line and column. Thread safety: any thread. */
Result<std::string> yamlToJson(std::string_view text);

} // namespace Tanagertally
