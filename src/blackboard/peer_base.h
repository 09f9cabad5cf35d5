/** Peers: links that are up, and what the other entry instances last reported. */
#pragma once

#include "blackboard/member_type.h"
#include "core/time_type.h"

#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace Tanagertally {

/** A link that is up. */
struct PeerRecord {
    PeerId id; ///< The link.
    InstanceIdentity identity; ///< Who is at the other end.
    TimePoint connectedAt{}; ///< When the link came up.
    bool stopping = false; ///< Whether it is shutting down.
    ConfigVersion configInForce; ///< Version that it has in force.
    std::uint32_t queued = 0; ///< Tasks that wait there.
    std::uint32_t freeSlots = 0; ///< Slots that stand free there.
    std::unordered_map<TeamName, std::uint32_t> usage; ///< Tasks of teams with a quota that run there.
    TimePoint slotsAskedAt{}; ///< When it was last asked for slots.
    std::unordered_map<EndpointId, std::uint32_t> lentSlots; ///< Slots lent to it.
    std::unordered_map<EndpointId, std::uint32_t> borrowedSlots; ///< Slots borrowed from it.
    TimePoint borrowedUntil{}; ///< End of the lease on borrowed slots.
};

/**
 * Links by number, by address and by incarnation.
 * Thread safety: none.
 */
class PeerTable
{
public:
    /** Add a link. @pre Its number is new. */
    PeerRecord &add(PeerId id, const InstanceIdentity &identity);

    /** Remove a link. */
    void remove(PeerId id);

    /** @return The link, or null. */
    PeerRecord *find(PeerId id);

    /** @return The link to an instance at an address, or null. */
    PeerRecord *find(const NetAddress &address);

    /** @return The link to an incarnation, or null. */
    PeerRecord *find(Incarnation incarnation);

    /** @return All links. */
    std::unordered_map<PeerId, PeerRecord> &all()
    {
        return this->records;
    }

    /** @return All links. */
    const std::unordered_map<PeerId, PeerRecord> &all() const
    {
        return this->records;
    }

private:
    std::unordered_map<PeerId, PeerRecord> records; ///< All links.
};

} // namespace Tanagertally
