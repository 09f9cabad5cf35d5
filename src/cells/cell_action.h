/** Actions that a cell leader emits, and the results that are reported to it; the node carries the actions out. */
#pragma once

#include "cells/fleet_type.h"
#include "cells/job_transfer.h"
#include "cells/job_type.h"
#include "cells/store_type.h"

#include <string>
#include <variant>
#include <vector>

namespace Tanagertally::Cells {

/** Commits a transaction; its result is reported through onCommitted(). */
struct CommitTransaction {
    StoreTransaction transaction;
};

/** Reads the lead row of the cell; the result is reported through onLeadRead(). */
struct ReadLeadRow {
    RowKey key;
};

/** Reads all stored rows of the cell; they are reported through onRecovered() once the read is complete. */
struct ReadCellRows {
    CellName cell;
};

/** Starts a run of a task; the result is reported through onStarted(). */
struct StartRun {
    EndpointName endpoint;
    NetAddress address;
    TaskRef task;
    RunNumber run;
    std::shared_ptr<const std::string> payload; ///< Payload of the job.
    std::int64_t deadlineMs = 0; ///< On the endpoint's clock: the endpoint refuses the start after this time and extends its lease to it.
    FenceToken token; ///< Token of this leader.
};

/** Stops a run of a task, or prevents it from starting; the result is reported through onStopped(). */
struct StopRun {
    EndpointName endpoint;
    NetAddress address;
    TaskRef task;
    RunNumber run;
    FenceToken token; ///< Token of this leader.
};

/** Renews the lease of the runs on an endpoint and lists its running and ended runs; the result is reported through onHoldAnswered(). */
struct HoldEndpoint {
    EndpointName endpoint;
    NetAddress address;
    FenceToken token; ///< Token of this leader.
    std::optional<std::int64_t> deadlineMs; ///< New end of the lease on the endpoint's clock; unset leaves the lease unchanged.
    std::uint64_t acknowledgedEnd = 0; ///< Ends up to this number are stored; the endpoint may discard them.
    Duration maxDelay{}; ///< How long the endpoint may delay its answer until a run ends.
};

/** Answers a submission. */
struct AnswerSubmission {
    CallId call;
    SubmitAnswer answer;
};

/** Answers a request to cancel a job. */
struct AnswerCancel {
    CallId call;
    JobAnswer answer;
};

/** Reports that the lead is lost or released; this leader emits no further actions. */
struct LeadEnded {
    InstanceName leader; ///< The current leader if the store named it; empty otherwise.
    FenceToken token; ///< Fencing token of the current leader.
};

/** Tells the leader of a cell of jobs that were handed over to the cell; it confirms them through onTransfersConfirmed(). */
struct AnnounceTransfers {
    CellName target; ///< The cell that has the jobs now.
    std::vector<JobTransfer> transfers;
};

/** Confirms to the leader of a cell that its transfers are known here. */
struct ConfirmTransfers {
    CellName source; ///< The cell that has handed the jobs over.
    std::vector<JobId> jobs;
};

/** Reads the rows of a job that was handed over to this cell; they are reported through onTransferredJobRead(). */
struct ReadTransferredJob {
    CellName cell;
    JobId job;
};

/** Writes one log line. */
struct WriteLogLine {
    std::string event; ///< Name of the event.
    std::vector<std::pair<std::string, std::string>> fields; ///< Inputs and outcome of the decision.
    bool isWarning = false; ///< Whether the line has severity warning.
};

using CellAction = std::variant<CommitTransaction, ReadLeadRow, ReadCellRows, StartRun, StopRun, HoldEndpoint, AnswerSubmission,
                                AnswerCancel, AnnounceTransfers, ConfirmTransfers, ReadTransferredJob, LeadEnded, WriteLogLine>;

/** Result of a start order. */
struct StartResult {
    enum class Kind : std::uint8_t {
        Started, ///< The endpoint has started the run.
        NoCapacity, ///< Refused: the endpoint lacks free capacity.
        TooLate, ///< Refused: the order's deadline has passed.
        Fenced, ///< Refused: another leader has a higher token.
        Superseded, ///< Refused: a run of the task with this or a higher number was stopped or has ended there.
        Unhealthy, ///< Refused: the endpoint accepts no work now.
        Rejected, ///< Refused as malformed.
        OtherIncarnation, ///< Another incarnation of the endpoint answered; the one addressed no longer exists.
        NotSent, ///< The order didn't leave this process.
        Unknown, ///< No answer: the order may have been carried out.
    };
    Kind kind = Kind::Unknown;
    std::string detail; ///< Detail for the log.
};

/** Result of a stop order. */
enum class StopResult : std::uint8_t {
    Confirmed, ///< The run is stopped, or will never start.
    Fenced, ///< Refused: another leader has a higher token.
    OtherIncarnation, ///< Another incarnation of the endpoint answered; the one addressed no longer exists.
    Unknown, ///< No answer: the order may have been carried out.
};

/** A running run as listed by its endpoint. */
struct ListedRun {
    TaskRef task;
    RunNumber run;
    std::uint32_t percent = 0; ///< Progress in percent as reported by the endpoint; the leader does not use it.
};

/** An ended run as listed by its endpoint. */
struct ListedEnd {
    std::uint64_t number = 0; ///< Number of the end in this incarnation of the endpoint, from 1.
    TaskRef task;
    RunNumber run;
    RunOutcome outcome = RunOutcome::Lapsed;
};

/** Result of a hold. */
struct HoldResult {
    enum class Kind : std::uint8_t {
        Answered, ///< The lists are valid.
        Fenced, ///< Refused: another leader has a higher token.
        OtherIncarnation, ///< Another incarnation of the endpoint answered; the one addressed no longer exists.
        Unhealthy, ///< Refused for now.
        Unknown, ///< No answer.
    };
    Kind kind = Kind::Unknown;
    std::int64_t clockMs = 0; ///< Reading of the endpoint's clock in milliseconds.
    std::optional<std::int64_t> born; ///< Start of the incarnation that answered, in Unix milliseconds; unset if it isn't reported.
    std::vector<ListedRun> running; ///< Current runs.
    std::vector<ListedEnd> finished; ///< Ends that are not acknowledged yet.
    std::string detail; ///< Detail for the log.
};

} // namespace Tanagertally::Cells
