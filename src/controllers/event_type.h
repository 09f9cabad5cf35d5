/** Events: everything that the decision part is told. Each is handed in with the time at which it is handled. */
#pragma once

#include "blackboard/job_type.h"
#include "blackboard/member_type.h"
#include "controllers/peer_message_type.h"
#include "controllers/table_type.h"

namespace Tanagertally {

/** A caller asks for keys. */
struct KeysRequested {
    RequestId request; ///< Call to reply to.
    TeamName team; ///< Team of the caller.
    std::uint32_t count = 1; ///< Number of keys wanted.
};

/** A caller submits a job. Without a key the instance issues one. */
struct JobSubmitted {
    RequestId request; ///< Call to reply to.
    TeamName team; ///< Team of the caller.
    JobKey key; ///< Key of the job; empty to have one issued.
    JobSpec job; ///< The job.
};

/** A caller asks for a job's answer or state. */
struct JobFetched {
    RequestId request; ///< Call to reply to.
    TeamName team; ///< Team of the caller.
    JobKey key; ///< Key of the job.
    bool wait = false; ///< Whether to reply when the answer is there rather than at once.
};

/** A caller cancels a job. */
struct JobCancelled {
    RequestId request; ///< Call to reply to.
    TeamName team; ///< Team of the caller.
    JobKey key; ///< Key of the job.
};

/** A caller's connection closed; nothing can be replied to this call any more. Its job goes on. */
struct CallerGone {
    RequestId request; ///< The call.
};

/** An operator's query or command. */
struct OperatorAsked {
    RequestId request; ///< Call to reply to.
    OperatorName by; ///< The operator.
    std::string text; ///< Text in the operators' language.
    bool dryRun = false; ///< Check only, without effect.
    std::int64_t wallClockMs = 0; ///< Wall-clock time in ms since the epoch, for the audit trail.
};

/** How an attempt ended, by the evidence that the endpoint adapter has. */
enum class AttemptOutcome : std::uint8_t {
    Succeeded, ///< The endpoint answered success.
    TaskFailed, ///< The endpoint answered that the task itself failed.
    EndpointFailed, ///< The endpoint answered that it failed while running the task.
    RefusedBusy, ///< The endpoint refused before starting: no slot is free.
    RefusedLeaving, ///< The endpoint refused before starting: it is leaving.
    NotDelivered, ///< No byte of the request was written (connection refused, or abandoned before sending).
    Lost, ///< The request may have been delivered and no answer came.
};

/** An attempt ended. */
struct AttemptEnded {
    AttemptId attempt; ///< The attempt.
    AttemptOutcome outcome = AttemptOutcome::Lost; ///< How it ended.
    Payload output; ///< The endpoint's answer; null unless it succeeded.
    std::string error; ///< Error text; empty if it succeeded.
    Duration roundTrip{}; ///< Time from writing the request to the end of the answer.
};

/** A health probe, always on a new connection, ended. */
struct ProbeEnded {
    ProbeId probe; ///< The probe.
    bool answered = false; ///< Whether the endpoint answered.
    bool leaving = false; ///< Whether it said that it is leaving.
};

/** A peer link is up: the other side's hello has been checked. */
struct PeerUp {
    PeerId peer; ///< The link.
    Hello hello; ///< What the other side said.
};

/** A peer link is gone. */
struct PeerDown {
    PeerId peer; ///< The link.
};

/** A link that was asked for could not be made. */
struct PeerUnreachable {
    NetAddress address; ///< Address that was tried.
};

/** A message from a peer, after its hello. */
struct PeerMessageReceived {
    PeerId peer; ///< The link.
    PeerMessage message; ///< The message.
};

/** The platform replied, or its reply is not coming. */
struct PlatformReplied {
    TableRequestId request; ///< The request.
    PlatformReply reply; ///< The reply.
};

/** The platform's instance list was read. */
struct InstancesListed {
    InstanceList list; ///< The list.
};

/** A planned stop was asked for. */
struct StopRequested {
};

/** Any event. */
using Event = std::variant<KeysRequested, JobSubmitted, JobFetched, JobCancelled, CallerGone, OperatorAsked, AttemptEnded, ProbeEnded,
                           PeerUp, PeerDown, PeerUnreachable, PeerMessageReceived, PlatformReplied, InstancesListed, StopRequested>;

} // namespace Tanagertally
