/** Strict JSON parsing of requests, with the position or path of every error, and with task payloads preserved as text. */
#pragma once

#include "blackboard/job_type.h"
#include "core/result_type.h"

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace Tanagertally {

/** A parsed document. Each `tasks[i].payload` is stored as text, and replaced in the document by its index in `payloads`. */
struct JsonInput {
    nlohmann::json document; ///< The document without its payloads.
    std::vector<Payload> payloads; ///< JSON text of the payloads, with the spelling of numbers and the order of members preserved.
};

/**
 * Parses a document.
 * @param text JSON text.
 * @return The document, or BadInput. The error's field is "line L, column C" for malformed text, or the JSON path of a field
 * that is duplicated or nested too deeply.
 * Thread safety: any thread.
 */
Result<JsonInput> parseJsonInput(std::string_view text);

/** Fields that an object may have, and its path for errors. */
struct JsonObjectSchema {
    std::string path; ///< JSON path of the object; empty for the document itself.
    std::vector<std::string_view> fields; ///< Names of all fields that it may have.
};

/** @return Success, or BadInput if the value isn't an object or has a field that the schema doesn't list. */
Result<void> checkObject(const nlohmann::json &value, const JsonObjectSchema &schema);

/** Inclusive range of an integer. */
struct IntegerRange {
    std::int64_t lowest = 0; ///< Smallest value allowed.
    std::int64_t highest = 0; ///< Largest value allowed.
};

/** @return The value as an integer within the range, or BadInput with the path and the range. */
Result<std::int64_t> readInteger(const nlohmann::json &value, const std::string &path, const IntegerRange &range);

/** @return The value as a string, or BadInput with the path. */
Result<std::string> readString(const nlohmann::json &value, const std::string &path);

/** @return The value as a boolean, or BadInput with the path. */
Result<bool> readBool(const nlohmann::json &value, const std::string &path);

/** @return The JSON path of a field of the object at `path`. */
std::string fieldPath(const std::string &path, std::string_view field);

} // namespace Tanagertally
