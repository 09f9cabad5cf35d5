/** What /readyz answers. */
#pragma once

#include "caller/http_type.h"
#include "controllers/action_type.h"

#include <mutex>

namespace Tanagertally {

/**
 * Whether this instance welcomes new callers, as the decision part said last.
 * Thread safety: all methods may be called from any thread.
 */
class Readiness
{
public:
    /** Take over what the decision part says. */
    void set(const SetReadiness &action);

    /** @return The reply to /readyz: 200 if ready, else 503 with the reason. */
    HttpReply reply() const;

private:
    mutable std::mutex mutex; ///< Guards `state`.
    SetReadiness state{false, "starting"}; ///< What was said last.
};

/** @return The reply to /healthz: 200 as long as the process serves. Thread safety: any thread. */
HttpReply healthReply();

} // namespace Tanagertally
