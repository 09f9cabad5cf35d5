#include "cli/job_file.h"

#include <nlohmann/json.hpp>
#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <set>

namespace Tanagertally {

namespace {

using Json = nlohmann::json;

constexpr std::size_t MaxJsonBytes = 8UL * 1024 * 1024; ///< Maximum length of JSON converted from YAML; aliases can expand a short file.
constexpr std::size_t MaxDepth = 100; ///< Maximum nesting of YAML.

std::string positionText(const YAML::Mark &mark)
{
    return "line " + std::to_string(mark.line + 1) + ", column " + std::to_string(mark.column + 1);
}

Error errorAt(const YAML::Node &node, std::string message)
{
    return makeError(ErrorCode::BadInput, std::move(message), positionText(node.Mark()));
}

/** Converts a YAML tree to JSON text. */
class YamlToJsonWriter
{
public:
    std::string json; ///< JSON text written so far.

    Result<void> write(const YAML::Node &node, std::size_t depth)
    {
        if (depth > MaxDepth || this->json.size() > MaxJsonBytes) {
            return errorAt(node, "nested deeper than 100 levels, or longer than 8 MiB as JSON");
        }
        switch (node.Type()) {
        case YAML::NodeType::Sequence:
            return this->writeSequence(node, depth);
        case YAML::NodeType::Map:
            return this->writeMap(node, depth);
        case YAML::NodeType::Scalar:
            return this->writeScalar(node);
        default:
            this->json += "null";
            return boost::outcome_v2::success();
        }
    }

private:
    Result<void> writeSequence(const YAML::Node &node, std::size_t depth)
    {
        bool isFirst = true;
        this->json += '[';
        for (const auto &member : node) {
            this->json += isFirst ? "" : ",";
            isFirst = false;
            Result<void> written = this->write(member, depth + 1);
            if (written.has_error()) {
                return written;
            }
        }
        this->json += ']';
        return boost::outcome_v2::success();
    }

    Result<void> writeMap(const YAML::Node &node, std::size_t depth)
    {
        std::set<std::string> names;
        this->json += '{';
        for (const auto &member : node) {
            if (!member.first.IsScalar()) {
                return errorAt(member.first, "expected a scalar as key name");
            }
            if (!names.insert(member.first.Scalar()).second) {
                return errorAt(member.first, "\"" + member.first.Scalar() + "\" is given twice");
            }
            this->json += names.size() > 1 ? "," : "";
            Result<void> written = this->writeText(member.first);
            if (written.has_error()) {
                return written;
            }
            this->json += ':';
            written = this->write(member.second, depth + 1);
            if (written.has_error()) {
                return written;
            }
        }
        this->json += '}';
        return boost::outcome_v2::success();
    }

    Result<void> writeScalar(const YAML::Node &node)
    {
        const std::string &text = node.Scalar();
        const bool isQuoted = node.Tag() == "!";
        if (!isQuoted && (text.empty() || text == "~" || text == "null")) {
            this->json += "null";
            return boost::outcome_v2::success();
        }
        const bool isJsonScalar = text.find_first_of("\"[{ \t\r\n") == std::string::npos && Json::accept(text);
        if (!isQuoted && isJsonScalar) {
            this->json += text;
            return boost::outcome_v2::success();
        }
        return this->writeText(node);
    }

    Result<void> writeText(const YAML::Node &node)
    {
        const Json text(node.Scalar());
        std::string dumped = text.dump(-1, ' ', false, Json::error_handler_t::replace);
        if (Json::parse(dumped) != text) {
            return errorAt(node, "expected UTF-8 text");
        }
        this->json += dumped;
        return boost::outcome_v2::success();
    }
};

/** @return Whether a text is parsed as JSON rather than YAML. YAML includes JSON, but a JSON parser preserves numbers and reports errors
 * better. */
bool isJsonText(std::string_view text)
{
    const std::size_t first = text.find_first_not_of(" \t\r\n");
    return first != std::string_view::npos && text[first] == '{';
}

Result<void> checkOverride(const Json &document, std::string_view field, const Json &value)
{
    const auto found = document.find(field);
    if (found == document.end() || *found == value) {
        return boost::outcome_v2::success();
    }
    return makeError(ErrorCode::BadInput, "the file has " + found->dump() + " and the command line " + value.dump(), std::string(field));
}

/** Inserts a field at the start of a JSON object; does nothing if it has the same value already, and fails if it has another. */
Result<void> insertField(std::string &text, const Json &document, std::string_view field, const Json &value)
{
    Result<void> checked = checkOverride(document, field, value);
    if (checked.has_error() || document.contains(field)) {
        return checked;
    }
    const std::string entry = Json(field).dump() + ":" + value.dump() + ",";
    text.insert(text.find('{') + 1, entry);
    return boost::outcome_v2::success();
}

std::int64_t toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

/** Extracts the fields that the client uses; the server validates the others. */
JobFile makeJobFile(std::string text, const Json &document, const JobOverrides &overrides)
{
    JobFile job;
    job.json = std::move(text);
    const auto key = document.find("key");
    const auto mode = document.find("mode");
    const auto timeout = document.find("timeoutMs");
    const auto tasks = document.find("tasks");
    job.key = key != document.end() && key->is_string() ? key->get<std::string>() : std::string();
    job.later = overrides.later || (mode != document.end() && *mode == "later");
    job.tasks = tasks != document.end() && tasks->is_array() ? tasks->size() : 0;
    if (overrides.timeout) {
        job.timeout = *overrides.timeout;
    } else if (timeout != document.end() && timeout->is_number_integer()) {
        job.timeout = std::chrono::milliseconds(std::clamp<std::int64_t>(timeout->get<std::int64_t>(), 0, 86'400'000));
    }
    return job;
}

} // namespace

Result<std::string> yamlToJson(std::string_view text)
{
    try {
        const std::vector<YAML::Node> documents = YAML::LoadAll(std::string(text));
        if (documents.size() != 1) {
            return makeError(ErrorCode::BadInput, "expected one YAML document");
        }
        YamlToJsonWriter writer;
        const Result<void> written = writer.write(documents.front(), 0);
        if (written.has_error()) {
            return written.error();
        }
        return std::move(writer.json);
    } catch (const YAML::Exception &exception) {
        return makeError(ErrorCode::BadInput, exception.msg, positionText(exception.mark));
    }
}

Result<JobFile> readJobFile(std::string_view text, const JobOverrides &overrides)
{
    Result<std::string> converted = isJsonText(text) ? Result<std::string>(std::string(text)) : yamlToJson(text);
    if (converted.has_error()) {
        return converted.error();
    }
    std::string json = std::move(converted.value());
    Json document;
    try {
        document = Json::parse(json);
    } catch (const Json::exception &exception) {
        return makeError(ErrorCode::BadInput, exception.what());
    }
    if (!document.is_object() || document.empty()) {
        return makeError(ErrorCode::BadInput, "expected an object with the field tasks");
    }
    if (overrides.later) {
        const Result<void> inserted = insertField(json, document, "mode", "later");
        if (inserted.has_error()) {
            return inserted.error();
        }
    }
    if (overrides.timeout) {
        const Result<void> inserted = insertField(json, document, "timeoutMs", toMilliseconds(*overrides.timeout));
        if (inserted.has_error()) {
            return inserted.error();
        }
    }
    return makeJobFile(std::move(json), document, overrides);
}

} // namespace Tanagertally
