/** Replies to the /readyz and /healthz probes. */
#pragma once

#include "caller/http_type.h"
#include "controllers/action_type.h"

#include <mutex>

namespace Tanagertally {

/**
 * Whether this instance accepts new callers, as last reported by the coordinator.
 * Thread safety: all methods may be called from any thread.
 */
class Readiness
{
public:
    /** Stores the state reported by the coordinator. */
    void set(const SetReadiness &action);

    /** @return The reply to /readyz: 200 if ready, else 503 with the reason. */
    HttpReply reply() const;

private:
    mutable std::mutex mutex; ///< Guards `state`.
    SetReadiness state{false, "starting"}; ///< State reported last.
};

/** @return The reply to /healthz: 200 whenever the process can reply at all. Thread safety: any thread. */
HttpReply healthReply();

} // namespace Tanagertally
