/** Peers: established links to other entry instances and the state that these last reported. */
#pragma once

#include "blackboard/member_type.h"
#include "core/time_type.h"

#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace Tanagertally {

/** An established link to a peer. */
struct PeerRecord {
    PeerId id; ///< Number of the link.
    InstanceIdentity identity; ///< Identity of the peer.
    TimePoint connectedAt{}; ///< Time at which the link was established.
    bool stopping = false; ///< Whether the peer reported a planned stop.
    ConfigVersion configInForce; ///< Configuration version in force at the peer.
    std::uint32_t queued = 0; ///< Number of tasks waiting at the peer.
    std::uint32_t freeSlots = 0; ///< Number of free slots at the peer.
    std::unordered_map<TeamName, std::uint32_t> usage; ///< Running tasks at the peer by team, for teams with a quota.
    TimePoint slotsRequestedAt{}; ///< Time of the last request to borrow slots from the peer.
    std::unordered_map<EndpointId, std::uint32_t> lentSlots; ///< Number of slots lent to the peer, by endpoint.
    std::unordered_map<EndpointId, std::uint32_t> borrowedSlots; ///< Number of slots borrowed from the peer, by endpoint.
    TimePoint borrowedUntil{}; ///< End of the lease on borrowed slots.
};

/**
 * Established links, searchable by number, peer address and incarnation. Only the search by number takes constant time.
 * Thread safety: none.
 */
class PeerTable
{
public:
    /** Adds a link. @pre The table has no link of this number. */
    PeerRecord &add(PeerId id, const InstanceIdentity &identity);

    /** Removes a link. Has no effect if the number is unknown. */
    void remove(PeerId id);

    /** @return The link, or null if the number is unknown. */
    PeerRecord *find(PeerId id);

    /** @return The link to the instance with this peer address, or null if there is none. */
    PeerRecord *find(const NetAddress &address);

    /** @return The link to the instance with this incarnation, or null if there is none. */
    PeerRecord *find(Incarnation incarnation);

    /** @return All links by number. */
    std::unordered_map<PeerId, PeerRecord> &all()
    {
        return this->records;
    }

    /** @return All links by number. */
    const std::unordered_map<PeerId, PeerRecord> &all() const
    {
        return this->records;
    }

private:
    std::unordered_map<PeerId, PeerRecord> records; ///< All links by number.
};

} // namespace Tanagertally
