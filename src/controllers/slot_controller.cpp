#include "controllers/slot_controller.h"

namespace Tanagertally {

namespace {

constexpr Duration RequestInterval = std::chrono::milliseconds(10);
constexpr Duration SlotLeaseDuration = std::chrono::milliseconds(300);
constexpr std::uint32_t MaxSlotsPerRequest = 256; // slots

} // namespace

SlotController::SlotController(Blackboard &board, Outbox &outbox, EndpointController &endpoints)
    : board(board)
    , outbox(outbox)
    , endpoints(endpoints)
{
}

std::uint32_t SlotController::freeSlots() const
{
    std::uint32_t slots = 0;
    for (const EndpointRecord *endpoint : this->board.endpoints.available()) {
        slots += endpoint->freeSlots();
    }
    return slots;
}

void SlotController::balanceSlots()
{
    if (this->board.stats.queued > 0 && this->board.endpoints.available().empty()) {
        this->requestSlots();
    }
    if (this->borrowedTotal == 0) {
        return;
    }
    for (auto &[id, peer] : this->board.peers.all()) {
        const bool hasLeaseEnded = this->board.now >= peer.borrowedUntil;
        if (!peer.borrowedSlots.empty() && (hasLeaseEnded || this->board.stats.queued == 0)) {
            this->returnBorrowed(peer);
        }
    }
}

void SlotController::requestSlots()
{
    const auto wanted = static_cast<std::uint32_t>(std::min<std::uint64_t>(this->board.stats.queued, MaxSlotsPerRequest));
    for (auto &[id, peer] : this->board.peers.all()) {
        const bool mayHaveSlots
            = peer.identity.domain == this->board.identity.domain && !peer.stopping && peer.queued == 0 && peer.freeSlots > 0;
        if (!mayHaveSlots || this->board.now - peer.slotsRequestedAt < RequestInterval) {
            continue;
        }
        peer.slotsRequestedAt = this->board.now;
        this->outbox.emit(SendToPeer{id, SlotRequest{wanted}});
    }
}

void SlotController::handle(PeerRecord &peer, const SlotRequest &request)
{
    if (this->board.stats.queued > 0) {
        return;
    }
    std::uint32_t left = std::min(request.slots, (this->freeSlots() + 1) / 2);
    SlotGrant grant{++this->lastLease, SlotLeaseDuration, {}};
    const std::vector<EndpointRecord *> candidates = this->board.endpoints.available();
    for (EndpointRecord *endpoint : candidates) {
        const bool isLendable = endpoint->lifecycle.state() == EndpointState::Live && endpoint->borrowed == 0;
        const std::uint32_t count = isLendable ? std::min(left, endpoint->freeSlots()) : 0;
        if (count == 0) {
            continue;
        }
        endpoint->lent += count;
        peer.lentSlots[endpoint->id] += count;
        left -= count;
        grant.slots.push_back(SlotCount{endpoint->listed.worker, count});
        this->endpoints.updateAvailability(*endpoint);
    }
    if (!grant.slots.empty()) {
        this->outbox.emit(SendToPeer{peer.id, std::move(grant)});
    }
}

void SlotController::handle(PeerRecord &peer, const SlotGrant &grant)
{
    SlotReturn unknown{grant.lease, {}};
    for (const SlotCount &slots : grant.slots) {
        EndpointRecord *endpoint = this->board.endpoints.find(slots.worker);
        if (endpoint == nullptr) {
            unknown.slots.push_back(slots);
            continue;
        }
        endpoint->borrowed += slots.slots;
        peer.borrowedSlots[endpoint->id] += slots.slots;
        this->borrowedTotal += slots.slots;
        this->endpoints.updateAvailability(*endpoint);
    }
    peer.borrowedUntil = this->board.now + grant.validFor;
    if (!unknown.slots.empty()) {
        this->outbox.emit(SendToPeer{peer.id, std::move(unknown)});
    }
}

void SlotController::returnBorrowed(PeerRecord &peer)
{
    SlotReturn returned;
    for (auto entry = peer.borrowedSlots.begin(); entry != peer.borrowedSlots.end();) {
        EndpointRecord *endpoint = this->board.endpoints.find(entry->first);
        const std::uint32_t count = endpoint == nullptr ? entry->second : std::min(entry->second, endpoint->freeSlots());
        if (endpoint != nullptr && count > 0) {
            endpoint->borrowed -= count;
            returned.slots.push_back(SlotCount{endpoint->listed.worker, count});
            this->endpoints.updateAvailability(*endpoint);
        }
        this->borrowedTotal -= count;
        entry->second -= count;
        entry = entry->second == 0 ? peer.borrowedSlots.erase(entry) : std::next(entry);
    }
    if (!returned.slots.empty()) {
        this->outbox.emit(SendToPeer{peer.id, std::move(returned)});
    }
}

void SlotController::handle(PeerRecord &peer, const SlotReturn &returned)
{
    for (const SlotCount &slots : returned.slots) {
        EndpointRecord *endpoint = this->board.endpoints.find(slots.worker);
        if (endpoint == nullptr) {
            continue;
        }
        const auto lent = peer.lentSlots.find(endpoint->id);
        const std::uint32_t count = lent == peer.lentSlots.end() ? 0 : std::min(slots.slots, lent->second);
        if (count == 0) {
            continue;
        }
        endpoint->lent -= count;
        lent->second -= count;
        if (lent->second == 0) {
            peer.lentSlots.erase(lent);
        }
        this->endpoints.updateAvailability(*endpoint);
    }
}

void SlotController::onPeerDown(PeerRecord &peer)
{
    for (const auto &[id, count] : peer.lentSlots) {
        EndpointRecord *endpoint = this->board.endpoints.find(id);
        if (endpoint != nullptr) {
            endpoint->lent -= count;
            this->endpoints.updateAvailability(*endpoint);
        }
    }
    for (const auto &[id, count] : peer.borrowedSlots) {
        EndpointRecord *endpoint = this->board.endpoints.find(id);
        this->borrowedTotal -= count;
        if (endpoint != nullptr) {
            endpoint->borrowed -= count;
            this->endpoints.updateAvailability(*endpoint);
        }
    }
}

} // namespace Tanagertally
