#include "node/table_follower.h"

#include "core/time_func.h"

#include <algorithm>

namespace Tanagertally::Cells {

namespace {

constexpr Duration FirstRetryDelay = std::chrono::milliseconds(50); // A refused call had no effect and can be repeated soon.
constexpr Duration MaxRetryDelay = std::chrono::milliseconds(400); // A change must be in force 2 s after the end of a store outage.

constexpr Duration RestartInterval
    = std::chrono::milliseconds(400); // Longer than a read, which takes 10 ms, or 250 ms if the store is slow.

} // namespace

TableFollower::TableFollower(TableFollowerOptions followerOptions, const NodePorts &nodePorts, TableHandler changeHandler)
    : options(std::move(followerOptions))
    , ports(nodePorts)
    , handler(std::move(changeHandler))
    , retryDelay(FirstRetryDelay)
{
}

void TableFollower::start()
{
    this->loadingRows.clear();
    this->version = RowVersion();
    this->loadStartedAt = this->ports.now();
    this->readPage(this->options.firstKey);
}

void TableFollower::stop()
{
    ++this->generation;
    this->isCallScheduled = false;
    this->isLoaded = false;
    this->rows.clear();
}

void TableFollower::tick(TimePoint now)
{
    if (!this->isCallScheduled || now < this->nextCallAt) {
        return;
    }
    this->isCallScheduled = false;
    if (this->isLoaded) {
        this->follow();
        return;
    }
    this->start();
}

void TableFollower::readPage(std::string firstKey)
{
    this->ports.read({this->options.table, "", std::move(firstKey), 0},
                     [this, expected = this->generation, calledAt = this->ports.now()](const ReadResult &result) {
                         if (expected != this->generation) {
                             this->logDropped(result, calledAt);
                             return;
                         }
                         if (!result.isAnswered) {
                             this->onFailed(result, true);
                             return;
                         }
                         for (const Row &row : result.rows) {
                             this->loadingRows[row.key.key] = row;
                         }
                         // Rows may change between the reads of two pages, so changes are followed from the version of the first one.
                         this->version = this->version == RowVersion() ? result.version : std::min(this->version, result.version);
                         if (result.hasMore && !result.rows.empty()) {
                             this->readPage(result.rows.back().key.key + '\0');
                             return;
                         }
                         this->rows = std::exchange(this->loadingRows, {});
                         this->isLoaded = true;
                         this->isFailing = false;
                         this->retryDelay = FirstRetryDelay;
                         this->logLoaded(result);
                         this->handler(this->rows);
                         this->followAfter(this->options.batchInterval);
                     });
}

void TableFollower::logLoaded(const ReadResult &lastPage) const
{
    std::size_t bytes = 0;
    for (const auto &[key, row] : this->rows) {
        bytes += row.value.size();
    }
    this->ports.log({"store-feed-loaded",
                     {{"table", this->options.table},
                      {"rows", std::to_string(this->rows.size())},
                      {"bytes", std::to_string(bytes)},
                      {"version", std::to_string(this->version.value)},
                      {"took_ms", formatMilliseconds(this->ports.now() - this->loadStartedAt)},
                      {"decode_ms", formatMilliseconds(lastPage.decodeTime)}},
                     false});
}

void TableFollower::logDropped(const ReadResult &result, TimePoint calledAt) const
{
    this->ports.log({"store-feed-answer-dropped",
                     {{"table", this->options.table},
                      {"answered", result.isAnswered ? "yes" : "no"},
                      {"rows", std::to_string(result.rows.size())},
                      {"version", std::to_string(result.version.value)},
                      {"took_ms", formatMilliseconds(this->ports.now() - calledAt)},
                      {"decode_ms", formatMilliseconds(result.decodeTime)}},
                     false});
}

void TableFollower::follow()
{
    this->ports.follow(this->options.table, this->version, this->options.maxWait,
                       [this, expected = this->generation, calledAt = this->ports.now()](const ReadResult &result) {
                           if (expected != this->generation) {
                               this->logDropped(result, calledAt);
                               return;
                           }
                           if (!result.isAnswered) {
                               this->onFailed(result, result.isHistoryLost);
                               return;
                           }
                           if (this->isFailing) {
                               this->isFailing = false;
                               this->ports.log({"store-feed-back", {{"table", this->options.table}}, false});
                           }
                           this->retryDelay = FirstRetryDelay;
                           for (const Row &row : result.rows) {
                               this->applyChange(row);
                           }
                           this->version = std::max(this->version, result.version);
                           if (!result.rows.empty()) {
                               this->handler(this->rows);
                           }
                           this->followAfter(this->options.batchInterval);
                       });
}

void TableFollower::followAfter(Duration delay)
{
    if (delay == Duration{}) {
        this->follow();
        return;
    }
    this->isCallScheduled = true;
    this->nextCallAt = this->ports.now() + delay;
}

void TableFollower::restart(TimePoint now)
{
    if (now < this->restartedAt + RestartInterval) {
        return;
    }
    this->restartedAt = now;
    this->ports.log({"store-feed-restarted",
                     {{"table", this->options.table},
                      {"version", std::to_string(this->version.value)},
                      {"loaded", this->isLoaded ? "yes" : "no"},
                      {"call_in_flight", this->isCallScheduled ? "no" : "yes"}},
                     false});
    ++this->generation;
    this->isCallScheduled = false;
    this->start();
}

TimePoint TableFollower::lastFailureAt() const
{
    return this->failedAt;
}

void TableFollower::applyChange(const Row &row)
{
    if (!row.key.partition.empty() || row.key.key < this->options.firstKey) {
        return;
    }
    const auto known = this->rows.find(row.key.key);
    if (known != this->rows.end() && row.version < known->second.version) {
        return;
    }
    if (row.isRemoved) {
        this->rows.erase(row.key.key);
        return;
    }
    this->rows[row.key.key] = row;
}

void TableFollower::onFailed(const ReadResult &result, bool mustReload)
{
    if (!this->isFailing || mustReload) {
        this->ports.log({"store-feed-lost",
                         {{"table", this->options.table}, {"history_lost", result.isHistoryLost ? "yes" : "no"}, {"error", result.error}},
                         true});
    }
    this->isFailing = true;
    this->failedAt = this->ports.now();
    this->isLoaded = this->isLoaded && !mustReload;
    this->isCallScheduled = true;
    this->nextCallAt = this->ports.now() + (result.isHistoryLost ? Duration{} : this->retryDelay);
    this->retryDelay = std::min(2 * this->retryDelay, MaxRetryDelay);
}

} // namespace Tanagertally::Cells
