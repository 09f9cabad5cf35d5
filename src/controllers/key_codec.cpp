#include "controllers/key_type.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace Tanagertally {

namespace {

constexpr std::string_view IssuedPrefix = "tt1~";
constexpr std::size_t PartCount = 6;
constexpr std::size_t MaxCallerKeyLength = 128; // characters
constexpr int HexBase = 16;

std::optional<std::uint64_t> parseHex(std::string_view text)
{
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, HexBase);
    if (error != std::errc() || end != text.data() + text.size() || text.empty()) {
        return std::nullopt;
    }
    return value;
}

std::optional<std::array<std::string_view, PartCount>> splitParts(std::string_view text)
{
    std::array<std::string_view, PartCount> parts;
    for (std::size_t part = 0; part < PartCount; ++part) {
        const std::size_t end = text.find('~');
        const bool last = part + 1 == PartCount;
        if ((end == std::string_view::npos) != last) {
            return std::nullopt;
        }
        parts[part] = text.substr(0, end);
        text.remove_prefix(last ? text.size() : end + 1);
    }
    return parts;
}

} // namespace

bool hasIssuedForm(const JobKey &key)
{
    return key.value.starts_with(IssuedPrefix);
}

Result<IssuedKey> parseIssuedKey(const JobKey &key)
{
    const auto parts = splitParts(key.value);
    if (!parts) {
        return makeError(ErrorCode::BadInput, "malformed issued key", "key");
    }
    const auto incarnation = parseHex((*parts)[3]);
    const auto sequence = parseHex((*parts)[4]);
    const auto tag = parseHex((*parts)[5]);
    if (!incarnation || !sequence || !tag) {
        return makeError(ErrorCode::BadInput, "malformed issued key", "key");
    }
    IssuedKey issued;
    issued.domain = FailureDomain(std::string((*parts)[1]));
    issued.address = NetAddress(std::string((*parts)[2]));
    issued.incarnation = Incarnation(*incarnation);
    issued.sequence = KeySequence(*sequence);
    issued.tag = KeyTag(*tag);
    return issued;
}

JobKey formatIssuedKey(const IssuedKey &key)
{
    return JobKey(fmt::format("{}{}~{}~{:016x}~{:x}~{:016x}", IssuedPrefix, key.domain.value, key.address.value, key.incarnation.value,
                              key.sequence.value, key.tag.value));
}

std::optional<Error> checkCallerKey(const JobKey &key)
{
    const auto isAllowed = [](char c) { return c > ' ' && c < '\x7f' && c != '/' && c != '"' && c != '\\'; };
    const bool fits = !key.value.empty() && key.value.size() <= MaxCallerKeyLength;
    if (fits && std::all_of(key.value.begin(), key.value.end(), isAllowed)) {
        return std::nullopt;
    }
    return makeError(ErrorCode::BadInput, "a key has 1 to 128 printable ASCII characters other than space, slash, quote and backslash",
                     "key");
}

} // namespace Tanagertally
