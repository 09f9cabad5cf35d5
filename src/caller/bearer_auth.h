/** Bearer tokens: who a call comes from. */
#pragma once

#include "caller/http_type.h"
#include "core/result_type.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Tanagertally {

/**
 * Tells by the Authorization header who calls. It keeps digests of the secrets, and compares each of them in constant time.
 * Thread safety: const methods may be called from any thread.
 */
class BearerAuth
{
public:
    /** Name used for every call when no secret is configured. */
    static constexpr std::string_view DefaultName = "default";

    /**
     * Add a secret.
     * @param name Who calls with it.
     * @param secret The secret; its digest is kept.
     * @param field Name of the setting, for errors.
     * @return Nothing, or BadInput if the name or secret is empty, the secret can't stand in a header, or it is there already.
     */
    Result<void> add(std::string_view name, std::string_view secret, std::string_view field);

    /** @return Who sent the request, or nothing if it carries no known secret. */
    std::optional<std::string> identify(const HttpRequest &request) const;

private:
    using Digest = std::array<unsigned char, 32>; ///< SHA-256.

    /** A known secret. */
    struct Entry {
        std::string name; ///< Who calls with it.
        Digest digest; ///< Digest of the secret.
    };

    static Digest digestOf(std::string_view secret);
    const Entry *find(const Digest &digest) const;

    std::vector<Entry> entries; ///< All known secrets.
};

} // namespace Tanagertally
