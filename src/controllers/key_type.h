/** Issued keys: idempotency keys that name their home. */
#pragma once

#include "blackboard/id_type.h"
#include "core/result_type.h"

#include <optional>

namespace Tanagertally {

using KeySequence = StrongInt<struct KeySequenceTag>; ///< Number of an issued key within its issuer's incarnation.
using KeyTag = StrongInt<struct KeyTagTag>; ///< Message authentication code of an issued key.

/** The parts of an issued key. */
struct IssuedKey {
    FailureDomain domain; ///< Failure domain of the issuer.
    NetAddress address; ///< Address for peers of the issuer.
    Incarnation incarnation; ///< Incarnation of the issuer.
    KeySequence sequence; ///< Its number.
    KeyTag tag; ///< Its authentication code.
};

/** @return Whether a key has the form of an issued key; all others are callers' own keys. */
bool hasIssuedForm(const JobKey &key);

/**
 * Take an issued key apart.
 * @param key A key.
 * @return Its parts, or an error if it has the form of an issued key but is malformed.
 * @pre hasIssuedForm(key).
 */
Result<IssuedKey> parseIssuedKey(const JobKey &key);

/** @return The text of an issued key. */
JobKey formatIssuedKey(const IssuedKey &key);

/**
 * Check a caller's own key.
 * @param key A key that has not the form of an issued key.
 * @return Nothing, or an error that says what is allowed.
 */
std::optional<Error> checkCallerKey(const JobKey &key);

} // namespace Tanagertally
