/** Life cycle of an entry instance. */
#pragma once

#include <cstdint>
#include <memory>
#include <string_view>

namespace Tanagertally {

/** State of an entry instance. */
enum class InstanceState : std::uint8_t {
    Learning, ///< Started; knows no configuration yet and takes no work.
    Serving, ///< Takes work.
    Draining, ///< A planned stop was asked for: finishes what it holds.
    Stopped, ///< Everything held has been answered.
};

/** What moves an entry instance from state to state. */
enum class InstanceSignal : std::uint8_t {
    ConfigLearned, ///< A configuration is in force.
    StopAsked, ///< A planned stop was asked for.
    Drained, ///< Nothing is held any more.
};

/** @return The name of a state, such as "serving". */
std::string_view toString(InstanceState state);

/**
 * State machine of an entry instance; its transition table is in instance_lifecycle.cpp.
 * Thread safety: none.
 */
class InstanceLifecycle
{
public:
    /** Start as Learning. */
    InstanceLifecycle();
    ~InstanceLifecycle();
    InstanceLifecycle(InstanceLifecycle &&) noexcept;
    InstanceLifecycle &operator=(InstanceLifecycle &&) noexcept;

    /** @return The present state. */
    InstanceState state() const;

    /**
     * Apply a signal.
     * @param signal What happened.
     * @return Whether the state changed.
     */
    bool apply(InstanceSignal signal);

private:
    struct Machine;
    std::unique_ptr<Machine> machine; ///< The Boost.MSM machine.
};

} // namespace Tanagertally
