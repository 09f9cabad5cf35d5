#include "json_reader.h"

#include "duration_func.h"

namespace Tanagertally::Standins {

Result<JsonReader> JsonReader::create(std::string_view text)
{
    nlohmann::json parsed = nlohmann::json::parse(text, nullptr, false);
    if (!parsed.is_object()) {
        return makeError(ErrorCode::BadInput, "the body is no JSON object", "body");
    }
    return JsonReader(std::move(parsed));
}

JsonReader::JsonReader(nlohmann::json object)
    : value(std::move(object))
{
    if (!this->value.is_object()) {
        this->error = makeError(ErrorCode::BadInput, "expected an object", "body");
        this->value = nlohmann::json::object();
    }
}

const nlohmann::json *JsonReader::find(std::string_view name)
{
    this->known.emplace(name);
    const auto found = this->value.find(std::string(name));
    return found == this->value.end() ? nullptr : &*found;
}

void JsonReader::fail(std::string_view name, std::string_view expected)
{
    if (!this->error) {
        this->error = makeError(ErrorCode::BadInput, std::string(name) + ": expected " + std::string(expected), std::string(name));
    }
}

std::string JsonReader::text(std::string_view name)
{
    std::optional<std::string> found = this->optionalText(name);
    if (!found || found->empty()) {
        this->fail(name, "a text that is not empty");
        return {};
    }
    return std::move(*found);
}

std::optional<std::string> JsonReader::optionalText(std::string_view name)
{
    const nlohmann::json *field = this->find(name);
    if (field == nullptr) {
        return std::nullopt;
    }
    if (!field->is_string()) {
        this->fail(name, "a text");
        return std::nullopt;
    }
    return field->get<std::string>();
}

std::vector<std::string> JsonReader::texts(std::string_view name)
{
    std::vector<std::string> found;
    const nlohmann::json *field = this->find(name);
    if (field == nullptr) {
        return found;
    }
    if (!field->is_array()) {
        this->fail(name, "a list of texts");
        return found;
    }
    for (const nlohmann::json &entry : *field) {
        if (!entry.is_string()) {
            this->fail(name, "a list of texts");
            return {};
        }
        found.push_back(entry.get<std::string>());
    }
    return found;
}

std::optional<bool> JsonReader::flag(std::string_view name)
{
    const nlohmann::json *field = this->find(name);
    if (field == nullptr) {
        return std::nullopt;
    }
    if (!field->is_boolean()) {
        this->fail(name, "true or false");
        return std::nullopt;
    }
    return field->get<bool>();
}

std::optional<double> JsonReader::number(std::string_view name, double least, double most)
{
    const nlohmann::json *field = this->find(name);
    if (field == nullptr) {
        return std::nullopt;
    }
    if (!field->is_number() || field->get<double>() < least || field->get<double>() > most) {
        this->fail(name, "a number from " + std::to_string(least) + " to " + std::to_string(most));
        return std::nullopt;
    }
    return field->get<double>();
}

std::optional<std::uint64_t> JsonReader::count(std::string_view name)
{
    const nlohmann::json *field = this->find(name);
    if (field == nullptr) {
        return std::nullopt;
    }
    if (!field->is_number_unsigned()) {
        this->fail(name, "a whole number from 0");
        return std::nullopt;
    }
    return field->get<std::uint64_t>();
}

std::optional<Duration> JsonReader::duration(std::string_view name)
{
    const std::optional<std::string> text = this->optionalText(name);
    if (!text) {
        return std::nullopt;
    }
    const Result<Duration> duration = parseDuration(*text);
    if (!duration) {
        this->fail(name, "a duration such as \"50ms\"");
        return std::nullopt;
    }
    return duration.value();
}

std::vector<JsonReader> JsonReader::objects(std::string_view name)
{
    std::vector<JsonReader> readers;
    const nlohmann::json *field = this->find(name);
    if (field == nullptr) {
        return readers;
    }
    if (!field->is_array()) {
        this->fail(name, "a list of objects");
        return readers;
    }
    for (const nlohmann::json &entry : *field) {
        readers.emplace_back(entry);
    }
    return readers;
}

std::optional<std::optional<std::string>> JsonReader::nullableText(std::string_view name)
{
    const nlohmann::json *field = this->find(name);
    if (field == nullptr) {
        return std::nullopt;
    }
    if (field->is_null()) {
        return std::optional<std::string>();
    }
    return this->optionalText(name);
}

Result<void> JsonReader::finish() const
{
    if (this->error) {
        return *this->error;
    }
    for (const auto &[name, field] : this->value.items()) {
        if (!this->known.contains(name)) {
            return makeError(ErrorCode::BadInput, "unknown field: " + name, name);
        }
    }
    return boost::outcome_v2::success();
}

} // namespace Tanagertally::Standins
