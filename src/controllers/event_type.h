/** Events that the coordinator handles. Each is passed together with the time at which it is handled. */
#pragma once

#include "blackboard/job_type.h"
#include "blackboard/member_type.h"
#include "controllers/peer_message_type.h"
#include "controllers/table_type.h"

namespace Tanagertally {

/** A caller requested keys. */
struct KeysRequested {
    RequestId request; ///< Call that the reply belongs to.
    TeamName team; ///< Team of the caller.
    std::uint32_t count = 1; ///< Number of keys to issue.
};

/** A caller submitted a job. If it has no key, the instance issues one. */
struct JobSubmitted {
    RequestId request; ///< Call that the reply belongs to.
    TeamName team; ///< Team of the caller.
    JobKey key; ///< Key of the job; empty to have one issued.
    JobSpec job;
};

/** A caller requested the answer or the state of a job. */
struct FetchRequested {
    RequestId request; ///< Call that the reply belongs to.
    TeamName team; ///< Team of the caller.
    JobKey key; ///< Key of the job.
    bool wait = false; ///< True to reply when the job is answered, false to reply at once.
};

/** A caller cancelled a job. */
struct CancelRequested {
    RequestId request; ///< Call that the reply belongs to.
    TeamName team; ///< Team of the caller.
    JobKey key; ///< Key of the job.
};

/** The connection of a call closed, so that no reply can be sent. The job of the call continues. */
struct CallerDisconnected {
    RequestId request;
};

/** An operator sent a query or command. */
struct OperatorRequested {
    RequestId request; ///< Call that the reply belongs to.
    OperatorName by; ///< Name of the operator.
    std::string text; ///< Query or command in the operators' language.
    bool dryRun = false; ///< True to check the command without executing it.
    std::int64_t wallClockMs = 0; ///< Wall-clock time in milliseconds since the Unix epoch; used in the audit trail.
};

/** How an attempt ended, as far as the endpoint adapter can tell. */
enum class AttemptOutcome : std::uint8_t {
    Succeeded, ///< The endpoint reported success.
    TaskFailed, ///< The endpoint reported that the task itself failed.
    EndpointFailed, ///< The endpoint reported that it failed while running the task.
    RefusedBusy, ///< The endpoint refused the task before starting it: it has no free slot.
    RefusedLeaving, ///< The endpoint refused the task before starting it: it is leaving.
    NotDelivered, ///< No byte of the request was written: the connection was refused, or the attempt was abandoned before.
    Lost, ///< The request may have been delivered, but no answer was received.
};

/** An attempt ended. */
struct AttemptEnded {
    AttemptId attempt;
    AttemptOutcome outcome = AttemptOutcome::Lost;
    Payload output; ///< Output of the task; null unless it succeeded.
    std::string error; ///< Error text; empty if the task succeeded.
    Duration roundTrip{}; ///< Time from writing the request to the end of the response.
};

/** A health probe ended. Probes are always sent on a new connection. */
struct ProbeEnded {
    ProbeId probe;
    bool answered = false; ///< Whether the endpoint answered.
    bool leaving = false; ///< Whether the endpoint reported that it is leaving.
};

/** A peer link was established, and the hello of the peer has been checked. */
struct PeerUp {
    PeerId peer; ///< Id of the link.
    Hello hello; ///< Hello message of the peer.
};

/** A peer link was closed or lost. */
struct PeerDown {
    PeerId peer; ///< Id of the link.
};

/** A link that OpenPeer requested could not be established. */
struct PeerUnreachable {
    NetAddress address; ///< Address of the peer.
};

/** A peer sent a message other than its hello. */
struct PeerMessageReceived {
    PeerId peer; ///< Id of the link.
    PeerMessage message;
};

/** A request to the platform completed, or failed without a reply (PlatformUnavailable). */
struct PlatformReplied {
    PlatformRequestId request; ///< Id of the SendPlatformRequest action.
    PlatformReply reply;
};

/** The platform's instance list was read. */
struct InstanceListRead {
    InstanceList list;
};

/** A graceful shutdown was requested. */
struct StopRequested {
};

using Event
    = std::variant<KeysRequested, JobSubmitted, FetchRequested, CancelRequested, CallerDisconnected, OperatorRequested, AttemptEnded,
                   ProbeEnded, PeerUp, PeerDown, PeerUnreachable, PeerMessageReceived, PlatformReplied, InstanceListRead, StopRequested>;

} // namespace Tanagertally
