/** What the leader of a cell asks of its surroundings. */
#pragma once

#include "cells/fleet_type.h"
#include "cells/job_type.h"
#include "cells/store_type.h"

#include <string>
#include <variant>
#include <vector>

namespace Tanagertally::Cells {

/** Carry out a transaction; onCommitted() follows. */
struct CommitRows {
    StoreTransaction transaction; ///< The changes.
};

/** Read the row that tells who leads the cell; onLeadRead() follows. */
struct ReadLead {
    RowKey key; ///< The row.
};

/** Read all jobs of the cell; onRecovered() follows once all of them are there. */
struct ReadCell {
    CellName cell; ///< The cell.
};

/** Start a run of a task; onStarted() follows. */
struct StartRun {
    EndpointName endpoint; ///< Where.
    NetAddress address; ///< Its address.
    TaskRef task; ///< Which task.
    RunNumber run; ///< Number of the run.
    std::shared_ptr<const std::string> payload; ///< What it runs on.
    std::int64_t deadlineMs = 0; ///< On the endpoint's clock: the start is refused later than this, and the lease lasts as long.
    FenceToken token; ///< Token of this leader.
};

/** Stop a run of a task, or keep it from starting; onStopped() follows. */
struct StopRun {
    EndpointName endpoint; ///< Where.
    NetAddress address; ///< Its address.
    TaskRef task; ///< Which task.
    RunNumber run; ///< Number of the run.
    FenceToken token; ///< Token of this leader.
};

/** Renew the lease of what runs on an endpoint, and ask what runs and what has ended; onHeld() follows. */
struct HoldEndpoint {
    EndpointName endpoint; ///< Which.
    NetAddress address; ///< Its address.
    FenceToken token; ///< Token of this leader.
    std::optional<std::int64_t> deadlineMs; ///< New end of the lease on the endpoint's clock; unset leaves it.
    std::uint64_t acknowledged = 0; ///< Ends up to this number are stored and may be forgotten.
    Duration wait{}; ///< How long the answer may wait for an end.
};

/** Answer a submission. */
struct AnswerSubmission {
    CallId call; ///< The call.
    SubmitAnswer answer; ///< The answer.
};

/** Answer a cancelling. */
struct AnswerCancel {
    CallId call; ///< The call.
    JobAnswer answer; ///< The answer.
};

/** The lead is lost or given up; nothing follows from this leader. */
struct LeadEnded {
    InstanceName leader; ///< Who leads instead, if the store told; empty otherwise.
    FenceToken token; ///< Its fencing token.
};

/** One line for the log. */
struct LogDecision {
    std::string event; ///< Name of the event.
    std::vector<std::pair<std::string, std::string>> fields; ///< Its inputs and outcome.
    bool isWarning = false; ///< Whether somebody should look at it.
};

using CellAction
    = std::variant<CommitRows, ReadLead, ReadCell, StartRun, StopRun, HoldEndpoint, AnswerSubmission, AnswerCancel, LeadEnded, LogDecision>;

/** How an order to start a run ended. */
struct StartResult {
    enum class Kind : std::uint8_t {
        Started, ///< The run is there.
        NoRoom, ///< Refused: it doesn't fit.
        TooLate, ///< Refused: the order's deadline has passed.
        Fenced, ///< Refused: another leader has a higher token.
        Superseded, ///< Refused: a run as high was stopped or has ended there.
        Unhealthy, ///< Refused: the endpoint takes nothing now.
        Rejected, ///< Refused as malformed.
        OtherLife, ///< Another life of the endpoint answered: this one is over.
        NotSent, ///< The order didn't leave this process.
        Unknown, ///< No answer: it may be carried out.
    };
    Kind kind = Kind::Unknown; ///< Which of them.
    std::string detail; ///< For the log.
};

/** How an order to stop a run ended. */
enum class StopResult : std::uint8_t {
    Confirmed, ///< It is stopped, or will never start.
    Fenced, ///< Refused: another leader has a higher token.
    OtherLife, ///< Another life of the endpoint answered.
    Unknown, ///< No answer.
};

/** A run that an endpoint lists. */
struct ListedRun {
    TaskRef task; ///< The task.
    RunNumber run; ///< Number of the run.
    std::uint32_t percent = 0; ///< Progress in percent.
};

/** An ended run that an endpoint lists. */
struct ListedEnd {
    std::uint64_t number = 0; ///< Number of the end in this life of the endpoint, from 1.
    TaskRef task; ///< The task.
    RunNumber run; ///< Number of the run.
    RunEnd end = RunEnd::Lapsed; ///< How it ended.
};

/** What an endpoint answered to a hold. */
struct HoldResult {
    enum class Kind : std::uint8_t {
        Answered, ///< The lists are valid.
        Fenced, ///< Refused: another leader has a higher token.
        OtherLife, ///< Another life of the endpoint answered: this one is over.
        Unhealthy, ///< Refused for now.
        Unknown, ///< No answer.
    };
    Kind kind = Kind::Unknown; ///< Which of them.
    std::int64_t clockMs = 0; ///< The endpoint's clock.
    std::vector<ListedRun> running; ///< What runs there.
    std::vector<ListedEnd> finished; ///< Ends not yet acknowledged.
    std::string detail; ///< For the log.
};

} // namespace Tanagertally::Cells
