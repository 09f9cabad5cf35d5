/** Keeps a copy of a store table up to date: reads the whole table once, then follows its changes. */
#pragma once

#include "node/node_ports.h"

#include <map>

namespace Tanagertally::Cells {

/** Options of a TableFollower. */
struct TableFollowerOptions {
    std::string table; ///< Name of the table.
    std::string firstKey; ///< Rows with a smaller key are ignored; empty for all rows.
    Duration batchInterval{}; ///< Delay between two calls to the store, so that frequent changes arrive in batches.
    Duration maxWait = std::chrono::seconds(1); ///< Maximum time that the store holds a call until a change occurs.
};

/** Called with all rows, by key, after the initial read and after each batch of changes. */
using TableHandler = std::function<void(const std::map<std::string, Row> &)>;

/**
 * Follows the rows of one table that have an empty partition key. Thread safety: none; the store's answers have to arrive on the same
 * thread.
 */
class TableFollower
{
public:
    /** Create an inactive follower. @param ports Must outlive the follower. */
    TableFollower(TableFollowerOptions options, const NodePorts &ports, TableHandler handler);

    /** Start reading the table. */
    void start();

    /** Stop and discard all rows. start() may be called again. */
    void stop();

    /** Read the whole table again without waiting for a call in flight, which may hang. Has no effect within 400 ms of the last restart. */
    void restart(TimePoint now);

    /** @return Time of the last failed call. */
    TimePoint lastFailureAt() const;

    /** Make the next call if it is due. Must be called about every 20 ms. */
    void tick(TimePoint now);

private:
    void readPage(std::string firstKey);
    void follow();
    void logLoaded(const ReadResult &lastPage) const;
    void logDropped(const ReadResult &result, TimePoint calledAt) const;
    void followAfter(Duration delay);
    void onFailed(const ReadResult &result, bool mustReload);
    void applyChange(const Row &row);

    TableFollowerOptions options;
    const NodePorts &ports; ///< Access to the store.
    TableHandler handler;
    std::map<std::string, Row> rows; ///< Current rows by key.
    std::map<std::string, Row> loadingRows; ///< Rows received by the full read in progress.
    TimePoint loadStartedAt; ///< Time of the call for the first page of the last full read.
    RowVersion version; ///< Changes up to this version have been applied.
    bool isLoaded = false; ///< Whether the full read has completed.
    bool isFailing = false; ///< Whether the last call failed.
    bool isCallScheduled = false; ///< Whether the next call is due at `nextCallAt`.
    TimePoint nextCallAt; ///< Valid only while `isCallScheduled`.
    Duration retryDelay{}; ///< Delay before the next retry; doubles with each failure.
    TimePoint failedAt; ///< Time of the last failed call.
    TimePoint restartedAt; ///< Time of the last restart() that had an effect.
    std::uint64_t generation = 0; ///< Incremented by stop() and restart(); answers to calls of an earlier generation are ignored.
};

} // namespace Tanagertally::Cells
