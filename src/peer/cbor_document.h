/** CBOR from bytes that need not be trusted, by way of nlohmann::json, with bounds on depth and size. */
#pragma once

#include "core/result_type.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <span>
#include <string>

namespace Tanagertally {

/**
 * Read a CBOR document that is an array of numbers, texts, byte strings, booleans, nulls and arrays of the same.
 * @param bytes The document and nothing after it.
 * @return The array, or an error with code BadInput.
 * Thread safety: any thread.
 */
Result<nlohmann::json> readCborArray(std::span<const std::uint8_t> bytes);

/**
 * Write a document as CBOR.
 * @param document The document.
 * @return Its bytes.
 * Thread safety: any thread.
 */
std::string writeCbor(const nlohmann::json &document);

/** @return The bytes of a text. */
inline std::span<const std::uint8_t> asBytes(const std::string &text)
{
    return {reinterpret_cast<const std::uint8_t *>(text.data()), text.size()};
}

} // namespace Tanagertally
