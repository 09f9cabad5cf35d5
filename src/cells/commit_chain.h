/** The chain of a leader's transactions: each one is conditional on its predecessor, so that a late or repeated one has no effect. */
#pragma once

#include "cells/cell_action.h"
#include "cells/store_rows.h"

namespace Tanagertally::Cells {

/** A leader that was not advanced for longer than this gives no orders: another instance may take the lead after 0.9 s of silence. */
inline constexpr Duration SuspensionLimit = std::chrono::milliseconds(500);
/**
 * A leader whose lead the store has not confirmed for this long gives no orders, and its successor waits as long for endpoints that it
 * can't reach. Outages of the store last up to 7 s; recovery from a killed leader may take this long.
 */
inline constexpr Duration UnconfirmedLeadLimit = std::chrono::seconds(8);

/** Effect of a store answer on the chain. */
enum class ChainOutcome : std::uint8_t {
    Pending, ///< The outcome is not known yet.
    Applied, ///< The transaction in flight took effect.
    Rejected, ///< One of the transaction's own conditions didn't hold; nothing was written, and this instance still leads.
    LeadLost, ///< Another instance leads the cell.
};

/**
 * Commits the transactions of one leader of one cell, one at a time.
 *
 * Each transaction is conditional on the version of the cell's lead row and rewrites that row. If the answer to a transaction is lost,
 * reading the row shows its outcome; a transaction that the store carries out late finds another version and has no effect.
 * Thread safety: none.
 */
class CommitChain
{
public:
    /** Creates an idle chain; prepareClaim() has to be called before the first commit(). */
    CommitChain(CellName cell, InstanceName self, Incarnation incarnation);

    /**
     * Sets the lead row that the next transaction replaces, which takes the lead.
     * @param former The lead row as read; unset if there is none.
     * @param version Version of that row; 0 if there is none.
     */
    void prepareClaim(const std::optional<LeadRecord> &former, RowVersion version);

    /** @return Whether no transaction is in flight. */
    bool isIdle() const;

    /** @return Fencing token of this leader. @pre prepareClaim() was called. */
    FenceToken token() const;

    /** @return When the last request was sent whose answer showed that this instance leads. */
    TimePoint confirmedAt() const;

    /**
     * Sends a transaction.
     * @param releasesLead Whether the transaction releases the lead.
     * @pre isIdle()
     */
    void commit(TimePoint now, StoreTransaction content, bool releasesLead, std::vector<CellAction> &actions);

    /**
     * Handles the result of the transaction in flight.
     * @param rows Set to the rows of the conditions if the transaction was rejected.
     */
    ChainOutcome onCommitted(TimePoint now, TransactionResult result, std::vector<Row> &rows, std::vector<CellAction> &actions);

    /** Handles a read of the lead row that determines the outcome of the transaction in flight. */
    ChainOutcome onLeadRead(TimePoint now, const ReadResult &result, std::vector<CellAction> &actions);

    /** Repeats the request in flight if its pause is over. */
    void advance(TimePoint now, std::vector<CellAction> &actions);

private:
    enum class State : std::uint8_t {
        Idle, ///< No transaction is in flight.
        Sent, ///< The transaction is in flight.
        Reading, ///< The lead row is being read to determine the transaction's outcome.
        PausedBeforeSending, ///< The transaction will be sent again.
        PausedBeforeReading, ///< The lead row will be read again.
    };

    void send(TimePoint now, std::vector<CellAction> &actions);
    void read(TimePoint now, std::vector<CellAction> &actions);
    void pause(TimePoint now, State next);
    ChainOutcome settle(RowVersion version);
    bool isOwn(const Row &row) const;

    CellName cell;
    LeadRecord lead; ///< The lead row as this leader last wrote it or writes it next.
    RowVersion expectedVersion; ///< Last known version of the lead row.
    State state = State::Idle;
    StoreTransaction transaction; ///< The transaction in flight.
    TimePoint sentAt; ///< When the request in flight was sent.
    TimePoint lastConfirmedAt; ///< See confirmedAt().
    TimePoint resumeAt; ///< End of the current pause.
    Duration pauseLength{}; ///< Length of the next pause; doubles with each retry.
};

} // namespace Tanagertally::Cells
