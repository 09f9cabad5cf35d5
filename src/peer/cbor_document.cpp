#include "peer/cbor_document.h"

#include <utility>
#include <vector>

namespace Tanagertally {

namespace {

using Json = nlohmann::json;

constexpr std::size_t MaxDepth = 8;
constexpr std::size_t MaxValues = 200'000;

/** SAX handler that builds the document and aborts parsing when a limit is exceeded; the parser itself limits neither depth nor size. */
class ArrayBuilder : public nlohmann::json_sax<Json>
{
public:
    Json root; ///< Document decoded so far.
    std::string failure; ///< Reason why parsing was aborted; empty unless it was.

    bool null() override
    {
        return this->add(nullptr);
    }
    bool boolean(bool value) override
    {
        return this->add(value);
    }
    bool number_integer(number_integer_t value) override // NOLINT(readability-identifier-naming)
    {
        return this->add(value);
    }
    bool number_unsigned(number_unsigned_t value) override // NOLINT(readability-identifier-naming)
    {
        return this->add(value);
    }
    bool number_float(number_float_t value, const string_t & /*text*/) override // NOLINT(readability-identifier-naming)
    {
        return this->add(value);
    }
    bool string(string_t &value) override
    {
        return this->add(std::move(value));
    }
    bool binary(binary_t &value) override
    {
        return this->add(Json(std::move(value)));
    }
    bool start_object(std::size_t /*elements*/) override // NOLINT(readability-identifier-naming)
    {
        return this->fail("a map is not expected");
    }
    bool key(string_t & /*value*/) override
    {
        return this->fail("a map is not expected");
    }
    bool end_object() override // NOLINT(readability-identifier-naming)
    {
        return false;
    }
    bool start_array(std::size_t elements) override // NOLINT(readability-identifier-naming)
    {
        if (this->openArrays.size() >= MaxDepth) {
            return this->fail("nested too deeply");
        }
        if (elements != UnknownSize && elements > MaxValues) {
            return this->fail("too many values");
        }
        Json *const array = this->insert(Json::array());
        if (array == nullptr) {
            return false;
        }
        this->openArrays.push_back(array);
        return true;
    }
    bool end_array() override // NOLINT(readability-identifier-naming)
    {
        this->openArrays.pop_back();
        return true;
    }
    bool parse_error(std::size_t position, const std::string & /*token*/, const nlohmann::detail::exception & /*error*/) override // NOLINT
    {
        return this->fail("not CBOR at byte " + std::to_string(position));
    }

private:
    static constexpr std::size_t UnknownSize
        = static_cast<std::size_t>(-1); ///< Size that the parser reports for an array of indefinite length.

    std::vector<Json *> openArrays; ///< Enclosing arrays at the current position, outermost first.
    std::size_t valueCount = 0; ///< Values read so far, arrays included.

    bool fail(std::string reason)
    {
        this->failure = std::move(reason);
        return false;
    }

    bool add(Json value)
    {
        return this->insert(std::move(value)) != nullptr;
    }

    Json *insert(Json value)
    {
        if (++this->valueCount > MaxValues) {
            this->fail("too many values");
            return nullptr;
        }
        if (this->openArrays.empty()) {
            this->root = std::move(value);
            return &this->root;
        }
        auto &items = this->openArrays.back()->get_ref<Json::array_t &>();
        items.push_back(std::move(value));
        return &items.back();
    }
};

} // namespace

Result<Json> readCborArray(std::span<const std::uint8_t> bytes)
{
    ArrayBuilder builder;
    if (!Json::sax_parse(bytes.begin(), bytes.end(), &builder, Json::input_format_t::cbor)) {
        return makeError(ErrorCode::BadInput, "unreadable message: " + builder.failure, "message");
    }
    if (!builder.root.is_array()) {
        return makeError(ErrorCode::BadInput, "unreadable message: not an array", "message");
    }
    return std::move(builder.root);
}

std::string writeCbor(const Json &document)
{
    std::string bytes;
    Json::to_cbor(document, bytes);
    return bytes;
}

} // namespace Tanagertally
