/** Lease under which an instance starts tasks of durable jobs, which another instance may adopt. */
#pragma once

#include "blackboard/blackboard.h"
#include "controllers/platform_calls.h"

namespace Tanagertally {

inline constexpr Duration StartLeaseLength
    = std::chrono::milliseconds(1500); ///< Validity, counted from the time at which the renewing read was sent.
inline constexpr Duration StartLeaseDrift
    = std::chrono::milliseconds(150); ///< Allowance for clocks that run at different rates; added before a lease counts as expired.

/**
 * Renews the start lease by reading that this incarnation is not fenced. The lease counts from the time at which the read was
 * sent, so that it has expired by the time at which the instance that wrote the fence adopts the jobs.
 * Thread safety: none.
 */
class StartLease
{
public:
    /** Both arguments must outlive this object. */
    StartLease(Blackboard &board, PlatformCalls &platform);

    /** Starts renewing the lease; from then on there is one read per renewal interval. */
    void activate();

    /** @return Whether tasks of durable jobs may be started now. */
    bool isHeld() const;

    /** Renews the lease if due. */
    void advance();

    /** @return Time at which advance() has to be called next. */
    TimePoint nextDeadline() const;

    /** Sets the handler that is called once if a renewal shows that this incarnation is fenced. */
    void setFencedHandler(std::function<void()> handler);

    /** Sets the handler that is called when the lease is first granted and each time it is renewed after it had lapsed. */
    void setRegainedHandler(std::function<void()> handler);

private:
    void renew();
    void onReply(TimePoint sentAt, const PlatformReply &reply);

    Blackboard &board;
    PlatformCalls &platform;
    bool isActive = false; ///< Whether the lease is to be renewed.
    bool isRenewing = false; ///< Whether a renewing read is in flight.
    bool fenced = false; ///< Whether a renewal showed that this incarnation is fenced.
    TimePoint validUntil{}; ///< End of the lease.
    TimePoint nextRenewal{}; ///< Time of the next renewal.
    std::function<void()> fencedHandler; ///< Called when a renewal shows that this incarnation is fenced.
    std::function<void()> regainedHandler; ///< Called when the lease is first granted or is renewed after it had lapsed.
};

} // namespace Tanagertally
