#include "controllers/member_controller.h"

#include "core/hash_func.h"

namespace Tanagertally {

namespace {

constexpr Duration OwnDomainInterval = std::chrono::milliseconds(100);
constexpr Duration OtherDomainInterval = std::chrono::milliseconds(500);
constexpr std::size_t LinksPerOtherDomain = 2;

} // namespace

MemberController::MemberController(Blackboard &board, Outbox &outbox, ConfigController &config, SlotController &slots,
                                   EndpointController &endpoints, std::vector<NetAddress> seeds)
    : board(board)
    , outbox(outbox)
    , config(config)
    , slots(slots)
    , endpoints(endpoints)
    , seeds(std::move(seeds))
{
}

bool MemberController::isOwnDomain(const PeerRecord &peer) const
{
    return peer.identity.domain == this->board.identity.domain;
}

std::unordered_set<NetAddress> MemberController::chooseLinks(const InstanceList &list) const
{
    std::unordered_set<NetAddress> links;
    for (const FailureDomain &domain : this->board.domains) {
        std::vector<std::pair<std::uint64_t, NetAddress>> candidates;
        for (const ListedInstance &instance : list.instances) {
            if (instance.domain == domain && instance.name != this->board.identity.name) {
                const std::uint64_t weight = stableHash(instance.name.value, stableHash(this->board.identity.name.value));
                candidates.emplace_back(weight, instance.peerAddress);
            }
        }
        std::sort(candidates.begin(), candidates.end());
        const std::size_t count
            = domain == this->board.identity.domain ? candidates.size() : std::min(candidates.size(), LinksPerOtherDomain);
        for (std::size_t index = 0; index < count; ++index) {
            links.insert(candidates[index].second);
        }
    }
    return links;
}

void MemberController::handle(const InstanceList &list)
{
    this->board.listedInstances = list.instances;
    std::vector<FailureDomain> domains = this->board.domains;
    domains.push_back(this->board.identity.domain);
    for (const ListedInstance &instance : list.instances) {
        domains.push_back(instance.domain);
    }
    std::sort(domains.begin(), domains.end());
    domains.erase(std::unique(domains.begin(), domains.end()), domains.end());
    this->board.domains = std::move(domains);
    const std::unordered_set<NetAddress> selected = this->chooseLinks(list);
    for (const NetAddress &address : selected) {
        if (this->persistentLinks.insert(address).second) {
            this->outbox.emit(OpenPeer{address, true});
        }
    }
    for (auto address = this->persistentLinks.begin(); address != this->persistentLinks.end();) {
        const bool isKept = selected.contains(*address) || this->board.peers.find(*address) != nullptr;
        if (!isKept) {
            this->outbox.emit(ClosePeer{*address});
        }
        address = isKept ? std::next(address) : this->persistentLinks.erase(address);
    }
}

PeerRecord &MemberController::onPeerUp(const PeerUp &up)
{
    PeerRecord &peer = this->board.peers.add(up.peer, up.hello.identity);
    peer.connectedAt = this->board.now;
    this->board.domainLostAt.erase(peer.identity.domain);
    this->board.lostInstances.erase(peer.identity.name);
    this->outbox.log("peer-up", {{"instance", peer.identity.name.value}, {"domain", peer.identity.domain.value}});
    this->outbox.emit(SendToPeer{peer.id, this->makeHeartbeat()});
    this->config.onPeerUp(peer);
    if (this->isOwnDomain(peer)) {
        this->endpoints.recomputeShares();
    }
    return peer;
}

void MemberController::onPeerDown(PeerId id)
{
    PeerRecord *peer = this->board.peers.find(id);
    if (peer == nullptr) {
        return;
    }
    this->outbox.log("peer-down", {{"instance", peer->identity.name.value}, {"domain", peer->identity.domain.value}});
    this->slots.onPeerDown(*peer);
    const bool ownDomain = this->isOwnDomain(*peer);
    const FailureDomain domain = peer->identity.domain;
    if (ownDomain && !peer->stopping) {
        this->board.lostInstances[peer->identity.name] = this->board.now;
    }
    this->board.peers.remove(id);
    const auto &remaining = this->board.peers.all();
    const bool connected
        = std::any_of(remaining.begin(), remaining.end(), [&](const auto &entry) { return entry.second.identity.domain == domain; });
    if (!connected && !ownDomain) {
        this->board.domainLostAt[domain] = this->board.now;
    }
    if (ownDomain) {
        this->endpoints.recomputeShares();
    }
}

void MemberController::handle(PeerRecord &peer, const Heartbeat &heartbeat)
{
    peer.configInForce = heartbeat.configInForce;
    peer.queued = heartbeat.queued;
    peer.freeSlots = heartbeat.freeSlots;
    peer.usage.clear();
    for (const TeamUsage &usage : heartbeat.usage) {
        peer.usage[usage.team] = usage.running;
    }
    this->config.handle(peer, heartbeat);
    if (peer.stopping != heartbeat.stopping) {
        peer.stopping = heartbeat.stopping;
        this->endpoints.recomputeShares();
    }
}

Heartbeat MemberController::makeHeartbeat() const
{
    Heartbeat heartbeat;
    heartbeat.stopping = this->board.lifecycle.state() == InstanceState::Draining;
    heartbeat.configInForce = this->board.config.version;
    heartbeat.queued = static_cast<std::uint32_t>(this->board.stats.queued);
    heartbeat.freeSlots = this->slots.freeSlots();
    for (const TeamConfig &team : this->board.config.teams) {
        const auto load = this->board.teams.find(team.name);
        if (team.quota != 0 && load != this->board.teams.end() && load->second.running > 0) {
            heartbeat.usage.push_back(TeamUsage{team.name, load->second.running});
        }
    }
    heartbeat.domainConfig.emplace_back(this->board.identity.domain, this->config.ownDomainVersion());
    return heartbeat;
}

void MemberController::sendHeartbeatsNow()
{
    this->nextOwnDomainHeartbeat = this->board.now;
    this->nextOtherDomainHeartbeat = this->board.now;
    this->advance();
}

void MemberController::advance()
{
    if (!this->areSeedsOpened) {
        this->areSeedsOpened = true;
        for (const NetAddress &address : this->seeds) {
            if (address != this->board.identity.peerAddress && this->persistentLinks.insert(address).second) {
                this->outbox.emit(OpenPeer{address, true});
            }
        }
    }
    const bool ownDomainDue = this->board.now >= this->nextOwnDomainHeartbeat;
    const bool othersDue = this->board.now >= this->nextOtherDomainHeartbeat;
    if (!ownDomainDue && !othersDue) {
        return;
    }
    const Heartbeat heartbeat = this->makeHeartbeat();
    for (const auto &[id, peer] : this->board.peers.all()) {
        if (this->isOwnDomain(peer) ? ownDomainDue : othersDue) {
            this->outbox.emit(SendToPeer{id, heartbeat});
        }
    }
    this->nextOwnDomainHeartbeat = ownDomainDue ? this->board.now + OwnDomainInterval : this->nextOwnDomainHeartbeat;
    this->nextOtherDomainHeartbeat = othersDue ? this->board.now + OtherDomainInterval : this->nextOtherDomainHeartbeat;
}

TimePoint MemberController::nextDeadline() const
{
    return std::min(this->nextOwnDomainHeartbeat, this->nextOtherDomainHeartbeat);
}

} // namespace Tanagertally
