// Part of Node: decides which instance leads which cell, and advertises the leads of this instance.
#include "node/node.h"

#include <algorithm>
#include <cassert>

namespace Tanagertally::Cells {

namespace {

constexpr Duration AdvertInterval = std::chrono::milliseconds(250); // The `pending` counts may be 2 s old; loads should be more recent.
constexpr Duration IdleAdvertInterval = std::chrono::seconds(2); // Used by an instance without leads; changes are advertised at once.
constexpr Duration AdvertTimePerMember = std::chrono::microseconds(1500); // Keeps a leader below 700 messages a second with 300 instances.
constexpr Duration PlanInterval = std::chrono::milliseconds(50);
/** Time after startup before a cell of another domain may be claimed, so that all instances can register first. */
constexpr Duration OtherDomainSettleTime = std::chrono::milliseconds(700);
/** Time after startup before the cell of this instance's domain may be claimed; the first claimant keeps the lead. */
constexpr Duration OwnDomainSettleTime = std::chrono::milliseconds(300);
/** Time after startup in which an instance claims one cell only, as the instances that would share the cells are still registering. */
constexpr Duration SingleClaimTime = std::chrono::milliseconds(1400);
/** Time after the loss of an instance at which its callers submit their jobs again. */
constexpr Duration CallerReturnTime = std::chrono::milliseconds(1300);
/** Time without a failed store read on this instance before the storeSilence of a leader counts. */
constexpr Duration StoreSteadyTime = std::chrono::milliseconds(1500);

} // namespace

void Node::planLeads(TimePoint now)
{
    this->nextPlanAt = now + PlanInterval;
    if (this->isLeaving || this->membersReadAt == TimePoint() || !this->areEvacuationsKnown) {
        return;
    }
    std::vector<LeadCandidate> candidates = this->leadCandidates();
    const bool isCutOff = this->isCutOffFromPeers();
    for (auto &[cell, view] : this->cells) {
        const bool isInOwnDomain = this->options.self.domain == view.domain;
        const bool isLimitedToOneCell = !this->ledCells.empty() && now < this->startedAt + SingleClaimTime;
        if (this->ledCells.contains(cell) || isLimitedToOneCell
            || now < this->startedAt + (isInOwnDomain ? OwnDomainSettleTime : OtherDomainSettleTime)) {
            continue;
        }
        LeadObservation lead;
        lead.leader = view.leader == this->options.self.name ? InstanceName() : view.leader;
        lead.hasLeadEnded = view.hasLeadEnded;
        // Right after a store outage the storeSilence of every leader is outdated.
        const bool isStoreSteady = now - this->membersReadAt < StoreSteadyTime && now - this->storeReadableSince > StoreSteadyTime;
        lead.storeSilence = isStoreSteady ? view.storeSilence : Duration{};
        if (!lead.leader.empty()) {
            lead.linkSilence = this->links.silence(lead.leader);
            const auto member = this->members.find(lead.leader);
            // A leader that the store names although its link is silent is cut off from this instance only.
            const bool isHiddenHere = view.isKnownFromStore && lead.linkSilence > this->limits.linkSilence;
            lead.isInDomain = !isHiddenHere && !isCutOff && member != this->members.end() && member->second.record.domain == view.domain;
            lead.rowSilence = member == this->members.end() ? Duration::max() : this->membersReadAt - member->second.changedAt;
        }
        if (!isLeaderLost(lead, isInOwnDomain, this->limits)) {
            view.isVacant = false;
            continue;
        }
        if (!view.isVacant) {
            view.isVacant = true;
            view.vacantSince = now;
            if (now > view.lostAt + CallerReturnTime) {
                view.lostAt = this->lastSignOfLeader(view);
            }
            this->log("lead-vacant", {{"cell", cell.value}, {"leader", lead.leader.value}, {"gone", lead.hasLeadEnded ? "yes" : "no"}},
                      true);
        }
        if (!isOwnTurn(this->options.self.name, cell, view.domain, candidates, now - view.vacantSince, this->limits)) {
            continue;
        }
        this->requestEndpoints(now);
        if (this->areEndpointsKnown) {
            this->claim(cell);
            ++std::ranges::find(candidates, this->options.self.name, &LeadCandidate::name)->ledCells;
        }
    }
    this->releaseLeads(now, candidates);
}

void Node::claim(const CellName &cell)
{
    LedCell &entry = this->ledCells[cell];
    entry.generation = ++this->lastGeneration;
    entry.claimedAt = this->ports.now();
    CellLeaderOptions leaderOptions{cell, this->options.self.name, this->options.self.incarnation, this->options.lease,
                                    this->options.maxRowBytes};
    leaderOptions.formerLeaderSeenAt = this->cells.at(cell).lostAt;
    leaderOptions.canReplace = [this, cell](const LeadRecord &lead) { return this->canReplace(cell, lead); };
    leaderOptions.admitMemory = [this](std::size_t bytes) { return this->memory.admit(this->ports.now(), bytes); };
    leaderOptions.callerSilence = [this](CallId call) { return this->callerSilence(call); };
    entry.leader = std::make_unique<CellLeader>(std::move(leaderOptions), this->ports.now());
    entry.leader->setEvacuated(this->ports.now(), this->startLimitOf(cell));
    entry.leader->setEndpoints(this->ports.now(), this->endpointsOf(cell));
    this->runActions(cell);
}

Duration Node::callerSilence(CallId call) const
{
    const auto found = this->calls.find(call);
    if (found == this->calls.end()) {
        return Duration::max();
    }
    return found->second.connection != 0 ? this->links.inboundSilence(found->second.connection) : Duration{};
}

TimePoint Node::lastSignOfLeader(const CellView &view) const
{
    const Duration silence = view.leader.empty() ? Duration::max() : this->links.silence(view.leader);
    return silence == Duration::max() ? view.vacantSince : std::min(view.vacantSince, this->ports.now() - silence);
}

bool Node::canReplace(const CellName &cell, const LeadRecord &lead) const
{
    const auto member = this->members.find(lead.owner);
    const bool isKnownAsLost = this->cells.at(cell).leader == lead.owner;
    const bool isOwn = lead.owner == this->options.self.name;
    if (isOwn || isKnownAsLost || member == this->members.end() || member->second.record.incarnation != lead.incarnation) {
        return true;
    }
    return !this->isMemberAlive(member->second);
}

void Node::applyStoredLead(const CellName &cell, const LeadEnded &lead)
{
    CellView &view = this->cells.at(cell);
    this->log("lead-known",
              {{"cell", cell.value}, {"leader", lead.leader.value}, {"token", std::to_string(lead.token.value)}, {"by", "store"}});
    this->scheduleRetriesInCell(cell, view.leader);
    this->areLinksDue = this->areLinksDue || view.leader != lead.leader;
    view.leader = lead.leader;
    view.token = lead.token;
    view.isKnownFromStore = true;
    view.hasLeadEnded = false;
    view.storeSilence = Duration{};
    view.load = CellLoad();
}

void Node::releaseLeads(TimePoint now, std::span<const LeadCandidate> candidates)
{
    const auto self = std::ranges::find(candidates, this->options.self.name, &LeadCandidate::name);
    assert(self != candidates.end());
    // One lead at a time: the candidate's number of leads has to be known again before the next release.
    const auto isReleasing = [](const auto &entry) { return entry.second.leader->isReleasing(); };
    if (std::ranges::any_of(this->ledCells, isReleasing)) {
        return;
    }
    for (auto &[cell, entry] : this->ledCells) {
        const FailureDomain &domain = this->cells.at(cell).domain;
        if (entry.leader->isLeading() && shouldReleaseLead(*self, domain, candidates, now - entry.claimedAt, this->limits)) {
            this->log("lead-given-up", {{"cell", cell.value}, {"core_share", std::to_string(self->coreShare)}});
            entry.leader->release(now);
            return;
        }
    }
}

void Node::advertise(TimePoint now)
{
    this->isAdvertDue = false;
    const Duration leaderInterval = std::max<Duration>(AdvertInterval, AdvertTimePerMember * this->members.size());
    this->nextAdvertAt = now + (this->ledCells.empty() ? IdleAdvertInterval : leaderInterval);
    LinkAdvert message;
    message.isLeaving = this->isLeaving;
    message.configVersion = this->fleetConfig.version;
    message.operatorTableVersion = this->operatorTableVersion;
    for (auto &[cell, entry] : this->ledCells) {
        if (!entry.leader->isLeading()) {
            continue;
        }
        CellAdvert advert{cell, entry.leader->token(), entry.leader->storeSilence(now), entry.leader->load()};
        this->applyAdvert(this->options.self.name, advert);
        message.cells.push_back(std::move(advert));
    }
    const std::string bytes = encodeLinkMessage(message);
    for (const auto &[name, member] : this->members) {
        this->links.send(name, bytes);
    }
}

void Node::applyAdvert(const InstanceName &from, const CellAdvert &advert)
{
    const auto found = this->cells.find(advert.cell);
    if (found == this->cells.end()) {
        return;
    }
    CellView &view = found->second;
    if (view.leader != from && advert.token < view.token) {
        return;
    }
    const auto ledCell = this->ledCells.find(advert.cell);
    if (ledCell != this->ledCells.end() && ledCell->second.leader->hasToken() && advert.token > ledCell->second.leader->token()) {
        ledCell->second.leader->yieldTo(from, advert.token);
        this->runActions(advert.cell);
    }
    if (view.leader != from || view.hasLeadEnded) {
        this->log("lead-known", {{"cell", advert.cell.value}, {"leader", from.value}, {"token", std::to_string(advert.token.value)}});
    }
    if (view.leader != from) {
        this->scheduleRetriesInCell(advert.cell, view.leader);
    }
    this->areLinksDue = this->areLinksDue || view.leader != from;
    view.leader = from;
    view.token = advert.token;
    view.isKnownFromStore = false;
    view.hasLeadEnded = false;
    view.storeSilence = advert.storeSilence;
    view.load = advert.load;
    view.sentWork = 0;
    view.sentCpu = 0;
}

bool Node::isCutOffFromPeers() const
{
    constexpr std::size_t MinSilentPeers = 2; // A single silent link says as much about the other instance.
    std::size_t silent = 0;
    for (const auto &[name, member] : this->members) {
        if (!this->isMemberAlive(member) || !this->needsLink(name, member)) {
            continue;
        }
        if (this->links.silence(name) <= this->limits.linkSilence) {
            return false;
        }
        ++silent;
    }
    return silent >= MinSilentPeers;
}

bool Node::isMemberAlive(const Member &member) const
{
    return !member.isLeaving && this->membersReadAt - member.changedAt <= this->limits.rowSilence;
}

std::vector<LeadCandidate> Node::leadCandidates() const
{
    std::vector<LeadCandidate> result;
    const auto countLed = [this](const InstanceName &name) {
        return static_cast<std::size_t>(std::ranges::count_if(
            this->cells, [&name](const auto &entry) { return entry.second.leader == name && !entry.second.hasLeadEnded; }));
    };
    const InstanceRecord &self = this->options.self;
    result.push_back({self.name, self.domain, self.coreShare, this->ledCells.size()});
    for (const auto &[name, member] : this->members) {
        const bool isReachable = !this->needsLink(name, member) || this->links.isLinked(name);
        if (this->isMemberAlive(member) && isReachable) {
            result.push_back({name, member.record.domain, member.record.coreShare, countLed(name)});
        }
    }
    return result;
}

} // namespace Tanagertally::Cells
