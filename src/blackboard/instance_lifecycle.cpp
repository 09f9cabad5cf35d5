#include "blackboard/instance_lifecycle.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace Tanagertally {

namespace {

namespace msm = boost::msm;
using msm::front::none;
using msm::front::Row;

/** Type of an event; Boost.MSM dispatches by type. */
template<InstanceEvent Event>
struct On {
};

/** State type of a state; its entry action records the state. */
template<InstanceState State>
struct In : msm::front::state<> {
    template<typename Event, typename Fsm>
    void on_entry(const Event &, Fsm &fsm)
    {
        fsm.current = State;
    }
};

using S = InstanceState;
using E = InstanceEvent;

/** State machine definition of an entry instance. */
struct InstanceDef : msm::front::state_machine_def<InstanceDef> {
    using no_exception_thrown = int;
    using no_message_queue = int;
    using initial_state = In<S::AwaitingConfig>;

    InstanceState current = InstanceState::AwaitingConfig; ///< Current state.

    // clang-format off
    struct transition_table : boost::mpl::vector<
        //  from                   event                 to
        Row<In<S::AwaitingConfig>, On<E::ConfigApplied>, In<S::Serving>,  none, none>,
        Row<In<S::AwaitingConfig>, On<E::StopRequested>, In<S::Draining>, none, none>,
        Row<In<S::Serving>,        On<E::StopRequested>, In<S::Draining>, none, none>,
        Row<In<S::Draining>,       On<E::Drained>,       In<S::Stopped>,  none, none>
    > {};
    // clang-format on

    template<typename Fsm, typename Event>
    void no_transition(const Event &, Fsm &, int)
    {
    }
};

} // namespace

struct InstanceLifecycle::Machine : msm::back::state_machine<InstanceDef> {
};

InstanceLifecycle::InstanceLifecycle()
    : machine(std::make_unique<Machine>())
{
    this->machine->start();
}

InstanceLifecycle::~InstanceLifecycle() = default;
InstanceLifecycle::InstanceLifecycle(InstanceLifecycle &&) noexcept = default;
InstanceLifecycle &InstanceLifecycle::operator=(InstanceLifecycle &&) noexcept = default;

InstanceState InstanceLifecycle::state() const
{
    return this->machine->current;
}

bool InstanceLifecycle::apply(InstanceEvent event)
{
    const InstanceState before = this->machine->current;
    switch (event) {
    case E::ConfigApplied:
        this->machine->process_event(On<E::ConfigApplied>());
        break;
    case E::StopRequested:
        this->machine->process_event(On<E::StopRequested>());
        break;
    case E::Drained:
        this->machine->process_event(On<E::Drained>());
        break;
    }
    return this->machine->current != before;
}

std::string_view toString(InstanceState state)
{
    switch (state) {
    case InstanceState::AwaitingConfig:
        return "learning";
    case InstanceState::Serving:
        return "serving";
    case InstanceState::Draining:
        return "draining";
    case InstanceState::Stopped:
        return "stopped";
    }
    return "stopped";
}

} // namespace Tanagertally
