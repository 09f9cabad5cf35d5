/** Actions that the coordinator emits; the adapters carry them out. */
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

/** Sends a reply to a caller. */
struct ReplyToCaller {
    RequestId request; ///< Call to reply to.
    CallerReply reply; ///< Reply to send.
    bool closeAfter = false; ///< True if the instance is stopping: the adapter closes the connection after this reply.
};

/** Sends a reply to an operator. */
struct ReplyToOperator {
    RequestId request; ///< Call to reply to.
    std::optional<Error> error; ///< Set if the query or command was refused.
    std::string json; ///< JSON document of the reply; empty if refused.
};

/** An endpoint was discovered or its address changed; the adapter opens connections as needed. */
struct AddEndpoint {
    EndpointId endpoint;
    NetAddress address; ///< Address at which it accepts tasks.
};

/** An endpoint was removed: the adapter closes its idle connections; attempts in flight run to their end. */
struct RemoveEndpoint {
    EndpointId endpoint;
};

/** Starts one attempt of a task. The adapter reports its end with exactly one AttemptEnded event. */
struct StartAttempt {
    AttemptId attempt;
    EndpointId endpoint; ///< Endpoint to run it on.
    JobKey key; ///< Key of the job; sent along for the endpoint's log.
    std::uint32_t task = 0; ///< Zero-based index of the task in its job.
    KindName kind; ///< Kind of the task.
    Payload payload; ///< Input of the task.
    Duration maxConnectionIdle{}; ///< A connection that has been idle for longer is not used; a new one is opened instead.
};

/**
 * Abandons an attempt: the adapter closes its connection and reports NotDelivered if no byte of the request was written,
 * Lost otherwise.
 */
struct AbandonAttempt {
    AttemptId attempt;
};

/** Probes an endpoint on a new connection. The adapter reports the result with exactly one ProbeEnded event. */
struct ProbeEndpoint {
    ProbeId probe;
    EndpointId endpoint;
    Duration timeout{}; ///< Time after which the probe counts as unanswered.
};

/** Opens a link to a peer unless one is open. The adapter reconnects persistent links. */
struct OpenPeer {
    NetAddress address; ///< Address at which the peer accepts links.
    bool isPersistent = true; ///< True to reconnect when the link breaks; false for a single try, which ends in PeerUp or PeerUnreachable.
};

/** Closes a peer link, or stops reconnecting to it. */
struct ClosePeer {
    NetAddress address; ///< Address at which the peer accepts links.
};

/** Sends a message on a peer link. The message is lost if the link breaks. */
struct SendToPeer {
    PeerId peer; ///< Link to send on.
    PeerMessage message;
};

/** Sends a request to the platform. The adapter reports its result with exactly one PlatformReplied event. */
struct SendPlatformRequest {
    PlatformRequestId id; ///< Number that the PlatformReplied event repeats.
    PlatformRequest request;
    Duration timeout{}; ///< Time after which the platform counts as unavailable.
};

/** A key and its value in a log line. */
struct LogField {
    std::string_view key; ///< Must be a string literal: it is not copied.
    std::string value;
};

/** Writes a line to the log. */
struct WriteLog {
    std::string_view event; ///< Name of the event. Must be a string literal: it is not copied.
    std::vector<LogField> fields; ///< Fields in the order in which they are written.
};

/** Sets the readiness that the load balancer polls at /readyz. */
struct SetReadiness {
    bool ready = false; ///< Whether the instance accepts new callers.
    std::string reason; ///< State of the instance, sent with the readiness.
};

/** Ends the process after flushing pending output; emitted once every request has been answered. */
struct Exit {
};

using Action = std::variant<ReplyToCaller, ReplyToOperator, AddEndpoint, RemoveEndpoint, StartAttempt, AbandonAttempt, ProbeEndpoint,
                            OpenPeer, ClosePeer, SendToPeer, SendPlatformRequest, WriteLog, SetReadiness, Exit>;

using ActionList = std::vector<Action>; ///< Actions, in the order in which the adapters have to carry them out.

} // namespace Tanagertally
