/** The chain of a leader's transactions: each one depends on the one before, so that a late or repeated one has no effect. */
#pragma once

#include "cells/cell_action.h"
#include "cells/store_rows.h"

namespace Tanagertally::Cells {

/** A leader that the store has not confirmed for so long gives no orders, and its successor waits as long for what it can't ask. */
inline constexpr Duration StandstillLimit = std::chrono::milliseconds(500); // Others may take the lead after 0.9 s of silence.
inline constexpr Duration UnconfirmedLeadLimit = std::chrono::seconds(8); // Outages of the store last up to 7 s; a kill may wait for it.

/** What an answer of the store meant for the chain. */
enum class ChainStep : std::uint8_t {
    Waiting, ///< Nothing is settled yet.
    Applied, ///< The transaction in flight took effect.
    Rejected, ///< A condition of its own didn't hold; nothing was done, and the lead stands.
    Deposed, ///< Another instance leads the cell.
};

/**
 * Transactions of one leader of one cell, one at a time.
 *
 * Each transaction is conditional on the version of the cell's lead row and rewrites it. One whose answer is lost is settled by
 * reading that row; an older one that the store carries out late finds another version and does nothing.
 * Thread safety: none.
 */
class CommitChain
{
public:
    /** Make the chain of a leader. */
    CommitChain(CellName cell, InstanceName self, Incarnation incarnation);

    /**
     * Begin to take the lead: the next transaction is conditional on this.
     * @param former Who led before; nothing if nobody did.
     * @param version Version of the lead row; 0 if there is none.
     */
    void adopt(const std::optional<LeadRecord> &former, RowVersion version);

    /** @return Whether no transaction is in flight. */
    bool isIdle() const;

    /** @return Token of this leader. @pre adopt() was called. */
    FenceToken token() const;

    /** @return When the store was last asked a question whose answer showed that this instance leads. */
    TimePoint confirmedAt() const;

    /**
     * Send a transaction.
     * @param releases Whether it gives up the lead.
     * @pre isIdle()
     */
    void commit(TimePoint now, StoreTransaction content, bool releases, std::vector<CellAction> &actions);

    /**
     * Take the result of the transaction in flight.
     * @param rows Set to the rows of the conditions, if Rejected.
     */
    ChainStep onCommitted(TimePoint now, TransactionResult result, std::vector<Row> &rows, std::vector<CellAction> &actions);

    /** Take the lead row, read to settle the transaction in flight. */
    ChainStep onLeadRead(TimePoint now, const ReadResult &result, std::vector<CellAction> &actions);

    /** Repeat what has to be repeated by now. */
    void advance(TimePoint now, std::vector<CellAction> &actions);

private:
    enum class State : std::uint8_t {
        Idle, ///< Nothing is in flight.
        Sent, ///< The transaction is in flight.
        Reading, ///< Its outcome is being read.
        PausedBeforeSending, ///< To be sent again.
        PausedBeforeReading, ///< Its outcome is to be read again.
    };

    void send(TimePoint now, std::vector<CellAction> &actions);
    void read(TimePoint now, std::vector<CellAction> &actions);
    void pause(TimePoint now, State next);
    ChainStep settle(RowVersion version);
    bool isOwn(const Row &row) const;

    CellName cell; ///< The cell.
    LeadRecord lead; ///< The lead row as this leader writes it next.
    RowVersion expected; ///< Version of the lead row as last known.
    State state = State::Idle; ///< What is going on.
    StoreTransaction transaction; ///< The one in flight.
    TimePoint sentAt; ///< When the question in flight was sent.
    TimePoint lastConfirmed; ///< See confirmedAt().
    TimePoint resumeAt; ///< End of the pause.
    Duration pauseLength{}; ///< Length of the last pause.
};

} // namespace Tanagertally::Cells
