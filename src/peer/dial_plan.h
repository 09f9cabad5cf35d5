/** Which addresses are to be connected to, and when. */
#pragma once

#include "blackboard/id_type.h"
#include "core/random_base.h"
#include "core/time_type.h"
#include "peer/websocket_transport.h"

#include <chrono>
#include <unordered_map>
#include <vector>

namespace Tanagertally {

/** An address that a link was asked for. */
struct DialTarget {
    bool isPersistent = false; ///< Whether to connect again whenever the link breaks.
    bool hasPendingOutcome = false; ///< Whether PeerUp or PeerUnreachable has still to be pushed for a single try.
    bool hasTried = false; ///< Whether a connection was tried.
    ConnectionHandle connection = 0; ///< The connection that is opening or open; 0 if there is none.
    std::chrono::steady_clock::time_point dueTime; ///< When to connect next, or when a failed single try is reported.
    InstanceName peer; ///< Who was met at this address last; empty if nobody yet.
};

/**
 * The addresses that links were asked for. Does no I/O and reads no clock.
 * Thread safety: none.
 */
class DialPlan
{
public:
    using Time = std::chrono::steady_clock::time_point; ///< An instant.

    /**
     * @param interval Mean time between two tries.
     * @param seed Seed of the jitter.
     */
    DialPlan(Duration interval, std::uint64_t seed);

    /**
     * Ask for a link.
     * @param address Where to connect to.
     * @param isPersistent Whether to keep the link; a standing target stays standing until remove().
     * @param now Present time.
     */
    void add(const NetAddress &address, bool isPersistent, Time now);

    /**
     * Give up an address.
     * @param address The address.
     */
    void remove(const NetAddress &address);

    /** @return The target of an address, or null. The pointer is good until the address is removed. */
    DialTarget *find(const NetAddress &address);

    /** @return Addresses without a connection whose time has come. */
    std::vector<NetAddress> dueAddresses(Time now) const;

    /**
     * Note that a peer is linked, by whichever connection: no outcome is owed any more to the addresses that lead to it.
     * @param peer Name of the peer.
     * @param address Where the peer accepts links.
     */
    void onPeerLinked(const InstanceName &peer, const NetAddress &address);

    /**
     * Set the time of the next try, with jitter.
     * @param target The target.
     * @param now Present time.
     */
    void scheduleRetry(DialTarget &target, Time now);

private:
    Duration interval; ///< Mean time between two tries.
    RandomEngine engine; ///< Source of the jitter.
    std::unordered_map<NetAddress, DialTarget> targets; ///< All targets.
};

} // namespace Tanagertally
