/** Authentication of requests by bearer token. */
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
 * Identifies the sender of a request by its Authorization header. Stores only digests of the secrets, and compares each of
 * them in constant time.
 * Thread safety: const methods may be called from any thread.
 */
class BearerAuth
{
public:
    /** Name that every request gets if no secret is configured. */
    static constexpr std::string_view DefaultName = "default";

    /**
     * Adds a secret.
     * @param name Name of the sender that authenticates with it.
     * @param secret The secret; only its digest is stored.
     * @param field Name of the setting, for error messages.
     * @return Success, or BadInput if the name or secret is empty, the secret isn't visible ASCII, or it was added before.
     */
    Result<void> add(std::string_view name, std::string_view secret, std::string_view field);

    /** @return The name of the sender, or nothing if the request carries no known secret. */
    std::optional<std::string> identify(const HttpRequest &request) const;

private:
    using Digest = std::array<unsigned char, 32>; ///< SHA-256 digest.

    /** Name and secret of one sender. */
    struct Credential {
        std::string name; ///< Name of the sender.
        Digest digest; ///< SHA-256 digest of the secret.
    };

    static Digest computeDigest(std::string_view secret);
    const Credential *findCredential(const Digest &digest) const;

    std::vector<Credential> credentials; ///< In the order in which they were added.
};

} // namespace Tanagertally
