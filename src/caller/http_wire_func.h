/** Conversion of replies to Beast messages, and of Beast's parser errors to refusals. */
#pragma once

#include "caller/http_type.h"

#include <boost/beast/core/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace Tanagertally {

using HttpResponse = boost::beast::http::response<boost::beast::http::string_body>; ///< A reply that Beast can write.

/** Properties of a request that determine how its reply is written. */
struct HttpReplyFormat {
    unsigned version = 11; ///< HTTP version of the request: 10 * major + minor.
    bool keepAlive = false; ///< Whether the connection stays open after the reply.
    bool headOnly = false; ///< Whether the request was HEAD, so that the reply has no body.
};

/** @return A reply as a Beast message. Thread safety: any thread. */
HttpResponse toResponse(HttpReply reply, const HttpReplyFormat &format);

/** @return The refusal for an error of the Beast parser. Thread safety: any thread. */
HttpRefusal refusalForParserError(const boost::beast::error_code &error);

} // namespace Tanagertally
