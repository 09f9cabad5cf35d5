#include "controllers/recovery_controller.h"

#include <fmt/format.h>

namespace Tanagertally {

namespace {

constexpr Duration ScanInterval = std::chrono::seconds(5);
constexpr Duration SuspectScanInterval = std::chrono::milliseconds(250);
constexpr Duration SuspicionTime = std::chrono::milliseconds(1000);
constexpr Duration ReadTimeout = std::chrono::seconds(2);
constexpr std::uint32_t ScanLimit = 1000; // rows

} // namespace

RecoveryController::RecoveryController(Blackboard &board, Outbox &outbox, PlatformCalls &platform, GroupCommit &commits,
                                       DurableController &durables)
    : board(board)
    , outbox(outbox)
    , platform(platform)
    , commits(commits)
    , durables(durables)
{
}

void RecoveryController::onPeerDown()
{
    this->nextScan = this->board.now;
}

void RecoveryController::advance()
{
    if (this->isScanning || this->board.now < this->nextScan || this->board.lifecycle.state() != InstanceState::Serving) {
        return;
    }
    this->scan();
}

TimePoint RecoveryController::nextDeadline() const
{
    return this->isScanning ? TimePoint::max() : this->nextScan;
}

void RecoveryController::scan()
{
    this->isScanning = true;
    TableRead read;
    read.prefixes.push_back(durablePrefix(this->board.identity.domain));
    read.limit = ScanLimit;
    this->platform.send(std::move(read), ReadTimeout, [this](const PlatformReply &reply) { this->onScanned(reply); });
}

void RecoveryController::onScanned(const PlatformReply &reply)
{
    this->isScanning = false;
    this->nextScan = this->board.now + ScanInterval;
    const auto *rows = std::get_if<RowsRead>(&reply);
    if (rows == nullptr) {
        return;
    }
    std::unordered_map<Incarnation, Suspect> previous;
    previous.swap(this->suspects);
    for (const TableRow &row : rows->rows) {
        const Result<DurableJobRow> job = decodeRow<DurableJobRow>(row.value);
        if (!job || job.value().state == DurableState::Answered) {
            continue;
        }
        const Incarnation holder = job.value().holder.incarnation;
        if (holder == this->board.identity.incarnation) {
            this->adoptIfNotHeld(job.value(), row.version);
            continue;
        }
        if (this->isHomeConnected(holder)) {
            continue;
        }
        const auto known = previous.find(holder);
        this->suspects.try_emplace(holder, known == previous.end() ? Suspect{this->board.now, false, false, {}} : known->second);
        this->handleSuspect(row);
    }
    if (!this->suspects.empty()) {
        this->nextScan = this->board.now + SuspectScanInterval;
    }
}

bool RecoveryController::isHomeConnected(Incarnation incarnation) const
{
    const auto &peers = this->board.peers.all();
    return std::any_of(peers.begin(), peers.end(), [&](const auto &entry) { return entry.second.identity.incarnation == incarnation; });
}

void RecoveryController::handleSuspect(const TableRow &tableRow)
{
    const DurableJobRow row = decodeRow<DurableJobRow>(tableRow.value).value();
    Suspect &suspect = this->suspects.at(row.holder.incarnation);
    if (!suspect.fenced) {
        if (!suspect.fencing && this->board.now - suspect.since >= SuspicionTime) {
            suspect.fencing = true;
            this->fence(row.holder.incarnation);
        }
        return;
    }
    if (this->board.now >= suspect.leaseOverAt) {
        this->adoptIfNotHeld(row, tableRow.version);
    }
}

void RecoveryController::adoptIfNotHeld(const DurableJobRow &row, RowVersion version)
{
    const bool held = this->board.jobs.find(TeamKey{row.team, row.key}) != nullptr;
    if (!held && this->adopting.insert(row.job).second) {
        this->fetchAndAdopt(row, version);
    }
}

void RecoveryController::fence(Incarnation incarnation)
{
    this->outbox.log("fencing", {{"incarnation", fmt::format("{:016x}", incarnation.value)}});
    const RowKey key = fenceRowKey(incarnation);
    CommitOp op;
    op.conditions.push_back(RowCondition{key, RowVersion()});
    op.writes.push_back(RowWrite{key, this->board.identity.name.value});
    op.onDone = [this, incarnation](const CommitResult &result) {
        const auto found = this->suspects.find(incarnation);
        if (found == this->suspects.end()) {
            return;
        }
        found->second.fencing = false;
        if (std::holds_alternative<PlatformUnavailable>(result) || this->commits.isFenced()) {
            return;
        }
        found->second.fenced = true;
        found->second.leaseOverAt = this->board.now + StartLeaseLength + StartLeaseDrift;
    };
    this->commits.submit(std::move(op));
}

void RecoveryController::fetchAndAdopt(const DurableJobRow &row, RowVersion version)
{
    const RowKey claimKey = claimRowKey(TeamKey{row.team, row.key});
    this->platform.send(ObjectGet{row.job}, ReadTimeout, [this, row, version, claimKey](const PlatformReply &reply) {
        const auto *object = std::get_if<ObjectRead>(&reply);
        if (object == nullptr || !object->body) {
            this->adopting.erase(row.job);
            return;
        }
        const Result<JobSpec> spec = decodeJob(*object->body);
        if (!spec) {
            this->outbox.log("job-unreadable", {{"key", row.key.value}, {"error", spec.error().message}});
            return;
        }
        TableRead read;
        read.keys.push_back(claimKey);
        this->platform.send(std::move(read), ReadTimeout, [this, row, version, spec = spec.value()](const PlatformReply &claimReply) {
            this->adopting.erase(row.job);
            const auto *rows = std::get_if<RowsRead>(&claimReply);
            const bool held = this->board.jobs.find(TeamKey{row.team, row.key}) != nullptr;
            if (rows == nullptr || rows->rows.empty() || held) {
                return;
            }
            this->durables.adopt(AdoptedJob{row, version, rows->rows.front().version, spec});
        });
    });
}

} // namespace Tanagertally
