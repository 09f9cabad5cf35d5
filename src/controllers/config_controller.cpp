#include "controllers/config_controller.h"

#include <fmt/format.h>

namespace Tanagertally {

namespace {

constexpr Duration LostMemberRetention = std::chrono::seconds(5); // longer than the lag of the instance list
constexpr Duration ReadInterval = std::chrono::seconds(1);
constexpr Duration FirstReadInterval = std::chrono::milliseconds(200);
constexpr Duration ReadTimeout = std::chrono::seconds(1);
constexpr Duration WriteTimeout = std::chrono::seconds(2);

} // namespace

RowKey configRowKey()
{
    return RowKey("config/current");
}

RowKey auditRowKey(const AuditRow &row, Incarnation incarnation, std::uint64_t number)
{
    return RowKey(fmt::format("audit/{:015}/{:016x}-{}", row.atMs, incarnation.value, number));
}

ConfigController::ConfigController(Blackboard &board, Outbox &outbox, PlatformCalls &platform, std::optional<FleetConfig> initial)
    : board(board)
    , outbox(outbox)
    , platform(platform)
    , initial(std::move(initial))
{
}

void ConfigController::advance()
{
    if (!this->isReading && this->board.now >= this->nextRead) {
        this->read();
    }
    const bool pending = this->rowVersion != RowVersion() && this->lastRow.state == ProposalState::Proposed;
    const bool current = this->lastRow.config.version == this->board.config.version;
    if (pending && current && !this->isMarkingAccepted && this->isInForceEverywhere()) {
        this->markAccepted();
    }
}

TimePoint ConfigController::nextDeadline() const
{
    return this->isReading ? TimePoint::max() : this->nextRead;
}

void ConfigController::read()
{
    this->isReading = true;
    this->nextRead = this->board.now + (this->board.config.version == ConfigVersion() ? FirstReadInterval : ReadInterval);
    TableRead request;
    request.keys.push_back(configRowKey());
    this->platform.send(std::move(request), ReadTimeout, [this](const PlatformReply &reply) { this->onRead(reply); });
}

void ConfigController::onRead(const PlatformReply &reply)
{
    this->isReading = false;
    const auto *rows = std::get_if<RowsRead>(&reply);
    if (rows == nullptr) {
        return;
    }
    if (rows->rows.empty()) {
        if (this->initial && this->board.config.version == ConfigVersion()) {
            this->propose(*this->initial, OperatorName("settings"), ConfigVersion(),
                          AuditRow{0, OperatorName("settings"), "initial configuration", {}}, [](const Result<ConfigVersion> &) {});
        }
        return;
    }
    const Result<ConfigRow> row = decodeRow<ConfigRow>(rows->rows.front().value);
    if (!row) {
        this->outbox.log("config-unreadable", {{"error", row.error().message}});
        return;
    }
    if (rows->rows.front().version < this->rowVersion) {
        return;
    }
    this->rowVersion = rows->rows.front().version;
    this->applyRow(row.value());
}

void ConfigController::applyRow(const ConfigRow &row)
{
    this->lastRow = row;
    if (row.state == ProposalState::Accepted && row.config.version > this->acceptedVersion) {
        this->acceptedVersion = row.config.version;
        this->outbox.log("config-accepted", {{"version", std::to_string(row.config.version.value)}});
    }
    this->putInForce(row.config);
}

void ConfigController::putInForce(const FleetConfig &config)
{
    if (config.version <= this->board.config.version) {
        return;
    }
    this->board.config = config;
    this->outbox.log("config-in-force", {{"version", std::to_string(config.version.value)}});
    this->board.stats.configVersion = config.version.value;
    this->board.lifecycle.apply(InstanceEvent::ConfigApplied);
    for (const auto &[id, peer] : this->board.peers.all()) {
        if (peer.configInForce < config.version) {
            this->outbox.emit(SendToPeer{id, ConfigUpdate{config}});
        }
    }
}

void ConfigController::propose(FleetConfig config, const OperatorName &by, ConfigVersion expected, AuditRow audit, ProposeHandler handler)
{
    const ConfigVersion lastVersion = this->lastRow.config.version;
    if (expected != ConfigVersion() && expected != std::max(lastVersion, this->board.config.version)) {
        handler(makeError(ErrorCode::Conflict,
                          fmt::format("version {} is in force, not {}", this->board.config.version.value, expected.value), "version"));
        return;
    }
    config.version = ConfigVersion(std::max(lastVersion, this->board.config.version).value + 1);
    ConfigRow row{config, ProposalState::Proposed, by};
    audit.outcome = fmt::format("version {} proposed", config.version.value);
    TableTransaction transaction;
    transaction.conditions.push_back(RowCondition{configRowKey(), this->rowVersion});
    transaction.writes.push_back(RowWrite{configRowKey(), encodeRow(row)});
    transaction.writes.push_back(RowWrite{auditRowKey(audit, this->board.identity.incarnation, config.version.value), encodeRow(audit)});
    this->platform.send(std::move(transaction), WriteTimeout, [this, row, handler = std::move(handler)](const PlatformReply &reply) {
        this->nextRead = this->board.now;
        if (const auto *committed = std::get_if<Committed>(&reply)) {
            this->rowVersion = committed->rows.front().version;
            this->applyRow(row);
            handler(row.config.version);
            return;
        }
        if (const auto *failed = std::get_if<ConditionFailed>(&reply)) {
            const Result<ConfigRow> winner
                = failed->rows.empty() ? Result<ConfigRow>(Error()) : decodeRow<ConfigRow>(failed->rows.front().value);
            const std::string winnerName = winner ? winner.value().by.value : "another operator";
            const std::uint64_t version = winner ? winner.value().config.version.value : 0;
            handler(makeError(ErrorCode::Conflict, fmt::format("version {} by {} came first", version, winnerName), "version"));
            return;
        }
        handler(makeError(ErrorCode::Unavailable, "the platform did not confirm the change; see `show config` for what is in force"));
    });
}

void ConfigController::handle(const ConfigUpdate &offer)
{
    this->putInForce(offer.config);
}

void ConfigController::handle(const PeerRecord &peer, const Heartbeat &heartbeat)
{
    for (const auto &[domain, version] : heartbeat.domainConfig) {
        if (domain == peer.identity.domain && domain != this->board.identity.domain) {
            this->reported[domain] = version;
        }
    }
}

void ConfigController::onPeerUp(const PeerRecord &peer)
{
    if (this->board.config.version != ConfigVersion()) {
        this->outbox.emit(SendToPeer{peer.id, ConfigUpdate{this->board.config}});
    }
}

ConfigVersion ConfigController::ownDomainVersion() const
{
    ConfigVersion lowest = this->board.config.version;
    for (const auto &[name, lostAt] : this->board.lostInstances) {
        if (this->board.now - lostAt < LostMemberRetention) {
            return ConfigVersion();
        }
    }
    for (const auto &[id, peer] : this->board.peers.all()) {
        if (peer.identity.domain == this->board.identity.domain && !peer.stopping) {
            lowest = std::min(lowest, peer.configInForce);
        }
    }
    for (const ListedInstance &listed : this->board.listedInstances) {
        const bool expected
            = listed.domain == this->board.identity.domain && listed.name != this->board.identity.name && listed.state == ListedState::Live;
        if (!expected) {
            continue;
        }
        const auto &peers = this->board.peers.all();
        const auto peer
            = std::find_if(peers.begin(), peers.end(), [&](const auto &entry) { return entry.second.identity.name == listed.name; });
        lowest = std::min(lowest, peer == peers.end() ? ConfigVersion() : peer->second.configInForce);
    }
    return lowest;
}

std::vector<DomainConfigVersion> ConfigController::versionsByDomain() const
{
    std::vector<DomainConfigVersion> result;
    for (const FailureDomain &domain : this->board.domains) {
        if (domain == this->board.identity.domain) {
            result.push_back(DomainConfigVersion{domain, this->ownDomainVersion()});
            continue;
        }
        const auto found = this->reported.find(domain);
        result.push_back(DomainConfigVersion{domain, found == this->reported.end() ? ConfigVersion() : found->second});
    }
    return result;
}

bool ConfigController::isInForceEverywhere() const
{
    const std::vector<DomainConfigVersion> domains = this->versionsByDomain();
    const auto hasIt = [this](const DomainConfigVersion &domain) { return domain.version >= this->board.config.version; };
    return !domains.empty() && std::all_of(domains.begin(), domains.end(), hasIt);
}

void ConfigController::markAccepted()
{
    this->isMarkingAccepted = true;
    ConfigRow row = this->lastRow;
    row.state = ProposalState::Accepted;
    TableTransaction transaction;
    transaction.conditions.push_back(RowCondition{configRowKey(), this->rowVersion});
    transaction.writes.push_back(RowWrite{configRowKey(), encodeRow(row)});
    this->platform.send(std::move(transaction), WriteTimeout, [this, row](const PlatformReply &reply) {
        this->isMarkingAccepted = false;
        this->nextRead = this->board.now;
        if (const auto *committed = std::get_if<Committed>(&reply)) {
            this->rowVersion = committed->rows.front().version;
            this->applyRow(row);
        }
    });
}

} // namespace Tanagertally
