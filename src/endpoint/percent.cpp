#include "endpoint/percent_func.h"

namespace Tanagertally {

namespace {

constexpr std::string_view Unreserved = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~:@";
constexpr std::string_view HexDigits = "0123456789ABCDEF";

void appendEncoded(std::string &encoded, unsigned char byte)
{
    encoded += '%';
    encoded += HexDigits[byte >> 4];
    encoded += HexDigits[byte & 0xf];
}

} // namespace

std::string percentEncode(std::string_view text)
{
    std::string encoded;
    encoded.reserve(text.size());
    for (const char character : text) {
        if (Unreserved.find(character) != std::string_view::npos) {
            encoded += character;
        } else {
            appendEncoded(encoded, static_cast<unsigned char>(character));
        }
    }
    return encoded;
}

} // namespace Tanagertally
