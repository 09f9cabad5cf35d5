#include "caller/http_wire_func.h"

#include <boost/beast/http/error.hpp>
#include <boost/beast/http/field.hpp>

namespace Tanagertally {

namespace http = boost::beast::http;

HttpResponse toResponse(HttpReply reply, const HttpReplyFormat &format)
{
    HttpResponse response(reply.status, format.version);
    response.set(http::field::content_type, reply.contentType);
    if (reply.retryAfter) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(*reply.retryAfter);
        response.set(http::field::retry_after, std::to_string(seconds.count()));
    }
    if (!reply.allow.empty()) {
        response.set(http::field::allow, reply.allow);
    }
    if (!reply.authenticate.empty()) {
        response.set(http::field::www_authenticate, reply.authenticate);
    }
    response.body() = std::move(reply.body);
    response.keep_alive(format.keepAlive);
    response.prepare_payload();
    if (format.headOnly) {
        response.body().clear();
    }
    return response;
}

HttpRefusal refusalForParserError(const boost::beast::error_code &error)
{
    if (error == http::error::header_limit) {
        return HttpRefusal::HeaderTooLarge;
    }
    if (error == http::error::body_limit) {
        return HttpRefusal::BodyTooLarge;
    }
    return HttpRefusal::Malformed;
}

} // namespace Tanagertally
