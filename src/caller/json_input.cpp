#include "caller/json_input.h"

#include <algorithm>
#include <optional>

namespace Tanagertally {

namespace {

using Json = nlohmann::json;

constexpr std::size_t MaxDepth = 100; ///< Deepest nesting of arrays and objects.

/** An array or object that is being read. */
struct Frame {
    Json *value = nullptr; ///< Where it is built; null inside a payload.
    bool isArray = false; ///< Whether it is an array.
    std::string key; ///< Key of the member read last.
    std::size_t count = 0; ///< Members read so far.
};

/** Builds a JsonInput from the parser's events. The names of its methods are those of nlohmann's SAX interface. */
// NOLINTBEGIN(readability-identifier-naming)
class InputBuilder
{
public:
    JsonInput input; ///< What was read so far.
    std::optional<Error> failure; ///< Set once reading has failed.
    std::size_t failedAt = 0; ///< Position of a syntax error, counted from 1; 0 if it was another error.

    bool null()
    {
        return this->scalar(nullptr, "null");
    }
    bool boolean(bool value)
    {
        return this->scalar(value, value ? "true" : "false");
    }
    bool number_integer(Json::number_integer_t value)
    {
        return this->scalar(value, std::to_string(value));
    }
    bool number_unsigned(Json::number_unsigned_t value)
    {
        return this->scalar(value, std::to_string(value));
    }
    bool number_float(Json::number_float_t value, const Json::string_t &text)
    {
        return this->scalar(value, text);
    }
    bool string(Json::string_t &value)
    {
        if (this->isInPayload() || this->startsPayload()) {
            return this->scalar(nullptr, Json(value).dump());
        }
        return this->scalar(std::move(value), {});
    }
    bool binary(Json::binary_t & /*value*/)
    {
        return false;
    }
    bool start_object(std::size_t /*elements*/)
    {
        return this->start(false);
    }
    bool start_array(std::size_t /*elements*/)
    {
        return this->start(true);
    }
    bool end_object()
    {
        return this->end('}');
    }
    bool end_array()
    {
        return this->end(']');
    }
    bool key(Json::string_t &name);
    bool parse_error(std::size_t position, const std::string & /*token*/, const nlohmann::detail::exception &error);

private:
    bool scalar(Json value, std::string_view text);
    bool start(bool isArray);
    bool end(char closing);
    bool startsPayload() const;
    bool isInPayload() const
    {
        return !this->frames.empty() && !this->frames.back().value;
    }
    Json *place(Json value);
    void writeSeparator();
    void finishPayload();
    std::string path() const;

    std::vector<Frame> frames; ///< Arrays and objects that are open, outermost first.
    std::string payload; ///< Text of the payload that is being read.
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
    this->failedAt = std::max<std::size_t>(position, 1);
    this->failure = makeError(ErrorCode::BadInput, std::string(message));
    return false;
}

bool InputBuilder::scalar(Json value, std::string_view text)
{
    if (this->isInPayload()) {
        this->writeSeparator();
        this->payload += text;
        return true;
    }
    if (this->startsPayload()) {
        this->payload = text;
        this->finishPayload();
        return true;
    }
    this->place(std::move(value));
    return true;
}

bool InputBuilder::start(bool isArray)
{
    if (this->frames.size() >= MaxDepth) {
        this->failure = makeError(ErrorCode::BadInput, "nested more than " + std::to_string(MaxDepth) + " levels deep", this->path());
        return false;
    }
    const bool isText = this->isInPayload() || this->startsPayload();
    if (!isText) {
        Json *built = this->place(isArray ? Json::array() : Json::object());
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

bool InputBuilder::end(char closing)
{
    const bool wasText = this->isInPayload();
    this->frames.pop_back();
    if (!wasText) {
        return true;
    }
    this->payload += closing;
    if (!this->isInPayload()) {
        this->finishPayload();
    }
    return true;
}

/** @return Whether the value that comes next is a payload: the member "payload" of an object in the document's "tasks". */
bool InputBuilder::startsPayload() const
{
    if (this->frames.size() != 3 || this->isInPayload()) {
        return false;
    }
    const bool isInTasks = !this->frames[0].isArray && this->frames[0].key == "tasks" && this->frames[1].isArray;
    return isInTasks && !this->frames[2].isArray && this->frames[2].key == "payload";
}

/** Put a value into the innermost open array or object. @return Where it stands. */
Json *InputBuilder::place(Json value)
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

/** Inside a payload, write the comma before a member. The value after a key has none. */
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

void InputBuilder::finishPayload()
{
    const std::size_t index = this->input.payloads.size();
    this->input.payloads.push_back(std::make_shared<const std::string>(std::move(this->payload)));
    this->payload.clear();
    this->place(index);
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

/** @return "line L, column C" of a position in a text, counted from 1. */
std::string linePosition(std::string_view text, std::size_t position)
{
    const std::string_view before = text.substr(0, std::min(position - 1, text.size()));
    const auto line = 1 + std::count(before.begin(), before.end(), '\n');
    const std::size_t lineStart = before.rfind('\n');
    const std::size_t column = lineStart == std::string_view::npos ? before.size() + 1 : before.size() - lineStart;
    return "line " + std::to_string(line) + ", column " + std::to_string(column);
}

Error expected(std::string what, const std::string &path, const Json &value)
{
    return makeError(ErrorCode::BadInput, "expected " + std::move(what) + ", got " + value.type_name(), path);
}

} // namespace

Result<JsonInput> parseJsonInput(std::string_view text)
{
    InputBuilder builder;
    const bool isRead = Json::sax_parse(text, &builder);
    if (isRead && !builder.failure) {
        return std::move(builder.input);
    }
    Error error = builder.failure.value_or(makeError(ErrorCode::BadInput, "not JSON"));
    if (builder.failedAt != 0) {
        error.field = linePosition(text, builder.failedAt);
    }
    return error;
}

Result<void> checkObject(const Json &value, const JsonObjectRule &rule)
{
    if (!value.is_object()) {
        return expected("an object", rule.path, value);
    }
    for (const auto &[name, member] : value.items()) {
        const bool isKnown = std::find(rule.fields.begin(), rule.fields.end(), name) != rule.fields.end();
        if (isKnown) {
            continue;
        }
        std::string known;
        for (const std::string_view field : rule.fields) {
            known += known.empty() ? "" : ", ";
            known += field;
        }
        return makeError(ErrorCode::BadInput, "unknown field; the fields here are " + known, fieldPath(rule.path, name));
    }
    return boost::outcome_v2::success();
}

Result<std::int64_t> readInteger(const Json &value, const std::string &path, const IntegerRange &range)
{
    const std::string what = "an integer from " + std::to_string(range.lowest) + " to " + std::to_string(range.highest);
    if (!value.is_number_integer()) {
        return expected(what, path, value);
    }
    const bool isHuge = value.is_number_unsigned() && value.get<std::uint64_t>() > static_cast<std::uint64_t>(range.highest);
    const std::int64_t number = value.get<std::int64_t>();
    if (isHuge || number < range.lowest || number > range.highest) {
        return makeError(ErrorCode::BadInput, "expected " + what + ", got " + value.dump(), path);
    }
    return number;
}

Result<std::string> readText(const Json &value, const std::string &path)
{
    if (!value.is_string()) {
        return expected("a string", path, value);
    }
    return value.get<std::string>();
}

Result<bool> readFlag(const Json &value, const std::string &path)
{
    if (!value.is_boolean()) {
        return expected("true or false", path, value);
    }
    return value.get<bool>();
}

std::string fieldPath(const std::string &path, std::string_view field)
{
    return path.empty() ? std::string(field) : path + "." + std::string(field);
}

} // namespace Tanagertally
