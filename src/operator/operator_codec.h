/** The operators' JSON documents. */
#pragma once

#include "caller/http_type.h"
#include "controllers/action_type.h"
#include "core/result_type.h"

#include <string>
#include <string_view>

namespace Tanagertally {

inline constexpr std::size_t MaxOperatorTextBytes = 1024UL * 1024; ///< Longest query or command, which may hold a whole configuration.

/** A query or command as it was read. */
struct OperatorInput {
    std::string text; ///< Text in the operators' language.
    bool dryRun = false; ///< Check only, without effect.
};

/**
 * Read the body of POST /v1/operate.
 * @return The input, or BadInput with the field. Thread safety: any thread.
 */
Result<OperatorInput> decodeOperatorInput(std::string_view body);

/** @return A reply of the decision part as operators get it. Thread safety: any thread. */
HttpReply encodeOperatorReply(const ReplyToOperator &reply);

} // namespace Tanagertally
