/** Lifecycle of an endpoint as seen by one entry instance. */
#pragma once

#include <cstdint>
#include <memory>
#include <string_view>

namespace Tanagertally {

/** State of an endpoint; it decides which new tasks may start there. */
enum class EndpointState : std::uint8_t {
    Live, ///< Accepts new tasks.
    Ejected, ///< Failed repeatedly; gets no new tasks until the ejection ends.
    Trial, ///< Ejection ended; gets one idempotent task at a time until one succeeds.
    Unreachable, ///< Connection attempts failed; probed until it answers.
    Leaving, ///< Gets no new tasks; requests in flight finish.
};

/** Events of the endpoint state machine. */
enum class EndpointEvent : std::uint8_t {
    FailedRepeatedly, ///< Several consecutive tasks failed.
    EjectionEnded, ///< The ejection period elapsed.
    TrialSucceeded, ///< A task succeeded; ends a trial.
    TrialFailed, ///< A task failed during the trial.
    ConnectFailed, ///< Several connection attempts failed, or a probe was not answered.
    ProbeAnswered, ///< A health probe was answered.
    LeavingReported, ///< The instance list, an operator or the endpoint itself reported that it is leaving.
    LeavingWithdrawn, ///< No source reports any longer that it is leaving.
};

/** @return The state as written in answers and logs, such as "live". */
std::string_view toString(EndpointState state);

/**
 * State machine of one endpoint; its transition table is in endpoint_lifecycle.cpp.
 * Thread safety: none.
 */
class EndpointLifecycle
{
public:
    /** Creates a machine in state Live. */
    EndpointLifecycle();
    ~EndpointLifecycle();
    EndpointLifecycle(EndpointLifecycle &&) noexcept;
    EndpointLifecycle &operator=(EndpointLifecycle &&) noexcept;

    /** @return The current state. */
    EndpointState state() const;

    /**
     * Processes an event. An event without a transition from the current state is ignored.
     * @return Whether the state changed.
     */
    bool apply(EndpointEvent event);

private:
    struct Machine;
    std::unique_ptr<Machine> machine; ///< Boost.MSM state machine, hidden to keep its headers out of this one.
};

} // namespace Tanagertally
