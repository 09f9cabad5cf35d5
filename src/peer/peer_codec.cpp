#include "peer/peer_codec.h"

#include "peer/cbor_document.h"
#include "peer/peer_fields.h"

#include <cmath>
#include <limits>
#include <optional>
#include <utility>

namespace Tanagertally {

namespace {

using Json = nlohmann::json;
using PeerFields::Bounds;
using PeerFields::Presence;

constexpr std::size_t MaxFieldsPerStruct = 8;

/** Encodes the fields of one structure by appending them to a JSON array. */
class FieldWriter
{
public:
    explicit FieldWriter(Json::array_t &array)
        : items(array)
    {
    }

    template<typename T>
    void operator()(std::string_view /*name*/, const T &value)
    {
        this->items.push_back(toJson(value));
    }
    template<typename T>
    void operator()(std::string_view /*name*/, const std::vector<T> &values, Bounds /*bounds*/)
    {
        Json::array_t array;
        array.reserve(values.size());
        for (const T &value : values) {
            array.push_back(toJson(value));
        }
        this->items.emplace_back(std::move(array));
    }
    void operator()(std::string_view /*name*/, const Payload &value, Presence /*presence*/)
    {
        this->items.push_back(value ? Json(*value) : Json(nullptr));
    }

    /** Appends the index of the active alternative and then its fields. */
    template<typename... Ts>
    void writeVariant(const std::variant<Ts...> &value)
    {
        this->items.emplace_back(value.index());
        std::visit([this](const auto &alternative) { PeerFields::visitFields(*this, alternative); }, value);
    }

private:
    Json::array_t &items;

    template<typename T>
    static Json toJson(const T &value)
    {
        if constexpr (std::is_arithmetic_v<T> || std::is_same_v<T, std::string>) {
            return Json(value);
        } else if constexpr (std::is_enum_v<T>) {
            return Json(static_cast<std::uint64_t>(value));
        } else {
            Json::array_t array;
            array.reserve(MaxFieldsPerStruct);
            FieldWriter fields(array);
            PeerFields::visitFields(fields, value);
            return Json(std::move(array));
        }
    }
    template<typename Tag, typename Rep>
    static Json toJson(const StrongInt<Tag, Rep> &value)
    {
        return Json(value.value);
    }
    template<typename Tag>
    static Json toJson(const StrongString<Tag> &value)
    {
        return Json(value.value);
    }
    static Json toJson(const Duration &value)
    {
        return Json(value.count());
    }
    static Json toJson(const std::optional<Duration> &value)
    {
        return value ? Json(value->count()) : Json(nullptr);
    }
    template<typename... Ts>
    static Json toJson(const std::variant<Ts...> &value)
    {
        Json::array_t array;
        array.reserve(MaxFieldsPerStruct);
        FieldWriter(array).writeVariant(value);
        return Json(std::move(array));
    }
};

/** An invalid value and the path to it. */
struct DecodeError {
    std::string path; ///< Path from the message, such as "job.tasks[3].kind".
    std::string message; ///< What was expected, such as "expected a text string".
};

/** Decodes the fields of one structure from a JSON array; after the first error, further fields are skipped. */
class FieldReader
{
public:
    /**
     * @param array Encoded fields; strings are moved out of it.
     * @param firstIndex Index of the first field in the array.
     */
    explicit FieldReader(Json::array_t &array, std::size_t firstIndex = 0)
        : items(array)
        , nextIndex(firstIndex)
    {
    }

    std::optional<DecodeError> firstError; ///< First error; unset if all fields so far were valid.

    template<typename T>
    void operator()(std::string_view name, T &value)
    {
        this->readNext(name, [&](Json &item) { return read(item, value); });
    }
    template<typename T>
    void operator()(std::string_view name, std::vector<T> &values, Bounds bounds)
    {
        this->readNext(name, [&](Json &item) { return readArray(item, values, bounds); });
    }
    void operator()(std::string_view name, Payload &value, Presence presence)
    {
        this->readNext(name, [&](Json &item) { return readPayload(item, value, presence); });
    }

    /** Decodes the index of an alternative and then its fields. */
    template<typename... Ts>
    void readVariant(std::variant<Ts...> &value)
    {
        std::size_t index = 0;
        (*this)("type", index);
        if (!this->firstError && index >= sizeof...(Ts)) {
            this->firstError = DecodeError{"type", "unknown type " + std::to_string(index)};
        }
        if (!this->firstError) {
            this->readAlternative(value, index, std::index_sequence_for<Ts...>());
        }
    }

private:
    using ReadResult = std::optional<DecodeError>; ///< Unset on success.

    Json::array_t &items; ///< Encoded fields.
    std::size_t nextIndex = 0; ///< Index of the next field.

    template<typename Read>
    void readNext(std::string_view name, Read readItem)
    {
        if (this->firstError) {
            return;
        }
        if (this->nextIndex >= this->items.size()) {
            this->firstError = DecodeError{std::string(name), "missing"};
            return;
        }
        this->firstError = readItem(this->items[this->nextIndex++]);
        if (this->firstError) {
            this->firstError->path = joinPath(name, this->firstError->path);
        }
    }

    static std::string joinPath(std::string_view name, const std::string &rest)
    {
        std::string path(name);
        if (!rest.empty() && rest.front() != '[') {
            path += '.';
        }
        return path + rest;
    }

    template<typename... Ts, std::size_t... Indices>
    void readAlternative(std::variant<Ts...> &value, std::size_t index, std::index_sequence<Indices...> /*indices*/)
    {
        const auto readAs = [&]<std::size_t Index>() {
            if (Index == index) {
                PeerFields::visitFields(*this, value.template emplace<Index>());
            }
        };
        (readAs.template operator()<Indices>(), ...);
    }

    static ReadResult expect(bool holds, const char *message)
    {
        return holds ? ReadResult() : ReadResult(DecodeError{{}, message});
    }

    static ReadResult read(Json &item, bool &value)
    {
        if (!item.is_boolean()) {
            return DecodeError{{}, "expected true or false"};
        }
        value = item.get<bool>();
        return {};
    }
    template<std::unsigned_integral T>
    static ReadResult read(Json &item, T &value)
    {
        if (!item.is_number_unsigned()) {
            return DecodeError{{}, "expected an integer that is not negative"};
        }
        const auto number = item.get<std::uint64_t>();
        if (number > std::numeric_limits<T>::max()) {
            return DecodeError{{}, "out of range"};
        }
        value = static_cast<T>(number);
        return {};
    }
    template<typename T>
    requires std::is_enum_v<T>
    static ReadResult read(Json &item, T &value)
    {
        std::uint64_t number = 0;
        if (auto error = read(item, number)) {
            return error;
        }
        if (number > static_cast<std::uint64_t>(PeerFields::LastEnumerator<T>)) {
            return DecodeError{{}, "out of range"};
        }
        value = static_cast<T>(number);
        return {};
    }
    static ReadResult read(Json &item, double &value)
    {
        if (!item.is_number()) {
            return DecodeError{{}, "expected a number"};
        }
        value = item.get<double>();
        return expect(std::isfinite(value), "out of range");
    }
    static ReadResult read(Json &item, std::string &value)
    {
        if (!item.is_string()) {
            return DecodeError{{}, "expected a text string"};
        }
        value = std::move(item.get_ref<std::string &>());
        return {};
    }
    template<typename Tag, typename Rep>
    static ReadResult read(Json &item, StrongInt<Tag, Rep> &value)
    {
        return read(item, value.value);
    }
    template<typename Tag>
    static ReadResult read(Json &item, StrongString<Tag> &value)
    {
        return read(item, value.value);
    }
    static ReadResult read(Json &item, Duration &value)
    {
        if (!item.is_number_integer()) {
            return DecodeError{{}, "expected a whole number of nanoseconds"};
        }
        if (item.is_number_unsigned() && item.get<std::uint64_t>() > static_cast<std::uint64_t>(Duration::max().count())) {
            return DecodeError{{}, "out of range"};
        }
        value = Duration(item.get<std::int64_t>());
        return {};
    }
    static ReadResult read(Json &item, std::optional<Duration> &value)
    {
        if (item.is_null()) {
            value.reset();
            return {};
        }
        return read(item, value.emplace());
    }
    template<typename... Ts>
    static ReadResult read(Json &item, std::variant<Ts...> &value)
    {
        if (!item.is_array()) {
            return DecodeError{{}, "expected an array"};
        }
        FieldReader fields(item.get_ref<Json::array_t &>());
        fields.readVariant(value);
        return std::move(fields.firstError);
    }
    template<typename T>
    requires std::is_class_v<T>
    static ReadResult read(Json &item, T &value)
    {
        if (!item.is_array()) {
            return DecodeError{{}, "expected an array"};
        }
        FieldReader fields(item.get_ref<Json::array_t &>());
        PeerFields::visitFields(fields, value);
        return std::move(fields.firstError);
    }

    static ReadResult readPayload(Json &item, Payload &value, Presence presence)
    {
        if (item.is_null()) {
            value.reset();
            return expect(presence == Presence::Optional, "expected a text string");
        }
        std::string text;
        if (auto error = read(item, text)) {
            return error;
        }
        value = std::make_shared<const std::string>(std::move(text));
        return {};
    }

    template<typename T>
    static ReadResult readArray(Json &item, std::vector<T> &values, Bounds bounds)
    {
        if (!item.is_array()) {
            return DecodeError{{}, "expected an array"};
        }
        auto &array = item.get_ref<Json::array_t &>();
        if (array.size() < bounds.minSize || array.size() > bounds.maxSize) {
            return DecodeError{{},
                               "expected from " + std::to_string(bounds.minSize) + " to " + std::to_string(bounds.maxSize) + " elements"};
        }
        values.resize(array.size());
        for (std::size_t index = 0; index < array.size(); ++index) {
            if (auto error = read(array[index], values[index])) {
                error->path = joinPath("[" + std::to_string(index) + "]", error->path);
                return error;
            }
        }
        return {};
    }
};

} // namespace

std::string encodePeerMessage(const PeerMessage &message)
{
    Json::array_t array;
    array.reserve(MaxFieldsPerStruct);
    FieldWriter(array).writeVariant(message);
    return writeCbor(Json(std::move(array)));
}

Result<PeerMessage> decodePeerMessage(std::span<const std::uint8_t> bytes)
{
    auto document = readCborArray(bytes);
    if (document.has_error()) {
        return std::move(document.error());
    }
    PeerMessage message;
    FieldReader fields(document.value().get_ref<Json::array_t &>());
    fields.readVariant(message);
    if (fields.firstError) {
        return makeError(ErrorCode::BadInput, "peer message: " + fields.firstError->path + ": " + fields.firstError->message,
                         fields.firstError->path);
    }
    return message;
}

} // namespace Tanagertally
