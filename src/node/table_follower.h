/** Keeps up with a table of the store: reads it whole, then follows its changes. */
#pragma once

#include "node/node_ports.h"

#include <map>

namespace Tanagertally::Cells {

/** Set-up of a follower. */
struct TableFollowerOptions {
    std::string table; ///< The table.
    std::string from; ///< First key that matters; empty for all.
    Duration pause{}; ///< Between two calls, so that frequent changes come in batches.
    Duration wait = std::chrono::seconds(1); ///< Longest wait for a change.
};

/** Called with all rows, by key, whenever one has changed. */
using TableHandler = std::function<void(const std::map<std::string, Row> &)>;

/**
 * Follows one table, in its empty partition. Thread safety: none; the store's answers come on the same thread.
 */
class TableFollower
{
public:
    /** Make a follower; start() begins. */
    TableFollower(TableFollowerOptions options, const NodePorts &ports, TableHandler handler);

    /** Begin to read. */
    void start();

    /** Stop, and forget what was read; start() begins anew. */
    void stop();

    /** Read the table anew, unless that was done a moment ago: a call in flight may hang. */
    void restart(TimePoint now);

    /** @return When a call failed last. */
    TimePoint lastFailure() const;

    /** Repeat what failed. To be called every 20 ms or so. */
    void tick(TimePoint now);

private:
    void readPage(std::string from);
    void follow();
    void followAfter(Duration delay);
    void onFailed(const ReadResult &result, bool startsOver);
    void apply(const Row &row);

    TableFollowerOptions options; ///< Set-up.
    const NodePorts &ports; ///< The store.
    TableHandler handler; ///< Hears of changes.
    std::map<std::string, Row> rows; ///< By key.
    std::map<std::string, Row> incoming; ///< Rows of the read in progress.
    RowVersion version; ///< Changes up to here are known.
    bool isWhole = false; ///< Whether the table was read.
    bool isFailing = false; ///< Whether the last call failed.
    bool isWaiting = false; ///< Whether to try again at `retryAt`.
    TimePoint retryAt; ///< When.
    Duration pause{}; ///< Length of the last pause.
    TimePoint failedAt; ///< When a call failed last.
    TimePoint restartedAt; ///< When restart() had an effect last.
    std::uint64_t generation = 0; ///< Tells answers to calls that were given up apart.
};

} // namespace Tanagertally::Cells
