/** Codec of the operators' JSON documents. */
#pragma once

#include "caller/http_type.h"
#include "controllers/action_type.h"
#include "core/result_type.h"

#include <string>
#include <string_view>

namespace Tanagertally {

inline constexpr std::size_t MaxOperatorTextBytes = 1024UL * 1024; ///< Longest query or command; may contain a configuration.

/** A decoded query or command. */
struct OperatorInput {
    std::string text; ///< Text in the operators' language.
    bool dryRun = false; ///< Whether a command is only checked, without effect.
};

/**
 * Decodes the body of POST /v1/operate.
 * @return The input, or BadInput with the invalid field. Thread safety: any thread.
 */
Result<OperatorInput> decodeOperatorInput(std::string_view body);

/** @return The HTTP reply for a reply of the coordinator. Thread safety: any thread. */
HttpReply encodeOperatorReply(const ReplyToOperator &reply);

} // namespace Tanagertally
