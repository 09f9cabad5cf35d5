/** Reading JSON from callers: strict, bounded, with the place of every error, and with parts kept as raw text. */
#pragma once

#include "blackboard/job_type.h"
#include "core/result_type.h"

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace Tanagertally {

/** A document whose `tasks[i].payload` are kept as text, each replaced by its index in `payloads`. */
struct JsonInput {
    nlohmann::json document; ///< The document.
    std::vector<Payload> payloads; ///< JSON text of the payloads, with numbers and the order of members as they were sent.
};

/**
 * Parse a document.
 * @param text JSON text.
 * @return The document, or BadInput whose field is "line L, column C" for malformed text, or the JSON path of a field that is
 * given twice or nested too deeply.
 * Thread safety: any thread.
 */
Result<JsonInput> parseJsonInput(std::string_view text);

/** Fields that an object may have, and where it stands in its document. */
struct JsonObjectRule {
    std::string path; ///< JSON path of the object; empty for the document itself.
    std::vector<std::string_view> fields; ///< Names of all fields that it may have.
};

/** @return Nothing, or BadInput if a value isn't an object or has a field that the rule doesn't name. */
Result<void> checkObject(const nlohmann::json &value, const JsonObjectRule &rule);

/** Range of an integer. */
struct IntegerRange {
    std::int64_t lowest = 0; ///< Smallest value allowed.
    std::int64_t highest = 0; ///< Largest value allowed.
};

/** @return An integer in a range, or BadInput that names the path and the range. */
Result<std::int64_t> readInteger(const nlohmann::json &value, const std::string &path, const IntegerRange &range);

/** @return A text, or BadInput that names the path. */
Result<std::string> readText(const nlohmann::json &value, const std::string &path);

/** @return A truth value, or BadInput that names the path. */
Result<bool> readFlag(const nlohmann::json &value, const std::string &path);

/** @return The path of a field of the object at `path`. */
std::string fieldPath(const std::string &path, std::string_view field);

} // namespace Tanagertally
