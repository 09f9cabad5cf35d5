// Implements the part of LinkTable that authenticates connections and resolves duplicate links.
#include "peer/cbor_document.h"
#include "peer/link_table.h"
#include "peer/peer_close_code.h"
#include "peer/peer_codec.h"

#include <algorithm>
#include <tuple>

namespace Tanagertally {

namespace {

constexpr std::size_t MaxUnauthenticatedConnections = 64;
constexpr std::size_t MaxReplacedIncarnations = 1024;

/** Total order of instances that is the same on both sides of a link. */
bool isBefore(const InstanceIdentity &first, const InstanceIdentity &second)
{
    return std::tie(first.name.value, first.incarnation.value) < std::tie(second.name.value, second.incarnation.value);
}

bool isSameIncarnation(const InstanceIdentity &first, const InstanceIdentity &second)
{
    return first.name == second.name && first.incarnation == second.incarnation;
}

} // namespace

void LinkTable::handleHandshake(Link &link, const std::string &bytes)
{
    const HandshakeStep step = link.handshake->receive(bytes);
    if (const auto *reason = std::get_if<HandshakeRefusal>(&step)) {
        this->refuseConnection(link, *reason);
    } else if (const auto *proof = std::get_if<SendProof>(&step)) {
        this->handleGreeting(link, *proof);
    } else {
        this->onAuthenticated(link);
    }
}

void LinkTable::refuseConnection(const Link &link, HandshakeRefusal reason)
{
    switch (reason) {
    case HandshakeRefusal::Malformed:
        this->counters.increment(&PeerLinksStats::malformedMessages);
        break;
    case HandshakeRefusal::WrongVersion:
        this->counters.increment(&PeerLinksStats::wrongVersionRefusals);
        break;
    case HandshakeRefusal::OwnProcess:
        this->counters.increment(&PeerLinksStats::selfRefusals);
        break;
    case HandshakeRefusal::WrongKey:
        this->counters.increment(&PeerLinksStats::wrongKeyRefusals);
        break;
    }
    this->closeLink(link.handle, CloseRefused);
}

void LinkTable::handleGreeting(Link &link, const SendProof &proof)
{
    link.peer = link.handshake->peer();
    if (link.side == ConnectionSide::Connector && this->isRedundant(link)) {
        this->counters.increment(&PeerLinksStats::duplicates);
        this->closeLink(link.handle, CloseDuplicate);
        return;
    }
    link.isProofSent = true;
    this->transport.send(link.handle, proof.bytes);
}

/** Decides, after the peer was authenticated, between this link and an existing one to the same instance name. */
void LinkTable::onAuthenticated(Link &link)
{
    if (this->isReplaced(link.peer)) {
        this->counters.increment(&PeerLinksStats::staleRefusals);
        this->closeLink(link.handle, CloseRefused);
        return;
    }
    Link *const existing = this->findUpLink(link.peer.name);
    if (existing == nullptr) {
        this->bringUp(link);
        return;
    }
    if (!isSameIncarnation(existing->peer, link.peer)) {
        this->recordReplaced(existing->peer);
        this->closeLink(existing->handle, CloseReplaced);
        this->bringUp(link);
        return;
    }
    this->counters.increment(&PeerLinksStats::duplicates);
    // Of two links opened by the peer, keep the newer one: a peer opens a second link only after the first one broke on its side.
    const bool isPeerReconnect = existing->side == link.side && link.side == ConnectionSide::Acceptor;
    if (!isPeerReconnect && !this->isPreferred(link)) {
        this->closeLink(link.handle, CloseDuplicate);
        return;
    }
    this->closeLink(existing->handle, CloseDuplicate);
    this->bringUp(link);
}

void LinkTable::bringUp(Link &link)
{
    link.handshake.reset();
    link.isUp = true;
    link.id = this->lastId = PeerId(this->lastId.value + 1);
    this->upByName[link.peer.name] = link.handle;
    this->upById[link.id] = link.handle;
    this->transport.raiseMessageLimit(link.handle);
    if (DialTarget *const target = this->plan.find(link.dialedAddress)) {
        target->peer = link.peer.name;
    }
    this->plan.onPeerLinked(link.peer.name, link.peer.peerAddress);
    this->counters.increment(&PeerLinksStats::openedLinks);
    this->events.push(PeerUp{link.id, Hello{PeerProtocolVersion, link.peer}});
}

void LinkTable::handleMessage(Link &link, const std::string &bytes)
{
    auto message = decodePeerMessage(asBytes(bytes));
    if (message.has_error() || std::holds_alternative<Hello>(message.value())) {
        this->counters.increment(&PeerLinksStats::malformedMessages);
        this->closeLink(link.handle, CloseRefused);
        return;
    }
    this->events.push(PeerMessageReceived{link.id, std::move(message.value())});
}

bool LinkTable::isReplaced(const InstanceIdentity &peer) const
{
    return std::find(this->replacedIncarnations.begin(), this->replacedIncarnations.end(), std::pair(peer.name, peer.incarnation))
           != this->replacedIncarnations.end();
}

void LinkTable::recordReplaced(const InstanceIdentity &peer)
{
    this->replacedIncarnations.emplace_back(peer.name, peer.incarnation);
    if (this->replacedIncarnations.size() > MaxReplacedIncarnations) {
        this->replacedIncarnations.pop_front();
    }
}

LinkTable::Link *LinkTable::findUpLink(const InstanceName &peer)
{
    const auto found = this->upByName.find(peer);
    return found == this->upByName.end() ? nullptr : &this->links.at(found->second);
}

/**
 * @return Whether another connection to the same peer makes this outgoing one unnecessary: an outgoing one that is up or has sent its
 * proof, or an accepted one that is up and preferred.
 */
bool LinkTable::isRedundant(const Link &link)
{
    return std::any_of(this->links.begin(), this->links.end(), [&](const auto &entry) {
        const Link &other = entry.second;
        if (other.handle == link.handle || !isSameIncarnation(other.peer, link.peer)) {
            return false;
        }
        if (other.side == ConnectionSide::Connector) {
            return other.isUp || other.isProofSent;
        }
        return other.isUp && this->isPreferred(other);
    });
}

/** @return Whether the instance that isBefore() puts first opened this link. Both sides keep such a link among duplicates. */
bool LinkTable::isPreferred(const Link &link) const
{
    const bool isOwnSmaller = isBefore(this->options.identity, link.peer);
    return isOwnSmaller == (link.side == ConnectionSide::Connector);
}

bool LinkTable::hasTooManyUnauthenticated() const
{
    const auto isUnauthenticated = [](const auto &entry) { return entry.second.side == ConnectionSide::Acceptor && !entry.second.isUp; };
    return static_cast<std::size_t>(std::count_if(this->links.begin(), this->links.end(), isUnauthenticated))
           >= MaxUnauthenticatedConnections;
}

} // namespace Tanagertally
