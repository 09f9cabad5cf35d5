// The part of a node that leads cells and keeps in touch with the other instances.
#include "node/node.h"

#include <algorithm>
#include <array>
#include <cassert>

namespace Tanagertally::Cells {

namespace {

constexpr Duration HeartbeatInterval = std::chrono::seconds(1); // LeadershipLimits::rowSilence allows for two that are missed.
constexpr Duration AdvertInterval = std::chrono::milliseconds(250); // `pending` may be 2 s old; loads should be fresher.
constexpr Duration IdleAdvertInterval = std::chrono::seconds(2); // Of an instance that leads nothing; changes are told at once.
constexpr Duration AdvertTimePerMember = std::chrono::microseconds(1500); // Keeps a leader of 300 instances under 700 messages a second.
constexpr Duration PlanInterval = std::chrono::milliseconds(50); // Of the looks at who leads.
constexpr Duration SettleTime = std::chrono::milliseconds(700); // At the start, until all instances have had time to register.
constexpr Duration OwnSettleTime = std::chrono::milliseconds(300); // For a cell of the own domain; whoever is first keeps the lead.
constexpr Duration EndpointLinger = std::chrono::seconds(10); // The registry is followed on after a lead, which may come back.
constexpr Duration StoreSteadyTime = std::chrono::milliseconds(1500); // Of own contact with the store, before a leader's is doubted.
constexpr Duration ReadRetry = std::chrono::milliseconds(150); // After a failed read of a cell's rows.
constexpr Duration MemberForgetting = std::chrono::seconds(30); // An instance whose row hasn't changed for so long gets no link.

/** Tables of a cell's rows, in the order in which they are read. */
constexpr std::array<std::string_view, 3> CellTables = {CellsTable, ProgressTable, JobsTable};

template<typename... Cases>
struct Overloaded : Cases... {
    using Cases::operator()...;
};

template<typename... Cases>
Overloaded(Cases...) -> Overloaded<Cases...>;

/** @return Why a row can't be read; nothing if it can. */
template<typename T>
std::optional<Error> faultOf(const Result<T> &read)
{
    return read.has_error() ? std::optional(read.error()) : std::nullopt;
}

} // namespace

void Node::connect(NodeLinks peerLinks)
{
    this->links = std::move(peerLinks);
}

std::string Node::helloOf(const InstanceRecord &self)
{
    return encodeLinkMessage(LinkHello{self.name, self.incarnation});
}

NodeLinkHandlers Node::linkHandlers()
{
    NodeLinkHandlers handlers;
    handlers.linked = [this](const InstanceName &peer) {
        this->log("peer-linked", {{"peer", peer.value}});
        this->isAdvertDue = true;
    };
    handlers.lost = [this](const InstanceName &peer, bool wasRefused) { this->onPeerLost(peer, wasRefused); };
    handlers.replied = [this](const InstanceName &peer, const std::string &bytes) { this->onReplied(peer, bytes); };
    handlers.asked = [this](LinkHandle connection, const std::string &bytes) { this->onAsked(connection, bytes); };
    handlers.askerLost = [this](LinkHandle connection) { this->onAskerLost(connection); };
    return handlers;
}

void Node::setEndpoints(std::vector<EndpointRecord> records)
{
    this->endpoints = std::move(records);
    this->areEndpointsKnown = true;
    std::vector<CellName> names;
    for (const auto &[cell, entry] : this->led) {
        names.push_back(cell);
    }
    for (const CellName &cell : names) {
        this->led.at(cell).leader->setEndpoints(this->ports.now(), this->endpointsOf(cell));
        this->runActions(cell);
    }
}

bool Node::needsEndpoints() const
{
    return !this->led.empty() || this->ports.now() < this->endpointsWantedUntil;
}

void Node::forgetEndpoints()
{
    assert(this->led.empty());
    this->areEndpointsKnown = false;
    this->endpoints.clear();
}

std::vector<EndpointRecord> Node::endpointsOf(const CellName &cell) const
{
    std::vector<EndpointRecord> own;
    std::ranges::copy_if(this->endpoints, std::back_inserter(own),
                         [&cell](const EndpointRecord &record) { return record.domain.value == cell.value; });
    return own;
}

template<typename Use>
void Node::withLeader(const CellName &cell, std::uint64_t generation, Use use)
{
    const auto found = this->led.find(cell);
    if (found == this->led.end() || found->second.generation != generation) {
        return;
    }
    use(*found->second.leader);
    this->runActions(cell);
}

void Node::runActions(const CellName &cell)
{
    const auto found = this->led.find(cell);
    if (found == this->led.end()) {
        return;
    }
    const std::uint64_t generation = found->second.generation;
    if (!found->second.isKnown && found->second.leader->isLeading()) {
        found->second.isKnown = true;
        this->isAdvertDue = true;
    }
    std::vector<CellAction> actions = found->second.leader->takeActions();
    for (CellAction &action : actions) {
        this->runAction(cell, generation, std::move(action));
    }
}

void Node::runAction(const CellName &cell, std::uint64_t generation, CellAction &&action)
{
    std::visit(
        Overloaded{
            [&](CommitRows &commit) {
                this->ports.commit(std::move(commit.transaction), [this, cell, generation](TransactionResult result) {
                    this->withLeader(cell, generation,
                                     [&](CellLeader &leader) { leader.onCommitted(this->ports.now(), std::move(result)); });
                });
            },
            [&](ReadLead &read) {
                this->ports.read({read.key.table, read.key.part, read.key.key, 1}, [this, cell, generation](const ReadResult &result) {
                    this->withLeader(cell, generation, [&](CellLeader &leader) { leader.onLeadRead(this->ports.now(), result); });
                });
            },
            [&](ReadCell &) { this->readCell(cell, generation, std::make_shared<CellContent>(), 0, {}); },
            [&](StartRun &start) {
                this->ports.startRun(start, [this, cell, generation, endpoint = start.endpoint, task = start.task,
                                             run = start.run](const StartResult &result) {
                    this->withLeader(cell, generation,
                                     [&](CellLeader &leader) { leader.onStarted(this->ports.now(), endpoint, task, run, result); });
                });
            },
            [&](StopRun &stop) {
                this->ports.stopRun(
                    stop, [this, cell, generation, endpoint = stop.endpoint, task = stop.task, run = stop.run](StopResult result) {
                        this->withLeader(cell, generation,
                                         [&](CellLeader &leader) { leader.onStopped(this->ports.now(), endpoint, task, run, result); });
                    });
            },
            [&](HoldEndpoint &hold) {
                this->ports.hold(hold, [this, cell, generation, endpoint = hold.endpoint](const HoldResult &result) {
                    this->withLeader(cell, generation, [&](CellLeader &leader) { leader.onHeld(this->ports.now(), endpoint, result); });
                });
            },
            [&](AnswerSubmission &reply) { this->onSubmitAnswer(reply.call, std::move(reply.answer)); },
            [&](AnswerCancel &reply) { this->onJobAnswer(reply.call, reply.answer); },
            [&](LeadEnded &ending) {
                CellView &view = this->cells.at(cell);
                this->led.erase(cell);
                this->endpointsWantedUntil = this->ports.now() + EndpointLinger;
                view.isVacant = false; // A vacancy of before the lead says nothing of now: others have their turn first.
                if (view.leader == this->options.self.name) {
                    view.leader = InstanceName();
                    view.takesJobs = false;
                }
                if (!ending.leader.empty()) {
                    this->noteLeaderInStore(cell, ending);
                }
                this->isAdvertDue = true;
            },
            [&](LogDecision &line) { this->ports.log(line); },
        },
        action);
}

void Node::readCell(const CellName &cell, std::uint64_t generation, std::shared_ptr<CellContent> content, std::size_t table,
                    const std::string &from)
{
    if (table == CellTables.size()) {
        this->withLeader(cell, generation, [&](CellLeader &leader) { leader.onRecovered(this->ports.now(), std::move(*content)); });
        return;
    }
    this->ports.read(
        {std::string(CellTables[table]), cell.value, from, 0}, [this, cell, generation, content, table, from](const ReadResult &result) {
            const auto found = this->led.find(cell);
            if (found == this->led.end() || found->second.generation != generation) {
                return;
            }
            if (!result.isAnswered) {
                this->log("cell-read-failed", {{"cell", cell.value}, {"error", result.error}}, true);
                this->callLater(ReadRetry,
                                [this, cell, generation, content, table, from] { this->readCell(cell, generation, content, table, from); });
                return;
            }
            for (const Row &row : result.rows) {
                std::optional<Error> fault;
                if (row.key == rosterKey(cell)) {
                    Result<std::vector<EndpointRecord>> roster = decodeRoster(row.value);
                    fault = faultOf(roster);
                    if (!fault) {
                        content->roster = std::move(roster).value();
                    }
                } else if (row.key.table == ProgressTable) {
                    Result<JobProgress> progress = decodeProgress(row.value);
                    fault = faultOf(progress);
                    if (!fault) {
                        content->progress.push_back({JobId(row.key.key), std::move(progress).value()});
                    }
                } else if (row.key.table == JobsTable) {
                    Result<StoredJob> job = decodeJob(JobId(row.key.key), row.value);
                    fault = faultOf(job);
                    if (!fault) {
                        content->jobs.push_back(std::move(job).value());
                    }
                }
                if (fault) {
                    this->log("row-unreadable", {{"table", row.key.table}, {"key", row.key.key}, {"error", fault->message}}, true);
                }
            }
            if (result.hasMore && !result.rows.empty()) {
                this->readCell(cell, generation, content, table, result.rows.back().key.key + '\0');
                return;
            }
            this->readCell(cell, generation, content, table + 1, {});
        });
}

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
        this->endpointsWantedUntil = now + EndpointLinger;
        if (this->areEndpointsKnown) {
            this->claim(cell);
        }
    }
    this->returnLeads(now);
}

void Node::claim(const CellName &cell)
{
    LedCell &entry = this->led[cell];
    entry.generation = ++this->lastGeneration;
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
    view.takesJobs = false; // Until it says so itself.
    view.storeSilence = Duration{};
    view.load = CellLoad();
}

void Node::returnLeads(TimePoint now)
{
    for (auto &[cell, entry] : this->led) {
        if (this->options.self.domain.value == cell.value || !entry.leader->isLeading() || entry.leader->isReleasing()) {
            continue;
        }
        const bool hasLocal = std::ranges::any_of(this->members, [&, name = cell](const auto &member) {
            return member.second.record.domain.value == name.value && this->isMemberAlive(member.second)
                   && this->links.isLinked(member.first);
        });
        if (hasLocal) {
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
        CellAdvert advert{cell, entry.leader->token(), true, entry.leader->storeSilence(now), entry.leader->load()};
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
    view.takesJobs = advert.takesJobs;
    view.isGone = false;
    view.storeSilence = advert.storeSilence;
    view.load = advert.load;
    view.sentWork = 0;
}

void Node::heartbeat(TimePoint now)
{
    if (!this->isHeartbeatInFlight && now >= this->nextHeartbeatAt) {
        this->nextHeartbeatAt = now + HeartbeatInterval;
        this->isHeartbeatInFlight = true;
        InstanceRecord self = this->options.self;
        self.isLeaving = this->isLeaving;
        StoreTransaction transaction;
        transaction.writes.push_back({instanceKey(self.name), encodeInstance(self)});
        this->ports.commit(std::move(transaction), [this](const TransactionResult &result) {
            this->isHeartbeatInFlight = false;
            if (result.end != TransactionEnd::Applied) {
                this->log("heartbeat-failed", {{"error", result.error}}, true);
            }
        });
    }
    if (!this->isMemberReadInFlight && now >= this->nextMemberReadAt) {
        this->readMembers();
    }
}

void Node::readMembers()
{
    this->isMemberReadInFlight = true;
    const bool isStarting = this->ports.now() < this->startedAt + 2 * SettleTime;
    this->nextMemberReadAt = this->ports.now() + (isStarting ? SettleTime / 2 : HeartbeatInterval);
    this->ports.read({std::string(InstancesTable), "", "", 0}, [this](const ReadResult &result) {
        this->isMemberReadInFlight = false;
        if (!result.isAnswered) {
            this->log("members-read-failed", {{"error", result.error}}, true);
            this->storeGoodSince = TimePoint::max();
            return;
        }
        this->onMembersRead(result);
    });
}

void Node::onMembersRead(const ReadResult &result)
{
    const TimePoint now = this->ports.now();
    this->membersReadAt = now;
    this->storeGoodSince = std::min(this->storeGoodSince, now);
    for (const Row &row : result.rows) {
        Result<InstanceRecord> record = decodeInstance(row.value);
        if (record.has_error() || record.value().name == this->options.self.name) {
            continue;
        }
        const InstanceName name = record.value().name;
        const auto [found, isNew] = this->members.try_emplace(name);
        Member &member = found->second;
        if (isNew || member.record.incarnation != record.value().incarnation) {
            this->log("member",
                      {{"instance", name.value}, {"domain", record.value().domain.value}, {"address", record.value().peerAddress.value}});
            member.isLeaving = false;
        }
        if (isNew || member.version != row.version) {
            member.changedAt = now;
            member.version = row.version;
        }
        member.isLeaving = member.isLeaving || record.value().isLeaving;
        member.record = std::move(record).value();
    }
    std::vector<InstanceRecord> linked;
    for (const auto &[name, member] : this->members) {
        if (now - member.changedAt < MemberForgetting) {
            linked.push_back(member.record);
        }
    }
    this->links.setPeers(linked);
}

void Node::onAsked(LinkHandle connection, std::string_view bytes)
{
    Result<LinkMessage> message = decodeLinkMessage(bytes);
    if (message.has_error()) {
        this->log("link-message-unreadable", {{"error", message.error().message}}, true);
        return;
    }
    std::visit(Overloaded{
                   [&](LinkHello &hello) { this->askers[connection] = hello.name; },
                   [&](LinkAdvert &advert) {
                       const auto asker = this->askers.find(connection);
                       if (asker == this->askers.end()) {
                           return;
                       }
                       const InstanceName from = asker->second;
                       this->links.noteHeard(from);
                       if (advert.configVersion > this->fleetConfig.version) {
                           this->ports.rereadConfig();
                       }
                       if (const auto member = this->members.find(from); member != this->members.end()) {
                           member->second.isLeaving = advert.isLeaving;
                       }
                       for (const CellAdvert &cell : advert.cells) {
                           this->noteAdvert(from, cell);
                       }
                       for (auto &[name, view] : this->cells) {
                           if (view.leader == from && std::ranges::find(advert.cells, name, &CellAdvert::cell) == advert.cells.end()) {
                               view.isGone = true;
                           }
                       }
                   },
                   [&](LinkSubmit &submit) { this->onSubmitAsked(connection, submit); },
                   [&](LinkJobAsk &ask) {
                       const auto own = this->led.find(ask.cell);
                       JobAnswer answer;
                       if (own != this->led.end() && ask.question == JobQuestion::Cancel) {
                           const CallId call(++this->lastCall);
                           PendingCall &pending = this->calls[call];
                           pending.kind = PendingCall::Kind::RemoteQuestion;
                           pending.origin = ask.call;
                           pending.connection = connection;
                           own->second.leader->cancel(this->ports.now(), call, ask.id);
                           this->runActions(ask.cell);
                           return;
                       }
                       if (own != this->led.end()) {
                           answer = own->second.leader->query(ask.id);
                       }
                       this->links.reply(connection, encodeLinkMessage(LinkJobReply{ask.call, answer}));
                   },
                   [&](LinkWithdraw &withdraw) {
                       const auto found = std::ranges::find_if(this->calls, [&](const auto &entry) {
                           return entry.second.connection == connection && entry.second.origin == withdraw.call;
                       });
                       if (found != this->calls.end()) {
                           this->withdrawCall(found->first);
                       }
                   },
                   [&](LinkSubmitReply &) {},
                   [&](LinkJobReply &) {},
               },
               message.value());
}

void Node::onSubmitAsked(LinkHandle connection, LinkSubmit &submit)
{
    const auto own = this->led.find(submit.cell);
    if (own == this->led.end()) {
        this->links.reply(connection,
                          encodeLinkMessage(LinkSubmitReply{submit.call, {SubmitVerdict::Refused, std::string(NotLeadingReason), {}, {}}}));
        return;
    }
    const auto asker = this->askers.find(connection);
    const InstanceName name = asker == this->askers.end() ? InstanceName() : asker->second;
    // The instance offers a call again whose former connection it lost: only the new one is answered.
    std::erase_if(this->calls, [&](const auto &entry) {
        const PendingCall &known = entry.second;
        return known.kind == PendingCall::Kind::RemoteSubmission && known.origin == submit.call && known.asker == name
               && known.id == submit.id;
    });
    const CallId call(++this->lastCall);
    PendingCall &pending = this->calls[call];
    pending.kind = PendingCall::Kind::RemoteSubmission;
    pending.origin = submit.call;
    pending.connection = connection;
    pending.asker = name;
    pending.id = submit.id;
    pending.cell = submit.cell;
    own->second.leader->submit(this->ports.now(), call, std::move(submit.id), std::move(submit.spec), std::move(submit.terms),
                               submit.wasOffered);
    this->runActions(submit.cell);
}

void Node::withdrawCall(CallId call)
{
    const CellName cell = this->calls.at(call).cell;
    this->calls.erase(call);
    if (const auto own = this->led.find(cell); own != this->led.end()) {
        own->second.leader->withdraw(this->ports.now(), call);
        this->runActions(cell);
    }
}

void Node::onAskerLost(LinkHandle connection)
{
    this->askers.erase(connection);
    // Whoever asked has told its callers that the outcome is unknown, and they hand their jobs in again.
    std::vector<CallId> orphaned;
    for (const auto &[call, pending] : this->calls) {
        if (pending.connection == connection && pending.kind == PendingCall::Kind::RemoteSubmission) {
            orphaned.push_back(call);
        }
    }
    for (const CallId call : orphaned) {
        this->withdrawCall(call);
    }
}

void Node::onReplied(const InstanceName &peer, std::string_view bytes)
{
    Result<LinkMessage> message = decodeLinkMessage(bytes);
    if (message.has_error()) {
        this->log("link-message-unreadable", {{"peer", peer.value}, {"error", message.error().message}}, true);
        return;
    }
    if (LinkSubmitReply *submit = std::get_if<LinkSubmitReply>(&message.value())) {
        this->onSubmitReplied(peer, *submit);
    } else if (const LinkJobReply *job = std::get_if<LinkJobReply>(&message.value())) {
        this->onJobAnswer(job->call, job->answer);
    }
}

void Node::onSubmitReplied(const InstanceName &peer, LinkSubmitReply &reply)
{
    const auto found = this->calls.find(reply.call);
    const bool isFromFormerLeader = found != this->calls.end() && found->second.isAsking && found->second.leader != peer;
    if (isFromFormerLeader && reply.answer.verdict != SubmitVerdict::Ended) {
        return; // Another leader has been offered the job since.
    }
    if (isFromFormerLeader) {
        this->withdraw(reply.call, found->second);
    }
    this->onSubmitAnswer(reply.call, std::move(reply.answer));
}

void Node::onPeerLost(const InstanceName &peer, bool wasRefused)
{
    this->log("peer-lost", {{"peer", peer.value}, {"refused", wasRefused ? "yes" : "no"}});
    this->failCallsTo(peer);
    const auto member = this->members.find(peer);
    const bool isInDomain = member != this->members.end() && member->second.record.domain == this->options.self.domain;
    if (!wasRefused || !isInDomain) {
        return;
    }
    for (auto &[name, view] : this->cells) {
        view.isGone = view.isGone || view.leader == peer;
    }
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

void Node::leave()
{
    this->isLeaving = true;
    this->isAdvertDue = true;
    this->nextHeartbeatAt = this->ports.now();
    std::vector<CellName> names;
    for (const auto &[cell, entry] : this->led) {
        names.push_back(cell);
    }
    for (const CellName &cell : names) {
        this->led.at(cell).leader->release(this->ports.now());
        this->runActions(cell);
    }
}

} // namespace Tanagertally::Cells
