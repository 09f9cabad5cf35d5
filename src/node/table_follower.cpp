#include "node/table_follower.h"

#include "core/time_func.h"

#include <algorithm>
#include <cassert>

namespace Tanagertally::Cells {

namespace {

constexpr Duration FirstRetryDelay = std::chrono::milliseconds(50); // A refused call had no effect and can be repeated soon.
constexpr Duration MaxRetryDelay = std::chrono::milliseconds(400); // A change must be in force 2 s after the end of a store outage.
constexpr Duration FirstAdditionalCallDelay
    = std::chrono::milliseconds(400); // Longer than a call, which takes 10 ms, or 250 ms if the store is slow.
constexpr Duration MaxAdditionalCallDelay = std::chrono::milliseconds(1600);
constexpr std::uint32_t MaxAdditionalCalls = 2; // Limits the load on an instance whose calls are slow because it is overloaded.
constexpr Duration ReportLifetime = std::chrono::milliseconds(2500); // Instances without leads advertise every 2 s.

} // namespace

TableFollower::TableFollower(TableFollowerOptions followerOptions, const NodePorts &nodePorts, TableHandler changeHandler)
    : options(std::move(followerOptions))
    , ports(nodePorts)
    , handler(std::move(changeHandler))
    , retryDelay(FirstRetryDelay)
    , additionalCallDelay(FirstAdditionalCallDelay)
{
}

void TableFollower::start()
{
    assert(this->mustLoad && this->rows.empty());
    this->call(CallKind::Regular);
}

void TableFollower::stop()
{
    ++this->generation;
    this->nextCallAt.reset();
    this->noteProgress();
    this->additionalCalls = 0;
    this->mustLoad = true;
    this->version = RowVersion();
    this->changeVersion = RowVersion();
    this->confirmedAt = TimePoint();
    this->rows.clear();
}

void TableFollower::tick(TimePoint now)
{
    this->makeAdditionalCall(now);
    if (!this->nextCallAt || now < *this->nextCallAt) {
        return;
    }
    this->call(CallKind::Regular);
}

void TableFollower::call(CallKind kind)
{
    if (kind == CallKind::Regular) {
        this->nextCallAt.reset();
    }
    if (!this->mustLoad) {
        this->follow(kind);
        return;
    }
    auto load = std::make_shared<Load>();
    load->kind = kind;
    load->startedAt = this->ports.now();
    this->readPage(std::move(load), this->options.firstKey);
}

void TableFollower::readPage(std::shared_ptr<Load> load, std::string firstKey)
{
    const auto onAnswer = [this, load = std::move(load), expected = this->generation](const ReadResult &result) {
        if (expected != this->generation) {
            return;
        }
        if (!result.isAnswered) {
            this->endCall(load->kind);
            this->onFailed(load->kind, result);
            return;
        }
        for (const Row &row : result.rows) {
            load->rows[row.key.key] = row;
        }
        // Rows may change between the reads of two pages, so changes are followed from the version of the first one.
        load->version = load->version == RowVersion() ? result.version : std::min(load->version, result.version);
        if (result.hasMore && !result.rows.empty()) {
            this->readPage(load, result.rows.back().key.key + '\0');
            return;
        }
        this->onLoaded(*load, result);
    };
    this->ports.read({this->options.table, "", std::move(firstKey), 0}, onAnswer);
}

void TableFollower::onLoaded(Load &load, const ReadResult &lastPage)
{
    this->endCall(load.kind);
    if (load.version < this->version && !this->mustLoad) {
        // Another call has loaded the table.
        if (load.kind == CallKind::Regular) {
            this->scheduleCall(this->options.batchInterval);
        }
        return;
    }
    if (load.version < this->version) {
        ReadResult outdated;
        outdated.error = "version " + std::to_string(load.version.value) + " is older than " + std::to_string(this->version.value);
        this->onFailed(load.kind, outdated);
        return;
    }
    const bool wasFirst = this->version == RowVersion();
    const auto isSameRow
        = [](const auto &left, const auto &right) { return left.first == right.first && left.second.version == right.second.version; };
    const bool hasChanged = wasFirst || !std::ranges::equal(load.rows, this->rows, isSameRow);
    const auto isGone = [&load](const auto &entry) { return !load.rows.contains(entry.first); };
    if (std::ranges::any_of(this->rows, isGone)) {
        this->changeVersion = load.version; // A read doesn't tell the version of a removal.
    }
    this->rows = std::move(load.rows);
    for (const auto &[key, row] : this->rows) {
        this->changeVersion = std::max(this->changeVersion, row.version);
    }
    this->version = load.version;
    this->mustLoad = false;
    this->ports.log({"store-feed-loaded",
                     {{"table", this->options.table},
                      {"rows", std::to_string(this->rows.size())},
                      {"version", std::to_string(this->version.value)},
                      {"took_ms", formatMilliseconds(this->ports.now() - load.startedAt)},
                      {"decode_ms", formatMilliseconds(lastPage.decodeTime)}},
                     false});
    if (hasChanged) {
        this->noteProgress();
        this->handler(this->rows);
    }
    this->confirmedAt = std::max(this->confirmedAt, load.startedAt);
    if (load.kind == CallKind::Regular) {
        this->scheduleCall(this->options.batchInterval);
    }
}

void TableFollower::follow(CallKind kind)
{
    const Duration wait = kind == CallKind::Regular ? this->options.maxWait : Duration{};
    const TimePoint calledAt = this->ports.now();
    this->ports.follow(
        this->options.table, this->version, wait, [this, kind, calledAt, expected = this->generation](const ReadResult &result) {
            if (expected != this->generation) {
                return;
            }
            this->endCall(kind);
            if (!result.isAnswered) {
                this->mustLoad = this->mustLoad || result.isHistoryLost;
                this->onFailed(kind, result);
                return;
            }
            this->applyChanges(result);
            this->confirmedAt = std::max(this->confirmedAt, calledAt);
            if (kind == CallKind::Additional) {
                return;
            }
            if (this->failures > 0) {
                this->ports.log({"store-feed-back",
                                 {{"table", this->options.table}, {"failures", std::to_string(std::exchange(this->failures, 0))}},
                                 false});
            }
            this->retryDelay = FirstRetryDelay;
            this->scheduleCall(this->options.batchInterval);
        });
}

void TableFollower::applyChanges(const ReadResult &result)
{
    if (result.version <= this->version) {
        return; // Another call has been answered with these changes.
    }
    bool hasChanged = false;
    for (const Row &row : result.rows) {
        hasChanged = this->applyChange(row) || hasChanged;
    }
    this->version = result.version;
    if (hasChanged) {
        this->noteProgress();
        this->handler(this->rows);
    }
}

bool TableFollower::applyChange(const Row &row)
{
    this->changeVersion = std::max(this->changeVersion, row.version);
    if (!row.key.partition.empty() || row.key.key < this->options.firstKey) {
        return false;
    }
    const auto known = this->rows.find(row.key.key);
    const bool isKnown = known != this->rows.end();
    if (isKnown && row.version < known->second.version) {
        return false;
    }
    if (row.isRemoved) {
        return this->rows.erase(row.key.key) > 0;
    }
    if (isKnown && row.version == known->second.version) {
        return false;
    }
    this->rows[row.key.key] = row;
    return true;
}

void TableFollower::scheduleCall(Duration delay)
{
    if (delay == Duration{}) {
        this->call(CallKind::Regular);
        return;
    }
    this->nextCallAt = this->ports.now() + delay;
}

void TableFollower::reportNewerRows(TimePoint now)
{
    this->reportedAt = now;
    if (!this->additionalCallAt) {
        this->additionalCallAt = now + this->additionalCallDelay;
    }
}

void TableFollower::makeAdditionalCall(TimePoint now)
{
    if (!this->additionalCallAt || now < *this->additionalCallAt || this->additionalCalls == MaxAdditionalCalls) {
        return;
    }
    if (now - this->reportedAt > ReportLifetime) {
        this->noteProgress();
        return;
    }
    ++this->additionalCalls;
    this->additionalCallDelay = std::min(2 * this->additionalCallDelay, MaxAdditionalCallDelay);
    this->additionalCallAt = now + this->additionalCallDelay;
    this->ports.log({"store-feed-additional-call",
                     {{"table", this->options.table},
                      {"version", std::to_string(this->version.value)},
                      {"in_flight", std::to_string(this->additionalCalls)}},
                     false});
    this->call(CallKind::Additional);
}

void TableFollower::endCall(CallKind kind)
{
    if (kind == CallKind::Additional) {
        assert(this->additionalCalls > 0);
        --this->additionalCalls;
    }
}

void TableFollower::noteProgress()
{
    this->additionalCallAt.reset();
    this->additionalCallDelay = FirstAdditionalCallDelay;
}

void TableFollower::reportChange(TimePoint now, RowVersion newest)
{
    if (this->version < newest) {
        this->reportNewerRows(now);
    }
}

RowVersion TableFollower::lastChangeVersion() const
{
    return this->changeVersion;
}

TimePoint TableFollower::currentAt() const
{
    return this->confirmedAt;
}

TimePoint TableFollower::lastFailureAt() const
{
    return this->failedAt;
}

void TableFollower::onFailed(CallKind kind, const ReadResult &result)
{
    this->failedAt = this->ports.now();
    if (kind == CallKind::Additional) {
        this->ports.log({"store-feed-additional-call-failed", {{"table", this->options.table}, {"error", result.error}}, false});
        return;
    }
    // The first reload after a loss of history is made at once; a store that loses it again and again must not be called without a pause.
    const bool isReloadDue = result.isHistoryLost && this->failures == 0;
    if (this->failures == 0 || result.isHistoryLost) {
        this->ports.log({"store-feed-lost",
                         {{"table", this->options.table}, {"history_lost", result.isHistoryLost ? "yes" : "no"}, {"error", result.error}},
                         true});
    }
    ++this->failures;
    this->nextCallAt = this->ports.now() + (isReloadDue ? Duration{} : this->retryDelay);
    this->retryDelay = std::min(2 * this->retryDelay, MaxRetryDelay);
}

} // namespace Tanagertally::Cells
