/** Requests to the platform and the meaning of its answers, as docs/PLATFORM.md says. */
#pragma once

#include "blackboard/member_type.h"
#include "controllers/table_type.h"
#include "core/result_type.h"
#include "endpoint/http_type.h"

#include <string_view>

namespace Tanagertally {

/** Header fields that every request to the platform carries. */
struct PlatformRequestFields {
    std::string host; ///< Value of `Host`.
    std::string instance; ///< Value of `Client-Instance`, percent-encoded.
};

/**
 * Make the HTTP request of a platform request.
 * @param request The request.
 * @param fields Common header fields.
 * @return The HTTP request, or BadInput if a text in it is not UTF-8.
 * Thread safety: any thread.
 */
Result<HttpClientRequest> makePlatformRequest(const PlatformRequest &request, const PlatformRequestFields &fields);

/**
 * Make the request for the instance list.
 * @param fields Common header fields.
 * Thread safety: any thread.
 */
HttpClientRequest makeInstancesRequest(const PlatformRequestFields &fields);

/**
 * Tell what the platform replied.
 * @param request What it was asked.
 * @param result How the HTTP request ended.
 * @return The reply; PlatformUnavailable if there is none, or if it is malformed or doesn't fit the request.
 * Thread safety: any thread.
 */
PlatformReply toPlatformReply(const PlatformRequest &request, HttpResult result);

/**
 * Read the instance list.
 * @param json Body of the answer.
 * @return The list, or BadInput unless every entry in it is whole and valid.
 * Thread safety: any thread.
 */
Result<InstanceList> instanceListFromJson(std::string_view json);

} // namespace Tanagertally
