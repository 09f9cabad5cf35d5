/** Membership: links to other entry instances and their heartbeats. */
#pragma once

#include "controllers/config_controller.h"
#include "controllers/slot_controller.h"

namespace Tanagertally {

/**
 * Keeps links to all instances of the own failure domain and to a few of each other one, chosen by rendezvous hashing, so
 * that the number of links doesn't grow with the fleet.
 * Method: D. Thaler and C. Ravishankar, "Using name-based mappings to increase hit rates" (rendezvous hashing).
 * Thread safety: none.
 */
class MemberController
{
public:
    /** The references must outlive this object. @param seeds Addresses from the settings, used until a list was read. */
    MemberController(Blackboard &board, Outbox &outbox, ConfigController &config, SlotController &slots, EndpointController &endpoints,
                     std::vector<NetAddress> seeds);

    /** Take in the instance list. */
    void handle(const InstanceList &list);

    /** A link is up. @return Its record. */
    PeerRecord &onPeerUp(const PeerUp &up);

    /** A link is gone. */
    void onPeerDown(PeerId id);

    /** A peer's heartbeat. */
    void handle(PeerRecord &peer, const Heartbeat &heartbeat);

    /** Send heartbeats to all peers at once, such as when this instance begins to stop. */
    void sendHeartbeatsNow();

    /** Send the heartbeats that are due. */
    void advance();

    /** @return When advance() has to be called next. */
    TimePoint nextDeadline() const;

private:
    std::unordered_set<NetAddress> chooseLinks(const InstanceList &list) const;
    Heartbeat makeHeartbeat() const;
    bool isOwnDomain(const PeerRecord &peer) const;

    Blackboard &board; ///< The state.
    Outbox &outbox; ///< Where actions go.
    ConfigController &config; ///< Hears what is in force elsewhere.
    SlotController &slots; ///< Knows free slots.
    EndpointController &endpoints; ///< Divides slots between members.
    std::vector<NetAddress> seeds; ///< Addresses from the settings.
    std::unordered_set<NetAddress> persistentLinks; ///< Links that are kept.
    TimePoint nextOwnDomainHeartbeat{}; ///< When to send heartbeats in the own failure domain.
    TimePoint nextOtherDomainHeartbeat{}; ///< When to send heartbeats to other failure domains.
    bool areSeedsOpened = false; ///< Whether the seeds were opened.
};

} // namespace Tanagertally
