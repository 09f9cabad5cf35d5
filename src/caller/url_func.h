/** Percent-encoding and parsing of request targets. */
#pragma once

#include "core/result_type.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Tanagertally {

/** One parameter of a query string. */
struct QueryParameter {
    std::string name; ///< Percent-decoded name.
    std::string value; ///< Percent-decoded value; empty if there is no "=".
};

/** A parsed request target. */
struct RequestTarget {
    std::string path; ///< Path, still percent-encoded.
    std::vector<QueryParameter> query; ///< Query parameters in the order of the target.
};

/** @return The text with all but unreserved characters (RFC 3986) percent-encoded. Thread safety: any thread. */
std::string percentEncode(std::string_view text);

/** @return The percent-decoded text, or nothing if an escape is malformed. Thread safety: any thread. */
std::optional<std::string> percentDecode(std::string_view text);

/** @return The parsed request target, or BadInput. Thread safety: any thread. */
Result<RequestTarget> parseTarget(std::string_view target);

} // namespace Tanagertally
