/** From HttpReply to what Beast writes, and from Beast's errors to refusals. */
#pragma once

#include "caller/http_type.h"

#include <boost/beast/core/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace Tanagertally {

using HttpResponse = boost::beast::http::response<boost::beast::http::string_body>; ///< A reply ready to be written.

/** How the reply to one request has to be written. */
struct HttpReplyForm {
    unsigned version = 11; ///< HTTP version of the request.
    bool keepAlive = false; ///< Whether the connection stays open.
    bool headOnly = false; ///< Whether the request was HEAD.
};

/** @return A reply as Beast writes it. Thread safety: any thread. */
HttpResponse toResponse(HttpReply reply, const HttpReplyForm &form);

/** @return Which refusal an error of the Beast parser means. Thread safety: any thread. */
HttpRefusal refusalOfParserError(const boost::beast::error_code &error);

} // namespace Tanagertally
