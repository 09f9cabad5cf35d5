// Part of Node: tracks the other instances and exchanges messages with them.
#include "node/node.h"
#include "node/overloaded_func.h"

#include <algorithm>

namespace Tanagertally::Cells {

namespace {

constexpr Duration HeartbeatInterval = std::chrono::seconds(1); // LeadershipLimits::rowSilence allows for two missed heartbeats.
constexpr Duration StartupTime = std::chrono::milliseconds(1400); // Instances register meanwhile; twice OtherDomainSettleTime.
constexpr Duration StartupReadInterval = std::chrono::milliseconds(350); // Interval of reads of the instances' rows during StartupTime.
constexpr Duration LinkKeepTime = std::chrono::seconds(10); // Calls on the link have ended by then, and a lead may return.
constexpr Duration MemberLinkTimeout = std::chrono::seconds(30); // An instance whose row has not changed for this long gets no link.

} // namespace

void Node::connect(NodeLinks peerLinks)
{
    this->links = std::move(peerLinks);
}

std::string Node::encodeHello(const InstanceRecord &self)
{
    return encodeLinkMessage(LinkHello{self.name, self.incarnation});
}

NodeLinkHandlers Node::linkHandlers()
{
    NodeLinkHandlers handlers;
    handlers.onLinkOpened = [this](const InstanceName &peer) {
        this->log("peer-linked", {{"peer", peer.value}});
        this->isAdvertDue = true;
    };
    handlers.onLinkLost = [this](const InstanceName &peer, bool wasRefused) { this->onPeerLost(peer, wasRefused); };
    handlers.onReply = [this](const InstanceName &peer, const std::string &bytes) { this->onReply(peer, bytes); };
    handlers.onRequest = [this](LinkHandle connection, const std::string &bytes) { this->onRequest(connection, bytes); };
    handlers.onInboundLinkLost = [this](LinkHandle connection) { this->onInboundLinkLost(connection); };
    handlers.isHello = [](const std::string &bytes) {
        const Result<LinkMessage> message = decodeLinkMessage(bytes);
        return message.has_value() && std::holds_alternative<LinkHello>(message.value());
    };
    return handlers;
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
            if (result.outcome != TransactionOutcome::Applied) {
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
    const bool isStarting = this->ports.now() < this->startedAt + StartupTime;
    this->nextMemberReadAt = this->ports.now() + (isStarting ? StartupReadInterval : HeartbeatInterval);
    this->ports.read({std::string(InstancesTable), "", "", 0}, [this](const ReadResult &result) {
        this->isMemberReadInFlight = false;
        if (!result.isAnswered) {
            this->log("members-read-failed", {{"error", result.error}}, true);
            this->storeReadableSince = TimePoint::max();
            return;
        }
        this->onMembersRead(result);
    });
}

void Node::onMembersRead(const ReadResult &result)
{
    const TimePoint now = this->ports.now();
    this->membersReadAt = now;
    this->storeReadableSince = std::min(this->storeReadableSince, now);
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
    this->updateLinks();
}

// Pattern: full mesh. Links between all instances cost each of them pings and sockets in proportion to their number, also if no job ever
// takes them. Jobs only go to leaders, and only the own domain's instances watch each other.
bool Node::needsLink(const InstanceName &name, const Member &member) const
{
    const auto isItsLead = [&name](const auto &entry) { return entry.second.leader == name; };
    const auto isLeading = [](const auto &entry) { return entry.second.leader->isLeading(); };
    return member.record.domain == this->options.self.domain || std::ranges::any_of(this->ledCells, isLeading)
           || std::ranges::any_of(this->cells, isItsLead);
}

void Node::updateLinks()
{
    this->areLinksDue = false;
    const TimePoint now = this->ports.now();
    std::vector<InstanceRecord> linked;
    for (auto &[name, member] : this->members) {
        if (now - member.changedAt >= MemberLinkTimeout) {
            continue;
        }
        if (this->needsLink(name, member)) {
            member.linkNeededUntil = now + LinkKeepTime;
        }
        if (now < member.linkNeededUntil) {
            linked.push_back(member.record);
        }
    }
    this->links.setPeers(linked);
}

void Node::onRequest(LinkHandle connection, std::string_view bytes)
{
    Result<LinkMessage> message = decodeLinkMessage(bytes);
    if (message.has_error()) {
        this->log("link-message-unreadable", {{"error", message.error().message}}, true);
        return;
    }
    std::visit(Overloaded{
                   [&](LinkHello &hello) { this->inboundPeers[connection] = hello.name; },
                   [&](LinkAdvert &advert) {
                       const auto requester = this->inboundPeers.find(connection);
                       if (requester == this->inboundPeers.end()) {
                           return;
                       }
                       const InstanceName sender = requester->second;
                       this->links.recordActivity(sender);
                       this->advertisedConfigVersion = std::max(this->advertisedConfigVersion, advert.configVersion);
                       if (this->isConfigOutdated()) {
                           this->ports.reportNewerConfig();
                       }
                       this->ports.reportOperatorTable(advert.operatorTableVersion);
                       if (const auto member = this->members.find(sender); member != this->members.end()) {
                           member->second.isLeaving = advert.isLeaving;
                       }
                       for (const CellAdvert &cell : advert.cells) {
                           this->applyAdvert(sender, cell);
                       }
                       for (auto &[name, view] : this->cells) {
                           if (view.leader == sender && std::ranges::find(advert.cells, name, &CellAdvert::cell) == advert.cells.end()) {
                               view.hasLeadEnded = true;
                           }
                       }
                   },
                   [&](LinkSubmit &submit) { this->onSubmitRequest(connection, submit); },
                   [&](LinkJobQuestion &request) {
                       const auto ledCell = this->ledCells.find(request.cell);
                       JobAnswer answer;
                       if (ledCell != this->ledCells.end() && request.question == JobQuestion::Cancel) {
                           const CallId call(++this->lastCall);
                           PendingCall &pending = this->calls[call];
                           pending.kind = PendingCall::Kind::RemoteQuestion;
                           pending.origin = request.call;
                           pending.connection = connection;
                           ledCell->second.leader->cancel(this->ports.now(), call, request.id);
                           this->runActions(request.cell);
                           return;
                       }
                       if (ledCell != this->ledCells.end()) {
                           answer = ledCell->second.leader->query(request.id);
                       }
                       this->links.reply(connection, encodeLinkMessage(LinkJobReply{request.call, answer}));
                   },
                   [&](LinkWithdraw &withdraw) {
                       const auto found = std::ranges::find_if(this->calls, [&](const auto &entry) {
                           return entry.second.connection == connection && entry.second.origin == withdraw.call;
                       });
                       if (found != this->calls.end()) {
                           this->withdrawRemoteCall(found->first);
                       }
                   },
                   [&](LinkTransfer &announcement) { this->onTransfersAnnounced(announcement); },
                   [&](LinkTransferDone &confirmation) { this->onTransfersConfirmed(confirmation); },
                   [&](const LinkRoomQuery &query) {
                       if (const auto ledCell = this->ledCells.find(query.cell); ledCell != this->ledCells.end()) {
                           this->links.reply(
                               connection, encodeLinkMessage(LinkRoomReply{query.cell, ledCell->second.leader->rooms(this->ports.now())}));
                       }
                   },
                   [&](LinkSubmitReply &) {},
                   [&](LinkJobReply &) {},
                   [&](LinkRoomReply &) {},
               },
               message.value());
}

void Node::onSubmitRequest(LinkHandle connection, LinkSubmit &submit)
{
    const auto ledCell = this->ledCells.find(submit.cell);
    if (ledCell == this->ledCells.end()) {
        this->links.reply(connection,
                          encodeLinkMessage(LinkSubmitReply{submit.call, {SubmitVerdict::Refused, std::string(NotLeadingReason), {}, {}}}));
        return;
    }
    const auto requester = this->inboundPeers.find(connection);
    const InstanceName name = requester == this->inboundPeers.end() ? InstanceName() : requester->second;
    // The instance resubmits a call after it lost the connection; only the new submission is answered.
    const auto known = std::ranges::find_if(this->calls, [&](const auto &entry) {
        const PendingCall &pending = entry.second;
        return pending.kind == PendingCall::Kind::RemoteSubmission && pending.origin == submit.call && pending.requester == name
               && pending.id == submit.id;
    });
    const TimePoint now = this->ports.now();
    this->detectSuspension(now);
    if (submit.spec.isBestEffort && this->suspensionWatch.mayInputBeOld(now)) {
        if (known != this->calls.end()) {
            this->withdrawRemoteCall(known->first);
        }
        this->links.reply(connection,
                          encodeLinkMessage(LinkSubmitReply{submit.call, {SubmitVerdict::Refused, std::string(SuspendedReason), {}, {}}}));
        return;
    }
    if (known != this->calls.end()) {
        this->calls.erase(known);
    }
    const TimePoint expiresAt = submit.patience ? now + *submit.patience : TimePoint::max();
    const CallId call(++this->lastCall);
    PendingCall &pending = this->calls[call];
    pending.kind = PendingCall::Kind::RemoteSubmission;
    pending.origin = submit.call;
    pending.connection = connection;
    pending.requester = name;
    pending.id = submit.id;
    pending.cell = submit.cell;
    ledCell->second.leader->submit(now, call, std::move(submit.id), std::move(submit.spec), std::move(submit.terms), submit.mayHaveRun,
                                   expiresAt);
    this->runActions(submit.cell);
}

void Node::withdrawRemoteCall(CallId call)
{
    const CellName cell = this->calls.at(call).cell;
    this->calls.erase(call);
    if (const auto ledCell = this->ledCells.find(cell); ledCell != this->ledCells.end()) {
        ledCell->second.leader->withdraw(this->ports.now(), call);
        this->runActions(cell);
    }
}

void Node::onInboundLinkLost(LinkHandle connection)
{
    this->inboundPeers.erase(connection);
    // The requester has answered its callers that the outcome is unknown, and they submit their jobs again.
    std::vector<CallId> orphaned;
    for (const auto &[call, pending] : this->calls) {
        if (pending.connection == connection && pending.kind == PendingCall::Kind::RemoteSubmission) {
            orphaned.push_back(call);
        }
    }
    for (const CallId call : orphaned) {
        if (this->calls.contains(call)) { // A withdrawal may end the jobs of others.
            this->withdrawRemoteCall(call);
        }
    }
}

void Node::onReply(const InstanceName &peer, std::string_view bytes)
{
    Result<LinkMessage> message = decodeLinkMessage(bytes);
    if (message.has_error()) {
        this->log("link-message-unreadable", {{"peer", peer.value}, {"error", message.error().message}}, true);
        return;
    }
    if (LinkSubmitReply *submit = std::get_if<LinkSubmitReply>(&message.value())) {
        this->onSubmitReply(peer, *submit);
    } else if (const LinkJobReply *job = std::get_if<LinkJobReply>(&message.value())) {
        this->onJobAnswer(job->call, job->answer);
    } else if (const LinkRoomReply *room = std::get_if<LinkRoomReply>(&message.value())) {
        this->onRoomsAnswered(room->cell, room->rooms);
    }
}

void Node::onSubmitReply(const InstanceName &peer, LinkSubmitReply &reply)
{
    const auto found = this->calls.find(reply.call);
    const bool isFromFormerLeader = found != this->calls.end() && found->second.isAwaitingAnswer && found->second.leader != peer;
    if (isFromFormerLeader && reply.answer.verdict != SubmitVerdict::Ended) {
        return; // The job has been submitted to another leader since.
    }
    if (isFromFormerLeader) {
        this->withdraw(reply.call, found->second);
    }
    this->onSubmitAnswer(reply.call, std::move(reply.answer));
}

void Node::onPeerLost(const InstanceName &peer, bool wasRefused)
{
    this->log("peer-lost", {{"peer", peer.value}, {"refused", wasRefused ? "yes" : "no"}});
    this->scheduleRetriesFor(peer);
    const auto member = this->members.find(peer);
    const bool isInDomain = member != this->members.end() && member->second.record.domain == this->options.self.domain;
    if (!wasRefused || !isInDomain) {
        return;
    }
    for (auto &[name, view] : this->cells) {
        view.hasLeadEnded = view.hasLeadEnded || view.leader == peer;
    }
}

} // namespace Tanagertally::Cells
