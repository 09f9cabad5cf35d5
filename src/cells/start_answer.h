/** What a leader concludes from the answer to a start order, given what it knows of the run when the answer arrives. */
#pragma once

#include "cells/cell_action.h"
#include "cells/cell_endpoint.h"

#include <optional>

namespace Tanagertally::Cells {

/** An answer to a start order, and what is known of the run when it arrives. */
struct StartAnswer {
    RunPhase phase = RunPhase::Starting;
    bool isRepeated = false; ///< Whether another order to start the run was sent, or may have been.
    bool isListed = false; ///< Whether the present incarnation of the endpoint has listed the run.
    StartResult::Kind kind = StartResult::Kind::Unknown;
};

/** What the leader does about an answer. */
enum class StartReaction : std::uint8_t {
    None, ///< Nothing: a listing or a stop that is under way decides about the run.
    RecordStart, ///< Counts the job as running.
    AwaitListing, ///< Asks the endpoint for its listing, which has the run or its end.
    Repeat, ///< Sends the order again; if it can't, as for Stop.
    Stop, ///< Orders a stop, whose confirmation or a listing decides about the run.
    Drop, ///< Gives the run up, so that its task can be started again.
    DropAll, ///< Gives up all runs of the endpoint, whose incarnation no longer exists.
    EndLead, ///< Ends the lead, as another leader has a higher token.
};

/** What the leader concludes from an answer. */
struct StartDecision {
    StartReaction reaction = StartReaction::None;
    std::optional<RunPhase> phase; ///< Phase of the run afterwards; unset if the run is given up.
    bool isRefused = false; ///< Whether it is certain that the run was never started.

    friend bool operator==(const StartDecision &, const StartDecision &) = default;
};

/**
 * Decides about an answer to a start order. A run is given up only if it certainly can't exist any more or start later: its only order was
 * refused and no listing has shown it, or its endpoint's incarnation is over. Thread safety: any thread.
 */
StartDecision decideStart(const StartAnswer &answer);

} // namespace Tanagertally::Cells
