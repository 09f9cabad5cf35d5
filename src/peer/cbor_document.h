/** Encodes and decodes CBOR through nlohmann::json. Decoding accepts untrusted input and limits nesting depth and value count. */
#pragma once

#include "core/result_type.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <span>
#include <string>

namespace Tanagertally {

/**
 * Decodes a CBOR document whose root is an array. Elements may be numbers, text strings, byte strings, booleans, nulls and nested
 * arrays; maps are rejected.
 * @param bytes Exactly one document, without trailing bytes. Untrusted.
 * @return The decoded array, or an error with code BadInput.
 * Thread safety: any thread.
 */
Result<nlohmann::json> readCborArray(std::span<const std::uint8_t> bytes);

/**
 * Encodes a document as CBOR.
 * @return The encoded bytes.
 * Thread safety: any thread.
 */
std::string writeCbor(const nlohmann::json &document);

/** @return A view of the bytes of a string; valid as long as the string is unchanged. */
inline std::span<const std::uint8_t> asBytes(const std::string &text)
{
    return {reinterpret_cast<const std::uint8_t *>(text.data()), text.size()};
}

} // namespace Tanagertally
