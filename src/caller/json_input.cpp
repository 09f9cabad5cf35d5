#include "caller/json_input.h"

#include <algorithm>
#include <optional>

namespace Tanagertally {

namespace {

using Json = nlohmann::json;

constexpr std::size_t MaxDepth = 100; ///< Largest nesting depth of arrays and objects.

/** An array or object that is being parsed. */
struct Frame {
    Json *value = nullptr; ///< The array or object in the document; null inside a payload.
    bool isArray = false; ///< Whether it is an array; an object otherwise.
    std::string key; ///< Key of the last member.
    std::size_t count = 0; ///< Elements or members parsed so far.
};

/** SAX handler that builds a JsonInput. The snake_case method names are given by nlohmann's SAX interface. */
// NOLINTBEGIN(readability-identifier-naming)
class InputBuilder
{
public:
    JsonInput input; ///< The part parsed so far.
    std::optional<Error> failure; ///< Set once parsing has failed.
    std::size_t errorPosition = 0; ///< Byte position of a syntax error, counted from 1; 0 for any other error.

    bool null()
    {
        return this->onScalar(nullptr, "null");
    }
    bool boolean(bool value)
    {
        return this->onScalar(value, value ? "true" : "false");
    }
    bool number_integer(Json::number_integer_t value)
    {
        return this->onScalar(value, std::to_string(value));
    }
    bool number_unsigned(Json::number_unsigned_t value)
    {
        return this->onScalar(value, std::to_string(value));
    }
    bool number_float(Json::number_float_t value, const Json::string_t &text)
    {
        return this->onScalar(value, text);
    }
    bool string(Json::string_t &value)
    {
        if (this->isInPayload() || this->isPayloadNext()) {
            return this->onScalar(nullptr, Json(value).dump());
        }
        return this->onScalar(std::move(value), {});
    }
    bool binary(Json::binary_t & /*value*/)
    {
        return false;
    }
    bool start_object(std::size_t /*elements*/)
    {
        return this->onContainerStart(false);
    }
    bool start_array(std::size_t /*elements*/)
    {
        return this->onContainerStart(true);
    }
    bool end_object()
    {
        return this->onContainerEnd('}');
    }
    bool end_array()
    {
        return this->onContainerEnd(']');
    }
    bool key(Json::string_t &name);
    bool parse_error(std::size_t position, const std::string & /*token*/, const nlohmann::detail::exception &error);

private:
    bool onScalar(Json value, std::string_view text);
    bool onContainerStart(bool isArray);
    bool onContainerEnd(char closing);
    bool isPayloadNext() const;
    bool isInPayload() const
    {
        return !this->frames.empty() && !this->frames.back().value;
    }
    Json *insertValue(Json value);
    void writeSeparator();
    void storePayload();
    std::string path() const;

    std::vector<Frame> frames; ///< Open arrays and objects, outermost first.
    std::string payload; ///< JSON text of the current payload.
};
// NOLINTEND(readability-identifier-naming)

bool InputBuilder::key(Json::string_t &name)
{
    Frame &frame = this->frames.back();
    frame.key = name;
    if (this->isInPayload()) {
        this->writeSeparator();
        this->payload += Json(name).dump();
        this->payload += ':';
        return true;
    }
    if (frame.value->contains(name)) {
        this->failure = makeError(ErrorCode::BadInput, "this field is given twice", this->path());
        return false;
    }
    return true;
}

bool InputBuilder::parse_error(std::size_t position, const std::string & /*token*/, const nlohmann::detail::exception &error)
{
    std::string_view message = error.what();
    const std::size_t prefix = message.find("] ");
    if (prefix != std::string_view::npos) {
        message.remove_prefix(prefix + 2);
    }
    this->errorPosition = std::max<std::size_t>(position, 1);
    this->failure = makeError(ErrorCode::BadInput, std::string(message));
    return false;
}

bool InputBuilder::onScalar(Json value, std::string_view text)
{
    if (this->isInPayload()) {
        this->writeSeparator();
        this->payload += text;
        return true;
    }
    if (this->isPayloadNext()) {
        this->payload = text;
        this->storePayload();
        return true;
    }
    this->insertValue(std::move(value));
    return true;
}

bool InputBuilder::onContainerStart(bool isArray)
{
    if (this->frames.size() >= MaxDepth) {
        this->failure = makeError(ErrorCode::BadInput, "nested more than " + std::to_string(MaxDepth) + " levels deep", this->path());
        return false;
    }
    const bool isPayloadText = this->isInPayload() || this->isPayloadNext();
    if (!isPayloadText) {
        Json *built = this->insertValue(isArray ? Json::array() : Json::object());
        this->frames.push_back(Frame{built, isArray, {}, 0});
        return true;
    }
    if (this->isInPayload()) {
        this->writeSeparator();
    } else {
        this->payload.clear();
    }
    this->payload += isArray ? '[' : '{';
    this->frames.push_back(Frame{nullptr, isArray, {}, 0});
    return true;
}

bool InputBuilder::onContainerEnd(char closing)
{
    const bool wasPayloadText = this->isInPayload();
    this->frames.pop_back();
    if (!wasPayloadText) {
        return true;
    }
    this->payload += closing;
    if (!this->isInPayload()) {
        this->storePayload();
    }
    return true;
}

/** @return Whether the next value is a payload: the member "payload" of an object in the document's array "tasks". */
bool InputBuilder::isPayloadNext() const
{
    if (this->frames.size() != 3 || this->isInPayload()) {
        return false;
    }
    const bool isInTasks = !this->frames[0].isArray && this->frames[0].key == "tasks" && this->frames[1].isArray;
    return isInTasks && !this->frames[2].isArray && this->frames[2].key == "payload";
}

/** Inserts a value into the innermost open array or object. @return The inserted value. */
Json *InputBuilder::insertValue(Json value)
{
    if (this->frames.empty()) {
        this->input.document = std::move(value);
        return &this->input.document;
    }
    Frame &frame = this->frames.back();
    ++frame.count;
    if (frame.isArray) {
        frame.value->push_back(std::move(value));
        return &frame.value->back();
    }
    Json &member = (*frame.value)[frame.key];
    member = std::move(value);
    return &member;
}

/** Inside a payload, appends the comma between two members or elements. No comma follows a key. */
void InputBuilder::writeSeparator()
{
    Frame &frame = this->frames.back();
    const bool followsKey = !frame.isArray && !this->payload.empty() && this->payload.back() == ':';
    if (followsKey) {
        return;
    }
    if (frame.count > 0) {
        this->payload += ',';
    }
    ++frame.count;
}

void InputBuilder::storePayload()
{
    const std::size_t index = this->input.payloads.size();
    this->input.payloads.push_back(std::make_shared<const std::string>(std::move(this->payload)));
    this->payload.clear();
    this->insertValue(index);
}

std::string InputBuilder::path() const
{
    std::string text;
    for (const Frame &frame : this->frames) {
        if (frame.isArray) {
            const bool isInnermost = &frame == &this->frames.back();
            text += '[' + std::to_string(isInnermost ? frame.count : frame.count - 1) + ']';
        } else {
            text = fieldPath(text, frame.key);
        }
    }
    return text;
}

/** @return "line L, column C" of a byte position in a text; all are counted from 1. */
std::string formatPosition(std::string_view text, std::size_t position)
{
    const std::string_view before = text.substr(0, std::min(position - 1, text.size()));
    const auto line = 1 + std::count(before.begin(), before.end(), '\n');
    const std::size_t lineStart = before.rfind('\n');
    const std::size_t column = lineStart == std::string_view::npos ? before.size() + 1 : before.size() - lineStart;
    return "line " + std::to_string(line) + ", column " + std::to_string(column);
}

Error typeError(std::string expectation, const std::string &path, const Json &value)
{
    return makeError(ErrorCode::BadInput, "expected " + std::move(expectation) + ", got " + value.type_name(), path);
}

} // namespace

Result<JsonInput> parseJsonInput(std::string_view text)
{
    InputBuilder builder;
    const bool isParsed = Json::sax_parse(text, &builder);
    if (isParsed && !builder.failure) {
        return std::move(builder.input);
    }
    Error error = builder.failure.value_or(makeError(ErrorCode::BadInput, "not JSON"));
    if (builder.errorPosition != 0) {
        error.field = formatPosition(text, builder.errorPosition);
    }
    return error;
}

Result<void> checkObject(const Json &value, const JsonObjectSchema &schema)
{
    if (!value.is_object()) {
        return typeError("an object", schema.path, value);
    }
    for (const auto &[name, member] : value.items()) {
        const bool isKnown = std::find(schema.fields.begin(), schema.fields.end(), name) != schema.fields.end();
        if (isKnown) {
            continue;
        }
        std::string known;
        for (const std::string_view field : schema.fields) {
            known += known.empty() ? "" : ", ";
            known += field;
        }
        return makeError(ErrorCode::BadInput, "unknown field; the fields here are " + known, fieldPath(schema.path, name));
    }
    return boost::outcome_v2::success();
}

Result<std::int64_t> readInteger(const Json &value, const std::string &path, const IntegerRange &range)
{
    const std::string expectation = "an integer from " + std::to_string(range.lowest) + " to " + std::to_string(range.highest);
    if (!value.is_number_integer()) {
        return typeError(expectation, path, value);
    }
    const bool isTooLarge = value.is_number_unsigned() && value.get<std::uint64_t>() > static_cast<std::uint64_t>(range.highest);
    const std::int64_t number = value.get<std::int64_t>();
    if (isTooLarge || number < range.lowest || number > range.highest) {
        return makeError(ErrorCode::BadInput, "expected " + expectation + ", got " + value.dump(), path);
    }
    return number;
}

Result<std::string> readString(const Json &value, const std::string &path)
{
    if (!value.is_string()) {
        return typeError("a string", path, value);
    }
    return value.get<std::string>();
}

Result<bool> readBool(const Json &value, const std::string &path)
{
    if (!value.is_boolean()) {
        return typeError("true or false", path, value);
    }
    return value.get<bool>();
}

std::string fieldPath(const std::string &path, std::string_view field)
{
    return path.empty() ? std::string(field) : path + "." + std::string(field);
}

} // namespace Tanagertally
