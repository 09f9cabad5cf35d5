// The part of a node that decides who leads which cell, and tells the others.
#include "node/node.h"

#include <algorithm>
#include <cassert>

namespace Tanagertally::Cells {

namespace {

constexpr Duration AdvertInterval = std::chrono::milliseconds(250); // `pending` may be 2 s old; loads should be fresher.
constexpr Duration IdleAdvertInterval = std::chrono::seconds(2); // Of an instance that leads nothing; changes are told at once.
constexpr Duration AdvertTimePerMember = std::chrono::microseconds(1500); // Keeps a leader of 300 instances under 700 messages a second.
constexpr Duration PlanInterval = std::chrono::milliseconds(50); // Of the looks at who leads.
constexpr Duration SettleTime = std::chrono::milliseconds(700); // At the start, until all instances have had time to register.
constexpr Duration OwnSettleTime = std::chrono::milliseconds(300); // For a cell of the own domain; whoever is first keeps the lead.
constexpr Duration StoreSteadyTime = std::chrono::milliseconds(1500); // Of own contact with the store, before a leader's is doubted.

} // namespace

void Node::planLeads(TimePoint now)
{
    this->nextPlanAt = now + PlanInterval;
    if (this->isLeaving || this->membersReadAt == TimePoint()) {
        return;
    }
    const std::vector<LeadCandidate> able = this->candidates();
    for (auto &[cell, view] : this->cells) {
        const bool isInOwnDomain = this->options.self.domain.value == cell.value;
        if (this->led.contains(cell) || now < this->startedAt + (isInOwnDomain ? OwnSettleTime : SettleTime)) {
            continue;
        }
        LeadObservation lead;
        lead.leader = view.leader == this->options.self.name ? InstanceName() : view.leader;
        lead.isGone = view.isGone;
        // Right after an outage of the store everybody's word is old.
        const bool isStoreSteady = now - this->membersReadAt < StoreSteadyTime && now - this->storeGoodSince > StoreSteadyTime;
        lead.storeSilence = isStoreSteady ? view.storeSilence : Duration{};
        if (!lead.leader.empty()) {
            lead.linkSilence = this->links.silence(lead.leader);
            const auto member = this->members.find(lead.leader);
            lead.isInDomain = member != this->members.end() && member->second.record.domain.value == cell.value;
            lead.rowSilence = member == this->members.end() ? Duration::max() : this->membersReadAt - member->second.changedAt;
        }
        if (!isLeaderLost(lead, isInOwnDomain, this->limits)) {
            view.isVacant = false;
            continue;
        }
        if (!view.isVacant) {
            view.isVacant = true;
            view.vacantSince = now;
            this->log("lead-vacant", {{"cell", cell.value}, {"leader", lead.leader.value}, {"gone", lead.isGone ? "yes" : "no"}}, true);
        }
        if (!isOwnTurn(this->options.self.name, cell, FailureDomain(cell.value), able, now - view.vacantSince, this->limits)) {
            continue;
        }
        this->wantEndpoints(now);
        if (this->areEndpointsKnown) {
            this->claim(cell);
        }
    }
    this->giveWay(now, able);
}

void Node::claim(const CellName &cell)
{
    LedCell &entry = this->led[cell];
    entry.generation = ++this->lastGeneration;
    entry.claimedAt = this->ports.now();
    CellLeaderOptions leaderOptions{cell, this->options.self.name, this->options.self.incarnation, this->options.lease};
    leaderOptions.mayReplace = [this, cell](const LeadRecord &lead) { return this->mayReplace(cell, lead); };
    entry.leader = std::make_unique<CellLeader>(std::move(leaderOptions), this->ports.now());
    entry.leader->setEndpoints(this->ports.now(), this->endpointsOf(cell));
    this->runActions(cell);
}

bool Node::mayReplace(const CellName &cell, const LeadRecord &lead) const
{
    const auto member = this->members.find(lead.owner);
    const bool isKnownAsLost = this->cells.at(cell).leader == lead.owner;
    const bool isOwn = lead.owner == this->options.self.name;
    if (isOwn || isKnownAsLost || member == this->members.end() || member->second.record.incarnation != lead.incarnation) {
        return true;
    }
    return !this->isMemberAlive(member->second);
}

void Node::noteLeaderInStore(const CellName &cell, const LeadEnded &lead)
{
    CellView &view = this->cells.at(cell);
    this->log("lead-known",
              {{"cell", cell.value}, {"leader", lead.leader.value}, {"token", std::to_string(lead.token.value)}, {"by", "store"}});
    this->moveCallsFrom(cell, view.leader);
    view.leader = lead.leader;
    view.token = lead.token;
    view.isGone = false;
    view.storeSilence = Duration{};
    view.load = CellLoad();
}

void Node::giveWay(TimePoint now, std::span<const LeadCandidate> able)
{
    const auto self = std::ranges::find(able, this->options.self.name, &LeadCandidate::name);
    assert(self != able.end());
    for (auto &[cell, entry] : this->led) {
        const bool isFirm = entry.leader->isLeading() && !entry.leader->isReleasing();
        if (isFirm && shouldGiveWay(*self, FailureDomain(cell.value), able, now - entry.claimedAt, this->limits)) {
            this->log("lead-given-up", {{"cell", cell.value}, {"core_share", std::to_string(self->coreShare)}});
            entry.leader->release(now);
        }
    }
}

void Node::advertise(TimePoint now)
{
    this->isAdvertDue = false;
    const Duration leaderInterval = std::max<Duration>(AdvertInterval, AdvertTimePerMember * this->members.size());
    this->nextAdvertAt = now + (this->led.empty() ? IdleAdvertInterval : leaderInterval);
    LinkAdvert message;
    message.isLeaving = this->isLeaving;
    message.configVersion = this->fleetConfig.version;
    for (auto &[cell, entry] : this->led) {
        if (!entry.leader->isLeading()) {
            continue;
        }
        CellAdvert advert{cell, entry.leader->token(), entry.leader->storeSilence(now), entry.leader->load()};
        this->noteAdvert(this->options.self.name, advert);
        message.cells.push_back(std::move(advert));
    }
    const std::string bytes = encodeLinkMessage(message);
    for (const auto &[name, member] : this->members) {
        this->links.send(name, bytes);
    }
}

void Node::noteAdvert(const InstanceName &from, const CellAdvert &advert)
{
    const auto found = this->cells.find(advert.cell);
    if (found == this->cells.end()) {
        return;
    }
    CellView &view = found->second;
    if (view.leader != from && advert.token < view.token) {
        return;
    }
    if (view.leader != from || view.isGone) {
        this->log("lead-known", {{"cell", advert.cell.value}, {"leader", from.value}, {"token", std::to_string(advert.token.value)}});
    }
    if (view.leader != from) {
        this->moveCallsFrom(advert.cell, view.leader);
    }
    view.leader = from;
    view.token = advert.token;
    view.isGone = false;
    view.storeSilence = advert.storeSilence;
    view.load = advert.load;
    view.sentWork = 0;
}

bool Node::isMemberAlive(const Member &member) const
{
    return !member.isLeaving && this->membersReadAt - member.changedAt <= this->limits.rowSilence;
}

std::vector<LeadCandidate> Node::candidates() const
{
    std::vector<LeadCandidate> result;
    const auto countLed = [this](const InstanceName &name) {
        return static_cast<std::size_t>(
            std::ranges::count_if(this->cells, [&name](const auto &entry) { return entry.second.leader == name && !entry.second.isGone; }));
    };
    const InstanceRecord &self = this->options.self;
    result.push_back({self.name, self.domain, self.coreShare, countLed(self.name)});
    for (const auto &[name, member] : this->members) {
        if (this->isMemberAlive(member) && this->links.isLinked(name)) {
            result.push_back({name, member.record.domain, member.record.coreShare, countLed(name)});
        }
    }
    return result;
}

} // namespace Tanagertally::Cells
