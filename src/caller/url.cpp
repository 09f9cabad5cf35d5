#include "caller/url_func.h"

#include <charconv>

namespace Tanagertally {

namespace {

constexpr std::string_view Unreserved = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~";
constexpr std::string_view HexDigits = "0123456789ABCDEF";

/** @return The byte encoded by two hexadecimal digits, or nothing if `digits` isn't that. */
std::optional<char> decodeByte(std::string_view digits)
{
    unsigned value = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), value, 16);
    if (digits.size() != 2 || error != std::errc() || end != digits.data() + digits.size()) {
        return std::nullopt;
    }
    return static_cast<char>(value);
}

Result<QueryParameter> parseParameter(std::string_view text)
{
    const std::size_t equals = text.find('=');
    const std::optional<std::string> name = percentDecode(text.substr(0, equals));
    const std::string_view rest = equals == std::string_view::npos ? std::string_view() : text.substr(equals + 1);
    const std::optional<std::string> value = percentDecode(rest);
    if (!name || !value) {
        return makeError(ErrorCode::BadInput, "malformed percent-encoding", "query");
    }
    return QueryParameter{*name, *value};
}

} // namespace

std::string percentEncode(std::string_view text)
{
    std::string encoded;
    for (const char c : text) {
        if (Unreserved.find(c) != std::string_view::npos) {
            encoded += c;
            continue;
        }
        const auto byte = static_cast<unsigned char>(c);
        encoded += '%';
        encoded += HexDigits[byte >> 4U];
        encoded += HexDigits[byte & 0xfU];
    }
    return encoded;
}

std::optional<std::string> percentDecode(std::string_view text)
{
    std::string decoded;
    for (std::size_t index = 0; index < text.size(); ++index) {
        if (text[index] != '%') {
            decoded += text[index];
            continue;
        }
        const std::optional<char> byte = decodeByte(text.substr(index + 1, 2));
        if (!byte) {
            return std::nullopt;
        }
        decoded += *byte;
        index += 2;
    }
    return decoded;
}

Result<RequestTarget> parseTarget(std::string_view target)
{
    RequestTarget parsed;
    const std::size_t question = target.find('?');
    parsed.path = target.substr(0, question);
    if (parsed.path.empty() || parsed.path.front() != '/') {
        return makeError(ErrorCode::BadInput, "expected a path that begins with /", "path");
    }
    if (question == std::string_view::npos) {
        return parsed;
    }
    std::string_view rest = target.substr(question + 1);
    while (!rest.empty()) {
        const std::size_t ampersand = rest.find('&');
        Result<QueryParameter> parameter = parseParameter(rest.substr(0, ampersand));
        if (parameter.has_error()) {
            return parameter.error();
        }
        parsed.query.push_back(std::move(parameter.value()));
        rest = ampersand == std::string_view::npos ? std::string_view() : rest.substr(ampersand + 1);
    }
    return parsed;
}

} // namespace Tanagertally
