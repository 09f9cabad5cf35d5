/** Messages between instances, in CBOR. */
#pragma once

#include "cells/cell_leader.h"
#include "core/result_type.h"

#include <variant>

namespace Tanagertally::Cells {

/** First message on a connection: who opened it. */
struct LinkHello {
    InstanceName name; ///< The instance.
    Incarnation incarnation; ///< Of its process.
};

/** A cell that the sender leads. */
struct CellAdvert {
    CellName cell; ///< The cell.
    FenceToken token; ///< Its fencing token: of two that say they lead, the higher one does.
    Duration storeSilence{}; ///< Time since the store confirmed the lead.
    CellLoad load; ///< How busy it is.
};

/** What the sender leads; sent when that changes and regularly. */
struct LinkAdvert {
    bool isLeaving = false; ///< Whether the sender is shutting down.
    std::uint64_t configVersion = 0; ///< Configuration that the sender has in force.
    std::vector<CellAdvert> cells; ///< All cells that it leads.
};

/** Asks the leader of a cell to take a job; LinkSubmitReply follows. */
struct LinkSubmit {
    CallId call; ///< Call of the sender.
    CellName cell; ///< The cell.
    JobId id; ///< The job.
    JobSpec spec; ///< What it consists of.
    JobTerms terms; ///< Terms of its queue.
    bool wasOffered = false; ///< Whether a former leader of the cell may have run it.
};

/** What became of a submission. */
struct LinkSubmitReply {
    CallId call; ///< Call of the receiver.
    SubmitAnswer answer; ///< The answer.
};

/** Takes a submission of a best-effort job back, as its caller is gone. No reply. */
struct LinkWithdraw {
    CallId call; ///< Call of the sender.
    CellName cell; ///< The cell.
};

/** What is asked about a job. */
enum class JobQuestion : std::uint8_t {
    State, ///< How it stands.
    Cancel, ///< To cancel it.
};

/** Asks the leader of a cell about a job; LinkJobReply follows. */
struct LinkJobAsk {
    CallId call; ///< Call of the sender.
    CellName cell; ///< The cell.
    JobId id; ///< The job.
    JobQuestion question = JobQuestion::State; ///< What is asked.
};

/** Answer about a job. */
struct LinkJobReply {
    CallId call; ///< Call of the receiver.
    JobAnswer answer; ///< The answer.
};

using LinkMessage = std::variant<LinkHello, LinkAdvert, LinkSubmit, LinkSubmitReply, LinkJobAsk, LinkJobReply, LinkWithdraw>;

/** @return A message as bytes. Thread safety: any thread. */
std::string encodeLinkMessage(const LinkMessage &message);

/** @return The message, or BadInput if the bytes are none. Thread safety: any thread. */
Result<LinkMessage> decodeLinkMessage(std::string_view bytes);

} // namespace Tanagertally::Cells
