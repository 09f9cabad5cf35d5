// The part of LinkTable that decides which connections become links.
#include "peer/cbor_document.h"
#include "peer/link_table.h"
#include "peer/peer_close_code.h"
#include "peer/peer_codec.h"

#include <algorithm>
#include <tuple>

namespace Tanagertally {

namespace {

constexpr std::size_t MaxUnauthenticated = 64;
constexpr std::size_t MaxReplacedRemembered = 1024;

/** An order of instances on which both sides agree. */
bool isBefore(const InstanceIdentity &first, const InstanceIdentity &second)
{
    return std::tie(first.name.value, first.incarnation.value) < std::tie(second.name.value, second.incarnation.value);
}

bool isSame(const InstanceIdentity &first, const InstanceIdentity &second)
{
    return first.name == second.name && first.incarnation == second.incarnation;
}

} // namespace

void LinkTable::takeHandshake(Link &link, const std::string &bytes)
{
    const HandshakeStep step = link.handshake->receive(bytes);
    if (const auto *reason = std::get_if<HandshakeRefusal>(&step)) {
        this->refuse(link, *reason);
    } else if (const auto *proof = std::get_if<SendProof>(&step)) {
        this->takeGreeting(link, *proof);
    } else {
        this->authenticated(link);
    }
}

void LinkTable::refuse(const Link &link, HandshakeRefusal reason)
{
    switch (reason) {
    case HandshakeRefusal::Malformed:
        this->counters.count(&PeerLinksStats::malformed);
        break;
    case HandshakeRefusal::WrongVersion:
        this->counters.count(&PeerLinksStats::refusedVersion);
        break;
    case HandshakeRefusal::OwnProcess:
        this->counters.count(&PeerLinksStats::refusedSelf);
        break;
    case HandshakeRefusal::WrongKey:
        this->counters.count(&PeerLinksStats::refusedKey);
        break;
    }
    this->closeWith(link.handle, CloseRefused);
}

void LinkTable::takeGreeting(Link &link, const SendProof &proof)
{
    link.peer = link.handshake->peer();
    if (link.side == ConnectionSide::Connector && this->isRedundant(link)) {
        this->counters.count(&PeerLinksStats::duplicates);
        this->closeWith(link.handle, CloseDuplicate);
        return;
    }
    link.isProofSent = true;
    this->transport.send(link.handle, proof.bytes);
}

/** The other side is authenticated: settle whether this link, or the one that is up already, is kept. */
void LinkTable::authenticated(Link &link)
{
    if (this->isReplaced(link.peer)) {
        this->counters.count(&PeerLinksStats::refusedStale);
        this->closeWith(link.handle, CloseRefused);
        return;
    }
    Link *const existing = this->upLink(link.peer.name);
    if (existing == nullptr) {
        this->bringUp(link);
        return;
    }
    if (!isSame(existing->peer, link.peer)) {
        this->noteReplaced(existing->peer);
        this->closeWith(existing->handle, CloseReplaced);
        this->bringUp(link);
        return;
    }
    this->counters.count(&PeerLinksStats::duplicates);
    // Of two links that the peer opened the later counts: it opens a second one only after it lost the first.
    const bool isLater = existing->side == link.side && link.side == ConnectionSide::Acceptor;
    if (!isLater && !this->isPreferred(link)) {
        this->closeWith(link.handle, CloseDuplicate);
        return;
    }
    this->closeWith(existing->handle, CloseDuplicate);
    this->bringUp(link);
}

void LinkTable::bringUp(Link &link)
{
    link.handshake.reset();
    link.isUp = true;
    link.id = this->lastId = PeerId(this->lastId.value + 1);
    this->upByName[link.peer.name] = link.handle;
    this->upById[link.id] = link.handle;
    this->transport.liftMessageLimit(link.handle);
    if (DialTarget *const target = this->plan.find(link.dialled)) {
        target->peer = link.peer.name;
    }
    this->plan.settle(link.peer.name, link.peer.peerAddress);
    this->counters.count(&PeerLinksStats::opened);
    this->events.push(PeerUp{link.id, Hello{PeerProtocolVersion, link.peer}});
}

void LinkTable::takeMessage(Link &link, const std::string &bytes)
{
    auto message = decodePeerMessage(asBytes(bytes));
    if (message.has_error() || std::holds_alternative<Hello>(message.value())) {
        this->counters.count(&PeerLinksStats::malformed);
        this->closeWith(link.handle, CloseRefused);
        return;
    }
    this->events.push(PeerMessageReceived{link.id, std::move(message.value())});
}

bool LinkTable::isReplaced(const InstanceIdentity &peer) const
{
    return std::find(this->replaced.begin(), this->replaced.end(), std::pair(peer.name, peer.incarnation)) != this->replaced.end();
}

void LinkTable::noteReplaced(const InstanceIdentity &peer)
{
    this->replaced.emplace_back(peer.name, peer.incarnation);
    if (this->replaced.size() > MaxReplacedRemembered) {
        this->replaced.pop_front();
    }
}

LinkTable::Link *LinkTable::upLink(const InstanceName &peer)
{
    const auto found = this->upByName.find(peer);
    return found == this->upByName.end() ? nullptr : &this->links.at(found->second);
}

/** Whether a connection opened from here leads to a peer to which a link as good is up or about to be. */
bool LinkTable::isRedundant(const Link &link)
{
    return std::any_of(this->links.begin(), this->links.end(), [&](const auto &entry) {
        const Link &other = entry.second;
        if (other.handle == link.handle || !isSame(other.peer, link.peer)) {
            return false;
        }
        if (other.side == ConnectionSide::Connector) {
            return other.isUp || other.isProofSent;
        }
        return other.isUp && this->isPreferred(other);
    });
}

/** Whether the smaller of the two instances opened this link. */
bool LinkTable::isPreferred(const Link &link) const
{
    const bool isOwnSmaller = isBefore(this->options.identity, link.peer);
    return isOwnSmaller == (link.side == ConnectionSide::Connector);
}

bool LinkTable::isExcess() const
{
    const auto isWaiting = [](const auto &entry) { return entry.second.side == ConnectionSide::Acceptor && !entry.second.isUp; };
    return static_cast<std::size_t>(std::count_if(this->links.begin(), this->links.end(), isWaiting)) >= MaxUnauthenticated;
}

} // namespace Tanagertally
