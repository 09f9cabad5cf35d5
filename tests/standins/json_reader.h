/** Reads typed fields from a JSON object and reports the first one that is wrong, missing or unknown. */
#pragma once

#include "core/result_type.h"
#include "http_type.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Tanagertally::Standins {

/**
 * Reader of one JSON object. A field that is wrong leaves its default and is reported by finish().
 * Thread safety: none.
 */
class JsonReader
{
public:
    /** Parse a text. @return A reader, or an error if the text is no JSON object. */
    static Result<JsonReader> create(std::string_view text);

    /** Read from a value; finish() reports it if it is no object. */
    explicit JsonReader(nlohmann::json value);

    /** @return A text that has to be there and not be empty. */
    std::string text(std::string_view name);

    /** @return A text, if it is there. */
    std::optional<std::string> optionalText(std::string_view name);

    /** @return A list of texts; empty if it isn't there. */
    std::vector<std::string> texts(std::string_view name);

    /** @return A boolean, if it is there. */
    std::optional<bool> flag(std::string_view name);

    /** @return A number from a range, if it is there. */
    std::optional<double> number(std::string_view name, double least, double most);

    /** @return A whole number from 0, if it is there. */
    std::optional<std::uint64_t> count(std::string_view name);

    /** @return A duration written as "50ms", if it is there. */
    std::optional<Duration> duration(std::string_view name);

    /** @return Readers of the objects of a list; empty if it isn't there. */
    std::vector<JsonReader> objects(std::string_view name);

    /** @return A text, null or nothing: unset in the outer optional if it isn't there. */
    std::optional<std::optional<std::string>> nullableText(std::string_view name);

    /** Report a field as wrong. */
    void fail(std::string_view name, std::string_view expected);

    /** @return An error for the first field that was wrong, or for one that was never asked for. */
    Result<void> finish() const;

private:
    const nlohmann::json *find(std::string_view name);

    nlohmann::json value; ///< The object.
    std::set<std::string, std::less<>> known; ///< Fields asked for.
    std::optional<Error> error; ///< First error.
};

} // namespace Tanagertally::Standins
