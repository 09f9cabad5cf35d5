/** Lending of slots between the entry instances of a failure domain. */
#pragma once

#include "controllers/dispatch_controller.h"

namespace Tanagertally {

/**
 * Every slot belongs to one instance of its failure domain. An instance whose tasks wait borrows free slots from peers,
 * under a lease; it returns them when its queue is empty or the lease ends, each as soon as no task runs on it.
 * Thread safety: none.
 */
class SlotController
{
public:
    /** The references must outlive this object. */
    SlotController(Blackboard &board, Outbox &outbox, EndpointController &endpoints);

    /** Ask peers for slots if tasks wait and none is free; return borrowed ones if none waits. */
    void balanceSlots();

    /** A peer asks for slots. */
    void handle(PeerRecord &peer, const SlotRequest &request);

    /** A peer lends slots. */
    void handle(PeerRecord &peer, const SlotGrant &grant);

    /** A peer returns slots. */
    void handle(PeerRecord &peer, const SlotReturn &returned);

    /** A link is about to be removed: take back what was lent, drop what was borrowed. */
    void onPeerDown(PeerRecord &peer);

    /** @return Slots that stand free here. */
    std::uint32_t freeSlots() const;

private:
    void requestSlots();
    void returnBorrowed(PeerRecord &peer);

    Blackboard &board; ///< The state.
    Outbox &outbox; ///< Where actions go.
    EndpointController &endpoints; ///< Keeps the endpoints.
    std::uint64_t lastLease = 0; ///< Last number given.
    std::uint32_t borrowedTotal = 0; ///< Slots borrowed from all peers.
};

} // namespace Tanagertally
