/** Slot lending between the entry instances of a failure domain. */
#pragma once

#include "controllers/dispatch_controller.h"

namespace Tanagertally {

/**
 * Each slot belongs to one instance of its failure domain. An instance with waiting tasks borrows free slots from peers under a
 * lease. It returns them when its queue is empty or the lease has ended, each slot as soon as no task runs on it.
 * Thread safety: none.
 */
class SlotController
{
public:
    /** The references must outlive this object. */
    SlotController(Blackboard &board, Outbox &outbox, EndpointController &endpoints);

    /** Requests slots from peers if tasks wait and no slot is free; returns borrowed slots that are no longer needed or leased. */
    void balanceSlots();

    /** Lends slots to a peer that requested some, unless tasks wait on this instance. */
    void handle(PeerRecord &peer, const SlotRequest &request);

    /** Adds the slots that a peer lent; slots of unknown endpoints are returned. */
    void handle(PeerRecord &peer, const SlotGrant &grant);

    /** Takes back slots that a peer returned. */
    void handle(PeerRecord &peer, const SlotReturn &returned);

    /** Takes back the slots lent to a peer and drops those borrowed from it, before its link is removed. */
    void onPeerDown(PeerRecord &peer);

    /** @return Number of free slots of the available endpoints. */
    std::uint32_t freeSlots() const;

private:
    void requestSlots();
    void returnBorrowed(PeerRecord &peer);

    Blackboard &board;
    Outbox &outbox;
    EndpointController &endpoints;
    std::uint64_t lastLease = 0; ///< Number of the last lease granted.
    std::uint32_t borrowedTotal = 0; ///< Number of slots borrowed from all peers.
};

} // namespace Tanagertally
