/** Issues keys and records which of them have been used. */
#pragma once

#include "blackboard/blackboard.h"
#include "controllers/key_type.h"

#include <array>
#include <map>
#include <vector>

namespace Tanagertally {

/** State of a key that names this incarnation as its issuer. */
enum class KeyState : std::uint8_t {
    Forged, ///< The key was not issued to this team by this incarnation: its authentication code is wrong.
    Unused, ///< No job was submitted under the key, and one may still be.
    Used, ///< A job was submitted under the key.
    Closed, ///< No job was submitted under the key, and none may be: it expired or was cancelled.
    Unknown, ///< The key was issued longer than KeyRetention ago; its use is no longer recorded.
};

inline constexpr Duration KeyLifetime = std::chrono::minutes(10); ///< Time after its issue during which a job can be submitted under a key.
inline constexpr Duration KeyRetention = std::chrono::hours(1); ///< Time after its issue during which the use of a key is recorded.
inline constexpr std::uint32_t MaxKeysPerCall = 1000; ///< Maximum number of keys issued in one call.

/**
 * Issues keys and tracks their use, with two bits for each key.
 * Thread safety: none.
 */
class KeyController
{
public:
    /** @param board Must outlive this object. @param secretSeed Random numbers used as the signing secret. */
    KeyController(Blackboard &board, std::array<std::uint64_t, 4> secretSeed);

    /**
     * Issues keys to a team.
     * @param count Number of keys, 1 to MaxKeysPerCall.
     */
    std::vector<JobKey> issue(const TeamName &team, std::uint32_t count);

    /**
     * Returns the state of a key.
     * @param team Team that presents the key.
     * @pre The key names this incarnation as its issuer.
     */
    KeyState state(const IssuedKey &key, const TeamName &team);

    /** Records that a job was submitted under a key. @pre state() is Unused. */
    void markUsed(const IssuedKey &key);

    /** Closes a key, so that no job may be submitted under it. @pre state() is Unused. */
    void close(const IssuedKey &key);

    /** Removes the records of keys issued longer than KeyRetention ago. */
    void advance();

private:
    /** Keys issued in one call. */
    struct Batch {
        TimePoint issuedAt{};
        std::vector<bool> used; ///< Whether a job was submitted, by index of the key in the batch.
        std::vector<bool> closed; ///< Whether the key was closed, by index of the key in the batch.
    };

    KeyTag sign(const IssuedKey &key, const TeamName &team) const;
    std::pair<Batch *, std::size_t> locate(KeySequence sequence);

    Blackboard &board;
    std::array<std::uint64_t, 4> secret; ///< Secret key of the authentication code.
    std::map<KeySequence, Batch> batches; ///< Batches by the sequence number of their first key.
    std::uint64_t lastSequence = 0; ///< Sequence number of the last key issued.
};

} // namespace Tanagertally
