/** Encodes requests to the platform and decodes its responses; docs/PLATFORM.md defines the protocol. */
#pragma once

#include "blackboard/member_type.h"
#include "controllers/table_type.h"
#include "core/result_type.h"
#include "endpoint/http_type.h"

#include <string_view>

namespace Tanagertally {

/** Values of the header fields that are common to all requests to the platform. */
struct PlatformRequestFields {
    std::string host; ///< Value of `Host`.
    std::string instance; ///< Value of `Client-Instance`, percent-encoded.
};

/**
 * Encode a platform request as an HTTP request.
 * @param request The platform request.
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
 * Decode the platform's reply.
 * @param request The request that the platform received.
 * @param result Result of the HTTP request.
 * @return The reply; PlatformUnavailable if no response was received, if the response is malformed, or if the rows of
 * a transaction's response don't match the transaction.
 * Thread safety: any thread.
 */
PlatformReply toPlatformReply(const PlatformRequest &request, HttpResult result);

/**
 * Parse the instance list.
 * @param json Body of the response.
 * @return The list, or BadInput unless every entry is complete and valid.
 * Thread safety: any thread.
 */
Result<InstanceList> instanceListFromJson(std::string_view json);

} // namespace Tanagertally
