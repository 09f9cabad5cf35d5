/** Membership: links to other entry instances and their heartbeats. */
#pragma once

#include "controllers/config_controller.h"
#include "controllers/slot_controller.h"

namespace Tanagertally {

/**
 * Maintains links to all instances of the own failure domain and to a few instances of each other domain. Those are chosen by
 * rendezvous hashing, so that the number of links across domains does not grow with the number of instances.
 * Method: D. Thaler and C. Ravishankar, "Using name-based mappings to increase hit rates" (rendezvous hashing).
 * Thread safety: none.
 */
class MemberController
{
public:
    /** The references must outlive this object. @param seeds Peer addresses from the settings; opened by the first advance(). */
    MemberController(Blackboard &board, Outbox &outbox, ConfigController &config, SlotController &slots, EndpointController &endpoints,
                     std::vector<NetAddress> seeds);

    /** Opens and closes links according to the instance list. */
    void handle(const InstanceList &list);

    /** Adds a peer whose link was established. @return Record of the peer. */
    PeerRecord &onPeerUp(const PeerUp &up);

    /** Removes a peer whose link was lost. */
    void onPeerDown(PeerId id);

    /** Handles the heartbeat of a peer. */
    void handle(PeerRecord &peer, const Heartbeat &heartbeat);

    /** Sends heartbeats to all peers at once, for example when this instance starts to shut down. */
    void sendHeartbeatsNow();

    /** Sends the heartbeats that are due. */
    void advance();

    /** @return Time at which advance() has to be called next. */
    TimePoint nextDeadline() const;

private:
    std::unordered_set<NetAddress> chooseLinks(const InstanceList &list) const;
    Heartbeat makeHeartbeat() const;
    bool isOwnDomain(const PeerRecord &peer) const;

    Blackboard &board;
    Outbox &outbox;
    ConfigController &config; ///< Receives the configuration versions that peers report.
    SlotController &slots; ///< Source of the free slots in heartbeats.
    EndpointController &endpoints; ///< Divides the slots when the members of the domain change.
    std::vector<NetAddress> seeds; ///< Peer addresses from the settings.
    std::unordered_set<NetAddress> persistentLinks; ///< Addresses to which a persistent link is open or being opened.
    TimePoint nextOwnDomainHeartbeat{}; ///< Time of the next heartbeats to the own failure domain.
    TimePoint nextOtherDomainHeartbeat{}; ///< Time of the next heartbeats to other failure domains.
    bool areSeedsOpened = false; ///< Whether links to the seeds were requested.
};

} // namespace Tanagertally
