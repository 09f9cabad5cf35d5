/** Conversion of jobs to JSON values and CBOR, for stored rows and messages between instances. */
#pragma once

#include "cells/crash_history.h"
#include "cells/job_type.h"

#include <nlohmann/json.hpp>

#include <limits>
#include <span>
#include <stdexcept>
#include <utility>

namespace Tanagertally::Cells {

/** Thrown for a value that is malformed or out of range. */
class CborError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/**
 * Reads an integer.
 * @param what Names the value in errors.
 * @return The integer. Throws CborError if the value isn't an integer from `least` to `greatest`.
 */
template<std::integral T>
T integerFromJson(const nlohmann::json &json, std::string_view what, T least = std::numeric_limits<T>::min(),
                  T greatest = std::numeric_limits<T>::max())
{
    const auto isInRange
        = [least, greatest](auto number) { return std::cmp_greater_equal(number, least) && std::cmp_less_equal(number, greatest); };
    const bool isValid = json.is_number_unsigned() ? isInRange(json.get<std::uint64_t>())
                                                   : json.is_number_integer() && isInRange(json.get<std::int64_t>());
    if (!isValid) {
        throw CborError(std::string(what) + ": must be an integer from " + std::to_string(least) + " to " + std::to_string(greatest));
    }
    return json.get<T>();
}

/** Reads an enumerator. @param last The last one. @return The enumerator. Throws CborError if the value is none. */
template<typename Enum>
Enum enumFromJson(const nlohmann::json &json, std::string_view what, Enum last)
{
    return static_cast<Enum>(integerFromJson<int>(json, what, 0, static_cast<int>(last)));
}

/** Reads a number. @return The number. Throws CborError if the value isn't a number from `least` to `greatest`. */
double numberFromJson(const nlohmann::json &json, std::string_view what, double least, double greatest);
/** Reads a time in milliseconds. @return The time. Throws CborError if the value isn't an integer from 0 to `longest`. */
Duration millisecondsFromJson(const nlohmann::json &json, std::string_view what, Duration longest);
/** Encodes a job's steps and payload as a JSON value. */
nlohmann::json specToJson(const JobSpec &spec);
/** Decodes a job's steps and payload. Throws nlohmann::json::exception or CborError if the value is malformed, or
 * no caller could have submitted the job. */
JobSpec specFromJson(const nlohmann::json &json);
/** Encodes terms as a JSON value. */
nlohmann::json termsToJson(const JobTerms &terms);
/** Decodes terms. Throws nlohmann::json::exception or CborError if the value is malformed. */
JobTerms termsFromJson(const nlohmann::json &json);
/** Encodes losses of endpoints as a JSON value, without the times. */
nlohmann::json lossesToJson(std::span<const EndpointLoss> losses);
/** Decodes losses. Throws nlohmann::json::exception or CborError if the value is malformed. */
std::vector<EndpointLoss> lossesFromJson(const nlohmann::json &json);
/** Encodes a JSON value as CBOR bytes. */
std::string toCborText(const nlohmann::json &json);
/** Decodes CBOR bytes of the subset that toCborText() writes: nested to a limited depth, sizes stated, no tags, texts in UTF-8. Throws
 * nlohmann::json::exception or CborError if they are malformed. */
nlohmann::json fromCborText(std::string_view bytes);

} // namespace Tanagertally::Cells
