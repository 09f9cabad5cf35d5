#include "caller/bearer_auth.h"

#include <boost/beast/core/string.hpp>
#include <openssl/crypto.h>
#include <openssl/evp.h>

#include <algorithm>

namespace Tanagertally {

namespace {

constexpr std::string_view Scheme = "Bearer ";

bool isVisibleAscii(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](char c) { return c > 0x20 && c < 0x7f; });
}

std::string_view trimSpaces(std::string_view text)
{
    while (!text.empty() && text.front() == ' ') {
        text.remove_prefix(1);
    }
    while (!text.empty() && text.back() == ' ') {
        text.remove_suffix(1);
    }
    return text;
}

} // namespace

Result<void> BearerAuth::add(std::string_view name, std::string_view secret, std::string_view field)
{
    if (name.empty()) {
        return makeError(ErrorCode::BadInput, "the name is empty", std::string(field));
    }
    if (secret.empty() || !isVisibleAscii(secret)) {
        return makeError(ErrorCode::BadInput, "the secret has to be one or more visible ASCII characters without spaces",
                         std::string(field));
    }
    const Digest digest = digestOf(secret);
    if (this->find(digest)) {
        return makeError(ErrorCode::BadInput, "the same secret is given twice", std::string(field));
    }
    this->entries.push_back(Entry{std::string(name), digest});
    return boost::outcome_v2::success();
}

std::optional<std::string> BearerAuth::identify(const HttpRequest &request) const
{
    if (this->entries.empty()) {
        return std::string(DefaultName);
    }
    const std::string_view header = request[boost::beast::http::field::authorization];
    if (!boost::beast::iequals(header.substr(0, Scheme.size()), Scheme)) {
        return std::nullopt;
    }
    const Entry *entry = this->find(digestOf(trimSpaces(header.substr(Scheme.size()))));
    if (!entry) {
        return std::nullopt;
    }
    return entry->name;
}

BearerAuth::Digest BearerAuth::digestOf(std::string_view secret)
{
    Digest digest{};
    EVP_Digest(secret.data(), secret.size(), digest.data(), nullptr, EVP_sha256(), nullptr);
    return digest;
}

const BearerAuth::Entry *BearerAuth::find(const Digest &digest) const
{
    const Entry *found = nullptr;
    for (const Entry &entry : this->entries) {
        if (CRYPTO_memcmp(entry.digest.data(), digest.data(), digest.size()) == 0) {
            found = &entry;
        }
    }
    return found;
}

} // namespace Tanagertally
