/** Addresses to connect to and the time of the next connection attempt to each. */
#pragma once

#include "blackboard/id_type.h"
#include "core/random_base.h"
#include "core/time_type.h"
#include "peer/websocket_transport.h"

#include <chrono>
#include <unordered_map>
#include <vector>

namespace Tanagertally {

/** State of one address to which a link was requested. */
struct DialTarget {
    bool isPersistent = false; ///< Whether to reconnect whenever the link breaks.
    bool hasPendingOutcome = false; ///< Whether a one-time request still awaits PeerUp or PeerUnreachable.
    bool hasTried = false; ///< Whether at least one connection attempt was made.
    ConnectionHandle connection = 0; ///< The opening or open connection; 0 if none.
    std::chrono::steady_clock::time_point dueTime; ///< Time of the next connection attempt, or of reporting a failed one-time attempt.
    InstanceName peer; ///< Peer that was last linked through this address; empty if none yet.
};

/**
 * Schedules connection attempts, with jittered retry intervals. Does no I/O and reads no clock.
 * Thread safety: none.
 */
class DialPlan
{
public:
    using Time = std::chrono::steady_clock::time_point;

    /**
     * @param interval Mean time between two connection attempts to an address.
     * @param seed Seed of the random generator for the jitter.
     */
    DialPlan(Duration interval, std::uint64_t seed);

    /**
     * Adds an address, or updates the request for it; it is due at once unless a connection is opening or open.
     * @param isPersistent Whether to reconnect whenever the link breaks; a persistent target stays so until remove().
     */
    void add(const NetAddress &address, bool isPersistent, Time now);

    /** Removes an address; no further attempt is made. Open connections are left to the caller. */
    void remove(const NetAddress &address);

    /** @return The target of an address, or null. The pointer is valid until the address is removed. */
    DialTarget *find(const NetAddress &address);

    /** @return Addresses without a connection whose next attempt is due. */
    std::vector<NetAddress> dueAddresses(Time now) const;

    /**
     * Marks the pending one-time requests for a peer as fulfilled, whichever connection links it, and removes targets that are not
     * persistent.
     * @param peer Name of the linked peer.
     * @param address Address at which the peer accepts links.
     */
    void onPeerLinked(const InstanceName &peer, const NetAddress &address);

    /** Schedules the next attempt after 0.5 to 1.5 times the mean interval, drawn uniformly. */
    void scheduleRetry(DialTarget &target, Time now);

private:
    Duration interval; ///< Mean time between two connection attempts.
    RandomEngine engine; ///< Random generator for the jitter.
    std::unordered_map<NetAddress, DialTarget> targets; ///< Targets by address.
};

} // namespace Tanagertally
