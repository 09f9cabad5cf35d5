/** Life cycle of an endpoint as one entry instance sees it. */
#pragma once

#include <cstdint>
#include <memory>
#include <string_view>

namespace Tanagertally {

/** State of an endpoint. */
enum class EndpointState : std::uint8_t {
    Live, ///< Takes new work.
    Ejected, ///< Failed too often; takes none until its ejection ends.
    Trial, ///< Ejection ended; takes one idempotent task at a time until one succeeds.
    Unreachable, ///< Could not be connected to; probed until it answers.
    Leaving, ///< Takes no new work; requests in flight finish.
};

/** What moves an endpoint from state to state. */
enum class EndpointSignal : std::uint8_t {
    FailedRepeatedly, ///< Tasks failed on it one after the other.
    EjectionEnded, ///< The time of ejection is over.
    TrialSucceeded, ///< A task succeeded on it.
    TrialFailed, ///< A task failed on it during its trial.
    ConnectFailed, ///< It could not be connected to, repeatedly, or did not answer a probe.
    ProbeAnswered, ///< It answered a health probe.
    Left, ///< It is leaving: by the list, an operator, or its own word.
    CameBack, ///< It is live again.
};

/** @return The name of an endpoint's state, such as "live". */
std::string_view toString(EndpointState state);

/**
 * State machine of one endpoint; its transition table is in endpoint_lifecycle.cpp.
 * Thread safety: none.
 */
class EndpointLifecycle
{
public:
    /** Start as Live. */
    EndpointLifecycle();
    ~EndpointLifecycle();
    EndpointLifecycle(EndpointLifecycle &&) noexcept;
    EndpointLifecycle &operator=(EndpointLifecycle &&) noexcept;

    /** @return The present state. */
    EndpointState state() const;

    /**
     * Apply a signal.
     * @param signal What happened.
     * @return Whether the state changed; a signal that means nothing in this state changes nothing.
     */
    bool apply(EndpointSignal signal);

private:
    struct Machine;
    std::unique_ptr<Machine> machine; ///< The Boost.MSM machine.
};

} // namespace Tanagertally
