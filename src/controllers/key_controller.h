/** Issues keys and remembers which of them have been used. */
#pragma once

#include "blackboard/blackboard.h"
#include "controllers/key_type.h"

#include <array>
#include <map>
#include <vector>

namespace Tanagertally {

/** Where an issued key of this incarnation stands. */
enum class KeyState : std::uint8_t {
    Forged, ///< This incarnation did not issue it to this team.
    Unused, ///< No job was submitted under it, and one may be.
    Used, ///< A job was submitted under it.
    Closed, ///< No job was submitted under it, and none will be: it expired or was cancelled.
    Unknown, ///< It was issued so long ago that nothing is known of it.
};

inline constexpr Duration KeyLifetime = std::chrono::minutes(10); ///< Time in which a job can be submitted under a key.
inline constexpr Duration KeyRetention = std::chrono::hours(1); ///< Time for which it is remembered whether a key was used.
inline constexpr std::uint32_t MaxKeysPerCall = 1000; ///< Most keys issued in one call.

/**
 * Issues keys and tracks their use, with two bits for each key.
 * Thread safety: none.
 */
class KeyController
{
public:
    /** @param board The state; must outlive this object. @param secretSeed Random number that the signing secret is made of. */
    KeyController(Blackboard &board, std::array<std::uint64_t, 4> secretSeed);

    /**
     * Issue keys.
     * @param team Team to issue them to.
     * @param count Number of keys, 1 to MaxKeysPerCall.
     * @return The keys.
     */
    std::vector<JobKey> issue(const TeamName &team, std::uint32_t count);

    /**
     * Look up a key that names this incarnation.
     * @param key The key.
     * @param team Team that presents it.
     */
    KeyState state(const IssuedKey &key, const TeamName &team);

    /** Record that a job was submitted under a key. @pre state() gave Unused. */
    void markUsed(const IssuedKey &key);

    /** Record that no job may be submitted under a key any more. @pre state() gave Unused. */
    void close(const IssuedKey &key);

    /** Forget what is older than KeyMemory. */
    void advance();

private:
    /** Keys issued in one call. */
    struct Batch {
        TimePoint issuedAt{}; ///< When they were issued.
        std::vector<bool> used; ///< Whether a job was submitted, by key.
        std::vector<bool> closed; ///< Whether it was closed, by key.
    };

    KeyTag sign(const IssuedKey &key, const TeamName &team) const;
    std::pair<Batch *, std::size_t> locate(KeySequence sequence);

    Blackboard &board; ///< The state.
    std::array<std::uint64_t, 4> secret; ///< Secret of the authentication code.
    std::map<KeySequence, Batch> batches; ///< Batches by their first number.
    std::uint64_t lastSequence = 0; ///< Last number given.
};

} // namespace Tanagertally
