/** Issued keys: idempotency keys issued by an instance, which is then the home of the key. */
#pragma once

#include "blackboard/id_type.h"
#include "core/result_type.h"

#include <optional>

namespace Tanagertally {

using KeySequence = StrongInt<struct KeySequenceTag>; ///< Sequence number of an issued key, unique within an incarnation.
using KeyTag = StrongInt<struct KeyTagTag>; ///< Message authentication code (MAC) of an issued key.

/** Decoded form of an issued key. */
struct IssuedKey {
    FailureDomain domain; ///< Failure domain of the issuer.
    NetAddress address; ///< Address at which the issuer accepts peer links.
    Incarnation incarnation; ///< Incarnation of the issuer.
    KeySequence sequence;
    KeyTag tag; ///< Authentication code over the sequence number and the team.
};

/** @return Whether a key has the form of an issued key; any other key was chosen by its caller. */
bool hasIssuedForm(const JobKey &key);

/**
 * Parses an issued key.
 * @return Its parts, or an error if the key is malformed.
 * @pre hasIssuedForm(key).
 */
Result<IssuedKey> parseIssuedKey(const JobKey &key);

/** @return Text form of an issued key. */
JobKey formatIssuedKey(const IssuedKey &key);

/**
 * Checks a key that a caller chose.
 * @param key A key that does not have the form of an issued key.
 * @return Nothing if the key is valid, otherwise an error that names the allowed length and characters.
 */
std::optional<Error> checkCallerKey(const JobKey &key);

} // namespace Tanagertally
