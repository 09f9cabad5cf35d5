#include "daemon/fleet_yaml.h"

#include "blackboard/config_codec.h"

#include <nlohmann/json.hpp>

#include <map>

namespace Tanagertally {

namespace {

using Json = nlohmann::ordered_json;

std::string joinPath(std::string path, std::string_view rest)
{
    if (!path.empty()) {
        path += '.';
    }
    path += rest;
    return path;
}

/** Converts YAML to JSON and records the line number of each path. */
class YamlToJsonConverter
{
public:
    /**
     * Converts a node.
     * @param path Path of the node, such as "kinds[0].name"; empty for the root.
     * @return The value as JSON.
     */
    Json convert(const YAML::Node &node, const std::string &path)
    {
        this->lines.emplace(path, lineOf(node));
        if (node.IsMap()) {
            return this->convertMap(node, path);
        }
        if (node.IsSequence()) {
            return this->convertSequence(node, path);
        }
        return node.IsScalar() ? convertScalar(node) : Json();
    }

    /** @return The line number of a path or, if it has none, of its nearest ancestor that has one. */
    int lineOfPath(std::string path) const
    {
        while (!this->lines.contains(path)) {
            const std::size_t separator = path.find_last_of(".[");
            path = separator == std::string::npos ? std::string() : path.substr(0, separator);
        }
        return this->lines.at(path);
    }

    /** @return Errors for keys that occur more than once in a map. */
    const std::vector<LocatedError> &duplicates() const
    {
        return this->duplicateKeys;
    }

private:
    Json convertMap(const YAML::Node &node, const std::string &path)
    {
        Json object = Json::object();
        for (const auto &entry : node) {
            const std::string name = entry.first.Scalar();
            const std::string memberPath = joinPath(path, name);
            if (object.contains(name)) {
                Error error = makeError(ErrorCode::BadInput, "expected each key once", memberPath);
                this->duplicateKeys.push_back(LocatedError{lineOf(entry.first), std::move(error)});
                continue;
            }
            this->lines.emplace(memberPath, lineOf(entry.first));
            object[name] = this->convert(entry.second, memberPath);
        }
        return object;
    }

    Json convertSequence(const YAML::Node &node, const std::string &path)
    {
        Json array = Json::array();
        for (std::size_t index = 0; index < node.size(); ++index) {
            array.push_back(this->convert(node[index], path + "[" + std::to_string(index) + "]"));
        }
        return array;
    }

    /** A quoted scalar is a string; a plain scalar is a boolean or number if it is valid JSON, else a string. */
    static Json convertScalar(const YAML::Node &node)
    {
        const std::string &text = node.Scalar();
        if (node.Tag() == "!") {
            return text;
        }
        Json value = Json::parse(text, nullptr, false);
        return value.is_boolean() || value.is_number() ? value : Json(text);
    }

    std::map<std::string, int> lines; ///< Line number of each path.
    std::vector<LocatedError> duplicateKeys; ///< Errors for duplicate keys.
};

} // namespace

int lineOf(const YAML::Node &node)
{
    return node.Mark().line + 1;
}

FleetYamlResult fleetConfigFromYaml(const YAML::Node &node, const std::string &key)
{
    YamlToJsonConverter converter;
    const std::string text = converter.convert(node, "").dump();
    std::vector<LocatedError> errors = converter.duplicates();
    for (Error &error : validateFleetConfig(text)) {
        const std::string path = error.field == "$" ? std::string() : error.field;
        errors.push_back(LocatedError{converter.lineOfPath(path), std::move(error)});
    }
    for (LocatedError &found : errors) {
        const std::string &path = found.error.field;
        found.error.field = path == "$" ? key : joinPath(key, path);
    }
    if (!errors.empty()) {
        return errors;
    }
    return fleetConfigFromJson(text).value();
}

} // namespace Tanagertally
