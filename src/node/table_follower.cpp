#include "node/table_follower.h"

#include <algorithm>

namespace Tanagertally::Cells {

namespace {

constexpr Duration FirstPause = std::chrono::milliseconds(50); // A refused call says that nothing was done; ask again soon.
constexpr Duration LongestPause = std::chrono::milliseconds(400); // A change has to be in force 2 s after the store is back.

constexpr Duration RestartInterval = std::chrono::milliseconds(400); // A read takes 10 ms, or 250 ms when the store is slow.

} // namespace

TableFollower::TableFollower(TableFollowerOptions followerOptions, const NodePorts &nodePorts, TableHandler changeHandler)
    : options(std::move(followerOptions))
    , ports(nodePorts)
    , handler(std::move(changeHandler))
    , pause(FirstPause)
{
}

void TableFollower::start()
{
    this->incoming.clear();
    this->version = RowVersion();
    this->readPage(this->options.from);
}

void TableFollower::stop()
{
    ++this->generation;
    this->isWaiting = false;
    this->isWhole = false;
    this->rows.clear();
}

void TableFollower::tick(TimePoint now)
{
    if (!this->isWaiting || now < this->retryAt) {
        return;
    }
    this->isWaiting = false;
    if (this->isWhole) {
        this->follow();
        return;
    }
    this->start();
}

void TableFollower::readPage(std::string from)
{
    this->ports.read({this->options.table, "", std::move(from), 0}, [this, asked = this->generation](const ReadResult &result) {
        if (asked != this->generation) {
            return;
        }
        if (!result.isAnswered) {
            this->onFailed(result, true);
            return;
        }
        for (const Row &row : result.rows) {
            this->incoming[row.key.key] = row;
        }
        // Pages are read one after the other: changes since the first one are followed from there.
        this->version = this->version == RowVersion() ? result.version : std::min(this->version, result.version);
        if (result.hasMore && !result.rows.empty()) {
            this->readPage(result.rows.back().key.key + '\0');
            return;
        }
        this->rows = std::exchange(this->incoming, {});
        this->isWhole = true;
        this->isFailing = false;
        this->pause = FirstPause;
        this->handler(this->rows);
        this->followAfter(this->options.pause);
    });
}

void TableFollower::follow()
{
    this->ports.follow(this->options.table, this->version, this->options.wait, [this, asked = this->generation](const ReadResult &result) {
        if (asked != this->generation) {
            return;
        }
        if (!result.isAnswered) {
            this->onFailed(result, result.historyLost);
            return;
        }
        if (this->isFailing) {
            this->isFailing = false;
            this->ports.log({"store-feed-back", {{"table", this->options.table}}, false});
        }
        this->pause = FirstPause;
        for (const Row &row : result.rows) {
            this->apply(row);
        }
        this->version = std::max(this->version, result.version);
        if (!result.rows.empty()) {
            this->handler(this->rows);
        }
        this->followAfter(this->options.pause);
    });
}

void TableFollower::followAfter(Duration delay)
{
    if (delay == Duration{}) {
        this->follow();
        return;
    }
    this->isWaiting = true;
    this->retryAt = this->ports.now() + delay;
}

void TableFollower::restart(TimePoint now)
{
    if (now < this->restartedAt + RestartInterval) {
        return;
    }
    this->restartedAt = now;
    ++this->generation;
    this->isWaiting = false;
    this->start();
}

TimePoint TableFollower::lastFailure() const
{
    return this->failedAt;
}

void TableFollower::apply(const Row &row)
{
    if (!row.key.part.empty() || row.key.key < this->options.from) {
        return;
    }
    const auto known = this->rows.find(row.key.key);
    if (known != this->rows.end() && row.version < known->second.version) {
        return;
    }
    if (row.removed) {
        this->rows.erase(row.key.key);
        return;
    }
    this->rows[row.key.key] = row;
}

void TableFollower::onFailed(const ReadResult &result, bool startsOver)
{
    if (!this->isFailing || startsOver) {
        this->ports.log({"store-feed-lost",
                         {{"table", this->options.table}, {"history_lost", result.historyLost ? "yes" : "no"}, {"error", result.error}},
                         true});
    }
    this->isFailing = true;
    this->failedAt = this->ports.now();
    this->isWhole = this->isWhole && !startsOver;
    this->isWaiting = true;
    this->retryAt = this->ports.now() + (result.historyLost ? Duration{} : this->pause);
    this->pause = std::min(2 * this->pause, LongestPause);
}

} // namespace Tanagertally::Cells
