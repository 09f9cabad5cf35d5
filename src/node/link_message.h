/** Messages between instances, encoded in CBOR. */
#pragma once

#include "cells/cell_leader.h"
#include "core/result_type.h"

#include <variant>

namespace Tanagertally::Cells {

/** First message on a connection; identifies the instance that opened it. */
struct LinkHello {
    InstanceName name;
    Incarnation incarnation; ///< Incarnation of the sender's process.
};

/** Advertisement of one cell that the sender leads. */
struct CellAdvert {
    CellName cell;
    FenceToken token; ///< The leader's fencing token; if two instances claim the lead, the higher token wins.
    Duration storeSilence{}; ///< Time since the store last confirmed the lead.
    CellLoad load;
};

/** Advertisement of all cells that the sender leads; sent on each change and periodically. */
struct LinkAdvert {
    bool isLeaving = false; ///< Whether the sender is shutting down.
    std::uint64_t configVersion = 0; ///< Version of the configuration in force at the sender.
    RowVersion operatorTableVersion; ///< Version of the newest change of the operators' table that the sender has applied.
    std::vector<CellAdvert> cells; ///< A cell that is missing here is no longer led by the sender.
};

/** Submits a job to the leader of a cell, which answers with LinkSubmitReply. */
struct LinkSubmit {
    CallId call; ///< Call id assigned by the sender.
    CellName cell;
    JobId id;
    JobSpec spec;
    JobTerms terms; ///< Terms of the job's queue.
    bool mayHaveRun = false; ///< Whether a former leader of the cell may have run the job.
    std::optional<Duration> patience; ///< How long the caller will wait; unset if the sender is of an earlier version.
};

/** Answer to LinkSubmit. */
struct LinkSubmitReply {
    CallId call; ///< Call id of the LinkSubmit.
    SubmitAnswer answer;
};

/** Withdraws a submitted best-effort job whose caller has disconnected. There is no reply. */
struct LinkWithdraw {
    CallId call; ///< Call id of the LinkSubmit.
    CellName cell;
};

/** Kinds of requests about a job. */
enum class JobQuestion : std::uint8_t {
    State, ///< Report the state of the job.
    Cancel, ///< Cancel the job.
};

/** Sends a request about a job to the leader of a cell, which answers with LinkJobReply. */
struct LinkJobQuestion {
    CallId call; ///< Call id assigned by the sender.
    CellName cell;
    JobId id;
    JobQuestion question = JobQuestion::State;
};

/** Answer to LinkJobQuestion. */
struct LinkJobReply {
    CallId call; ///< Call id of the LinkJobQuestion.
    JobAnswer answer;
};

/** Announces jobs that the sender's cell has handed over to a cell that the receiver leads, which answers with LinkTransferDone. */
struct LinkTransfer {
    CellName source; ///< Former cell of the jobs.
    CellName target; ///< Present cell of the jobs.
    std::vector<JobTransfer> transfers; ///< Their targets are not sent, as all are `target`.
};

/** Confirms that announced jobs are known to the leader of their present cell; sent to the leader of the former one. */
struct LinkTransferDone {
    CellName source; ///< Former cell of the jobs.
    std::vector<JobId> jobs;
};

/** Asks the leader of a cell for the free room of its endpoints, which answers with LinkRoomReply. */
struct LinkRoomQuery {
    CellName cell;
};

/** Answer to LinkRoomQuery. */
struct LinkRoomReply {
    CellName cell;
    std::vector<EndpointRoom> rooms;
};

/** Any message. The index of the alternative is the type number on the wire. */
using LinkMessage = std::variant<LinkHello, LinkAdvert, LinkSubmit, LinkSubmitReply, LinkJobQuestion, LinkJobReply, LinkWithdraw,
                                 LinkTransfer, LinkTransferDone, LinkRoomQuery, LinkRoomReply>;

/** @return The encoded message. Thread safety: any thread. */
std::string encodeLinkMessage(const LinkMessage &message);

/** @return The decoded message, or BadInput if the bytes are not a valid message. Thread safety: any thread. */
Result<LinkMessage> decodeLinkMessage(std::string_view bytes);

} // namespace Tanagertally::Cells
