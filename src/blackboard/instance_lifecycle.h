/** Lifecycle of an entry instance. */
#pragma once

#include <cstdint>
#include <memory>
#include <string_view>

namespace Tanagertally {

/** State of an entry instance. */
enum class InstanceState : std::uint8_t {
    AwaitingConfig, ///< Started without a configuration; accepts no jobs.
    Serving, ///< Accepts jobs.
    Draining, ///< Is stopping: accepts no new jobs and finishes the open ones.
    Stopped, ///< All jobs and calls are answered.
};

/** Events of the instance state machine. */
enum class InstanceEvent : std::uint8_t {
    ConfigApplied, ///< A configuration was applied.
    StopRequested, ///< A planned stop was requested, or this instance was fenced.
    Drained, ///< No job or call is open any longer.
};

/** @return The state as written in answers and logs, such as "serving". */
std::string_view toString(InstanceState state);

/**
 * State machine of an entry instance; its transition table is in instance_lifecycle.cpp.
 * Thread safety: none.
 */
class InstanceLifecycle
{
public:
    /** Creates a machine in state Learning. */
    InstanceLifecycle();
    ~InstanceLifecycle();
    InstanceLifecycle(InstanceLifecycle &&) noexcept;
    InstanceLifecycle &operator=(InstanceLifecycle &&) noexcept;

    /** @return The current state. */
    InstanceState state() const;

    /**
     * Processes an event. An event without a transition from the current state is ignored.
     * @return Whether the state changed.
     */
    bool apply(InstanceEvent event);

private:
    struct Machine;
    std::unique_ptr<Machine> machine; ///< Boost.MSM state machine, hidden to keep its headers out of this one.
};

} // namespace Tanagertally
