/** Percent-encoding, and request targets taken apart. */
#pragma once

#include "core/result_type.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Tanagertally {

/** One parameter of a query. */
struct QueryParameter {
    std::string name; ///< Its name, decoded.
    std::string value; ///< Its value, decoded; empty if there is none.
};

/** A request target taken apart. */
struct RequestTarget {
    std::string path; ///< The path, still encoded.
    std::vector<QueryParameter> query; ///< Parameters in their order.
};

/** @return A text with all but unreserved characters percent-encoded. Thread safety: any thread. */
std::string percentEncode(std::string_view text);

/** @return A percent-encoded text decoded, or nothing if an escape is malformed. Thread safety: any thread. */
std::optional<std::string> percentDecode(std::string_view text);

/** @return A request target taken apart, or BadInput. Thread safety: any thread. */
Result<RequestTarget> parseTarget(std::string_view target);

} // namespace Tanagertally
