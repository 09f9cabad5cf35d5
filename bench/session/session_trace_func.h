/** Lines of a session's transcript about the platform and about messages between instances. */
#pragma once

#include "controllers/peer_message_type.h"
#include "controllers/table_type.h"

#include <string>

namespace Tanagertally {

/**
 * Describe a write and what came of it.
 * @param request A request to the platform.
 * @param reply The platform's reply.
 * @return One line; empty for reads.
 * Thread safety: any thread.
 */
std::string toTraceText(const PlatformRequest &request, const PlatformReply &reply);

/**
 * Describe a forwarded request or its reply.
 * @param message A message between instances.
 * @return One line; empty for heartbeats and other messages.
 * Thread safety: any thread.
 */
std::string toTraceText(const PeerMessage &message);

} // namespace Tanagertally
