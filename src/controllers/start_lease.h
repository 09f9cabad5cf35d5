/** The lease under which an instance starts tasks of jobs that another instance may adopt. */
#pragma once

#include "blackboard/blackboard.h"
#include "controllers/platform_calls.h"

namespace Tanagertally {

inline constexpr Duration StartLeaseLength = std::chrono::milliseconds(1500); ///< Validity counted from before the read that renews it.
inline constexpr Duration StartLeaseDrift = std::chrono::milliseconds(150); ///< Allowance for clocks that run at different rates.

/**
 * Renews the start lease by reading that this incarnation is not fenced. The lease counts from before the read was sent,
 * so that it ends before whoever fenced this incarnation has waited it out.
 * Thread safety: none.
 */
class StartLease
{
public:
    /** Both arguments must outlive this object. */
    StartLease(Blackboard &board, PlatformCalls &platform);

    /** Keep the lease renewed from now on; costs one read per interval. */
    void activate();

    /** @return Whether tasks of durable jobs may be started at this very moment. */
    bool isHeld() const;

    /** Renew if due. */
    void advance();

    /** @return When advance() has to be called next. */
    TimePoint nextDeadline() const;

    /** Set what is called once if a renewal shows that this incarnation is fenced. */
    void setFencedHandler(std::function<void()> handler);

    /** Set what is called each time the lease was renewed after it had lapsed. */
    void setRegainedHandler(std::function<void()> handler);

private:
    void renew();
    void onReply(TimePoint sentAt, const PlatformReply &reply);

    Blackboard &board; ///< The state.
    PlatformCalls &platform; ///< The platform.
    bool isActive = false; ///< Whether the lease is wanted.
    bool isRenewing = false; ///< Whether a read is under way.
    bool fenced = false; ///< Whether this incarnation is fenced.
    TimePoint validUntil{}; ///< End of the lease.
    TimePoint nextRenewal{}; ///< When to read again.
    std::function<void()> fencedHandler; ///< Called when fenced.
    std::function<void()> regainedHandler; ///< Called when renewed after a lapse.
};

} // namespace Tanagertally
