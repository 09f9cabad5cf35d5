#include "blackboard/instance_lifecycle.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace Tanagertally {

namespace {

namespace msm = boost::msm;
using msm::front::none;
using msm::front::Row;

/** Event type of a signal; Boost.MSM dispatches by event type. */
template<InstanceSignal Signal>
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
using E = InstanceSignal;

/** State machine definition of an entry instance. */
struct InstanceDef : msm::front::state_machine_def<InstanceDef> {
    using no_exception_thrown = int;
    using no_message_queue = int;
    using initial_state = In<S::Learning>;

    InstanceState current = InstanceState::Learning; ///< Current state.

    // clang-format off
    struct transition_table : boost::mpl::vector<
        //  from              signal                to
        Row<In<S::Learning>, On<E::ConfigLearned>, In<S::Serving>,  none, none>,
        Row<In<S::Learning>, On<E::StopAsked>,     In<S::Draining>, none, none>,
        Row<In<S::Serving>,  On<E::StopAsked>,     In<S::Draining>, none, none>,
        Row<In<S::Draining>, On<E::Drained>,       In<S::Stopped>,  none, none>
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

bool InstanceLifecycle::apply(InstanceSignal signal)
{
    const InstanceState before = this->machine->current;
    switch (signal) {
    case E::ConfigLearned:
        this->machine->process_event(On<E::ConfigLearned>());
        break;
    case E::StopAsked:
        this->machine->process_event(On<E::StopAsked>());
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
    case InstanceState::Learning:
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
