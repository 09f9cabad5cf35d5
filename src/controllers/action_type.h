/** Actions: everything that the decision part asks of the adapters. */
#pragma once

#include "blackboard/job_type.h"
#include "controllers/peer_message_type.h"
#include "controllers/table_type.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Tanagertally {

/** Reply to a caller. */
struct ReplyToCaller {
    RequestId request; ///< Call to reply to.
    CallerReply reply; ///< What to say.
    bool closeAfter = false; ///< Whether the instance is stopping and the connection should end with this reply.
};

/** Reply to an operator. */
struct ReplyToOperator {
    RequestId request; ///< Call to reply to.
    std::optional<Error> error; ///< Set if the text was refused.
    std::string json; ///< The answer document; empty if refused.
};

/** An endpoint was discovered or its address changed; the adapter opens connections as needed. */
struct AddEndpoint {
    EndpointId endpoint; ///< The endpoint.
    NetAddress address; ///< Where it serves.
};

/** An endpoint is gone; idle connections close, attempts in flight finish. */
struct RemoveEndpoint {
    EndpointId endpoint; ///< The endpoint.
};

/** Run one attempt of a task. The adapter answers with exactly one AttemptEnded. */
struct StartAttempt {
    AttemptId attempt; ///< The attempt.
    EndpointId endpoint; ///< Endpoint to run it on.
    JobKey key; ///< Key of the job, for the endpoint's log.
    std::uint32_t task = 0; ///< Index of the task in its job.
    KindName kind; ///< Kind of request.
    Payload payload; ///< Input.
    Duration maxIdle{}; ///< Use no connection that has been idle for longer; open a new one instead.
};

/** Give up an attempt: close its connection and report NotDelivered or Lost by the evidence. */
struct AbandonAttempt {
    AttemptId attempt; ///< The attempt.
};

/** Probe an endpoint on a new connection. The adapter answers with exactly one ProbeEnded. */
struct ProbeEndpoint {
    ProbeId probe; ///< The probe.
    EndpointId endpoint; ///< Endpoint to probe.
    Duration timeout{}; ///< Time after which it counts as not answered.
};

/** Open a link to a peer, or keep it open. The adapter retries links that are to stay. */
struct OpenPeer {
    NetAddress address; ///< Where the peer accepts links.
    bool standing = true; ///< Whether to reconnect when the link breaks; otherwise one try, which ends in PeerUp or PeerUnreachable.
};

/** Close a peer link, or stop trying to open it. */
struct ClosePeer {
    NetAddress address; ///< Where the peer accepts links.
};

/** Send a message on a link. It is lost if the link breaks. */
struct SendToPeer {
    PeerId peer; ///< The link.
    PeerMessage message; ///< The message.
};

/** Ask the platform. The adapter answers with exactly one PlatformReplied. */
struct AskPlatform {
    TableRequestId id; ///< The request.
    PlatformRequest request; ///< What to ask.
    Duration timeout{}; ///< Time after which it counts as unavailable.
};

/** One key and its value in a log line. */
struct LogField {
    std::string_view key; ///< A literal.
    std::string value; ///< Its value.
};

/** Write a log line. */
struct WriteLog {
    std::string_view event; ///< Name of the event; a literal.
    std::vector<LogField> fields; ///< Fields in order.
};

/** Readiness changed; the balancer asks for it at /readyz. */
struct SetReadiness {
    bool ready = false; ///< Whether new callers are welcome.
    std::string reason; ///< Why not.
};

/** Everything held has been answered: flush what is written and exit. */
struct Exit {
};

/** Any action. */
using Action = std::variant<ReplyToCaller, ReplyToOperator, AddEndpoint, RemoveEndpoint, StartAttempt, AbandonAttempt, ProbeEndpoint,
                            OpenPeer, ClosePeer, SendToPeer, AskPlatform, WriteLog, SetReadiness, Exit>;

using ActionList = std::vector<Action>; ///< Actions in the order in which they are to be carried out.

} // namespace Tanagertally
