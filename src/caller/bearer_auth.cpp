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
    const Digest digest = computeDigest(secret);
    if (this->findCredential(digest)) {
        return makeError(ErrorCode::BadInput, "the same secret is given twice", std::string(field));
    }
    this->credentials.push_back(Credential{std::string(name), digest});
    return boost::outcome_v2::success();
}

std::optional<std::string> BearerAuth::identify(const HttpRequest &request) const
{
    if (this->credentials.empty()) {
        return std::string(DefaultName);
    }
    const std::string_view header = request[boost::beast::http::field::authorization];
    if (!boost::beast::iequals(header.substr(0, Scheme.size()), Scheme)) {
        return std::nullopt;
    }
    const Credential *credential = this->findCredential(computeDigest(trimSpaces(header.substr(Scheme.size()))));
    if (!credential) {
        return std::nullopt;
    }
    return credential->name;
}

BearerAuth::Digest BearerAuth::computeDigest(std::string_view secret)
{
    Digest digest{};
    EVP_Digest(secret.data(), secret.size(), digest.data(), nullptr, EVP_sha256(), nullptr);
    return digest;
}

const BearerAuth::Credential *BearerAuth::findCredential(const Digest &digest) const
{
    const Credential *found = nullptr;
    for (const Credential &credential : this->credentials) {
        if (CRYPTO_memcmp(credential.digest.data(), digest.data(), digest.size()) == 0) {
            found = &credential;
        }
    }
    return found;
}

} // namespace Tanagertally
