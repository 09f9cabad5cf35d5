#include "caller/readiness.h"

#include <nlohmann/json.hpp>

namespace Tanagertally {

using Json = nlohmann::ordered_json;

void Readiness::set(const SetReadiness &action)
{
    const std::lock_guard lock(this->mutex);
    this->state = action;
}

HttpReply Readiness::reply() const
{
    const std::lock_guard lock(this->mutex);
    HttpReply reply;
    if (this->state.ready) {
        reply.body = R"({"ready":true})";
        return reply;
    }
    reply.status = boost::beast::http::status::service_unavailable;
    reply.body = Json{{"ready", false}, {"reason", this->state.reason}}.dump(-1, ' ', false, Json::error_handler_t::replace);
    return reply;
}

HttpReply healthReply()
{
    HttpReply reply;
    reply.body = R"({"healthy":true})";
    return reply;
}

} // namespace Tanagertally
