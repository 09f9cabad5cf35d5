/** HTTP messages as the stand-ins handle them. */
#pragma once

#include <boost/beast/http.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Tanagertally::Standins {

using Duration = std::chrono::nanoseconds; ///< A span of time.
using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>; ///< A whole request.

/** One header field of a reply. */
struct HttpHeader {
    std::string name; ///< Field name.
    std::string value; ///< Field value.
};

/** A whole reply. */
struct HttpReply {
    unsigned status = 200; ///< HTTP status.
    std::string body; ///< Body.
    std::string contentType = "application/json"; ///< Type of the body.
    std::vector<HttpHeader> headers; ///< Further header fields.
};

class HttpConnection;
using HttpConnectionPtr = std::shared_ptr<HttpConnection>; ///< A connection, kept alive by whoever serves its request.

/** What a server does with its connections. All are called on the strand of the connection. */
struct HttpHandlers {
    std::function<void(const HttpConnectionPtr &)> serve; ///< A whole request came; reply, drop or swallow it, now or later.
    std::function<void(const HttpConnectionPtr &)> cut; ///< The client closed the connection while its request was served.
};

} // namespace Tanagertally::Standins
