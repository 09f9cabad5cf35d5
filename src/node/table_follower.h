/** Keeps a copy of a store table up to date: reads the whole table once, then follows its changes. */
#pragma once

#include "node/node_ports.h"

#include <map>
#include <memory>
#include <optional>

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
 * Follows the rows of one table that have an empty partition key.
 *
 * Calls are made one after the other. If another instance reports newer rows and none arrive, additional calls are made beside the one in
 * flight, which may hang. Whichever call is answered first counts: no answer is discarded because of a later call, so a slow store, link
 * or processor delays the rows but can't keep them away. Rows never return to an older version.
 * Thread safety: none; the store's answers have to arrive on the same thread.
 */
class TableFollower
{
public:
    /** Create an inactive follower. @param ports Must outlive the follower. */
    TableFollower(TableFollowerOptions options, const NodePorts &ports, TableHandler handler);

    /** Start reading the table. @pre The follower is inactive. */
    void start();

    /** Stop and discard all rows. start() may be called again. */
    void stop();

    /** Report that another instance has newer rows than this one. Must be repeated, at least every 2 s, while that is so. */
    void reportNewerRows(TimePoint now);

    /** Report the newest change of the table that another instance has applied; as reportNewerRows() if this one has not. */
    void reportChange(TimePoint now, RowVersion changeVersion);

    /** @return Version of the newest change of the table that was applied, or an upper bound of it; removals count. */
    RowVersion lastChangeVersion() const;

    /** @return Time at which the rows were last known to be current, TimePoint() if never. The handler gets the time of the former rows. */
    TimePoint currentAt() const;

    /** @return Time of the last failed call. */
    TimePoint lastFailureAt() const;

    /** Make the next call if it is due. Must be called about every 20 ms. */
    void tick(TimePoint now);

private:
    /** Whether a call belongs to the sequence of calls or is made beside it. */
    enum class CallKind : std::uint8_t { Regular, Additional };

    /** A read of the whole table, page by page. */
    struct Load {
        CallKind kind = CallKind::Regular;
        std::map<std::string, Row> rows; ///< Rows received so far.
        RowVersion version; ///< Lowest version of the pages received so far.
        TimePoint startedAt; ///< Time of the call for the first page.
    };

    void call(CallKind kind);
    void readPage(std::shared_ptr<Load> load, std::string firstKey);
    void onLoaded(Load &load, const ReadResult &lastPage);
    void follow(CallKind kind);
    void applyChanges(const ReadResult &result);
    bool applyChange(const Row &row);
    void scheduleCall(Duration delay);
    void onFailed(CallKind kind, const ReadResult &result);
    void makeAdditionalCall(TimePoint now);
    void endCall(CallKind kind);
    void noteProgress();

    TableFollowerOptions options;
    const NodePorts &ports; ///< Access to the store.
    TableHandler handler;
    std::map<std::string, Row> rows; ///< Current rows by key.
    RowVersion version; ///< Changes up to this version have been applied.
    RowVersion changeVersion; ///< Version of the newest change that was applied.
    TimePoint confirmedAt; ///< Begin of the last call whose answer showed that the rows are current.
    bool mustLoad = true; ///< Whether the next call must read the whole table.
    std::uint32_t failures = 0; ///< Consecutive failed regular calls.
    std::optional<TimePoint> nextCallAt; ///< Time of the next regular call; unset while one is in flight.
    Duration retryDelay{}; ///< Delay before the next retry; doubles with each failure.
    TimePoint failedAt; ///< Time of the last failed call.
    TimePoint reportedAt; ///< Time of the last report of newer rows.
    std::optional<TimePoint> additionalCallAt; ///< Time of the next additional call; unset if no newer rows are awaited.
    Duration additionalCallDelay{}; ///< Delay before the next additional call; doubles with each one.
    std::uint32_t additionalCalls = 0; ///< Additional calls in flight.
    std::uint64_t generation = 0; ///< Incremented by stop(); answers to calls of an earlier generation are ignored.
};

} // namespace Tanagertally::Cells
