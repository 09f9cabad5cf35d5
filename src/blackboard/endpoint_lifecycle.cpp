#include "blackboard/endpoint_lifecycle.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace Tanagertally {

namespace {

namespace msm = boost::msm;
using msm::front::none;
using msm::front::Row;

/** Type of an event; Boost.MSM dispatches by type. */
template<EndpointEvent Event>
struct On {
};

/** State type of a state; its entry action records the state. */
template<EndpointState State>
struct In : msm::front::state<> {
    template<typename Event, typename Fsm>
    void on_entry(const Event &, Fsm &fsm)
    {
        fsm.current = State;
    }
};

using S = EndpointState;
using E = EndpointEvent;

/** State machine definition of an endpoint. */
struct EndpointDef : msm::front::state_machine_def<EndpointDef> {
    using no_exception_thrown = int;
    using no_message_queue = int;
    using initial_state = In<S::Live>;

    EndpointState current = EndpointState::Live; ///< Current state.

    // clang-format off
    struct transition_table : boost::mpl::vector<
        //  from                event                    to
        Row<In<S::Live>,        On<E::FailedRepeatedly>, In<S::Ejected>,     none, none>,
        Row<In<S::Live>,        On<E::ConnectFailed>,    In<S::Unreachable>, none, none>,
        Row<In<S::Live>,        On<E::LeavingReported>,  In<S::Leaving>,     none, none>,
        Row<In<S::Ejected>,     On<E::EjectionEnded>,    In<S::Trial>,       none, none>,
        Row<In<S::Ejected>,     On<E::ConnectFailed>,    In<S::Unreachable>, none, none>,
        Row<In<S::Ejected>,     On<E::LeavingReported>,  In<S::Leaving>,     none, none>,
        Row<In<S::Trial>,       On<E::TrialSucceeded>,   In<S::Live>,        none, none>,
        Row<In<S::Trial>,       On<E::TrialFailed>,      In<S::Ejected>,     none, none>,
        Row<In<S::Trial>,       On<E::ConnectFailed>,    In<S::Unreachable>, none, none>,
        Row<In<S::Trial>,       On<E::LeavingReported>,  In<S::Leaving>,     none, none>,
        Row<In<S::Unreachable>, On<E::ProbeAnswered>,    In<S::Live>,        none, none>,
        Row<In<S::Unreachable>, On<E::LeavingReported>,  In<S::Leaving>,     none, none>,
        Row<In<S::Leaving>,     On<E::LeavingWithdrawn>, In<S::Live>,        none, none>
    > {};
    // clang-format on

    template<typename Fsm, typename Event>
    void no_transition(const Event &, Fsm &, int)
    {
    }
};

} // namespace

struct EndpointLifecycle::Machine : msm::back::state_machine<EndpointDef> {
};

EndpointLifecycle::EndpointLifecycle()
    : machine(std::make_unique<Machine>())
{
    this->machine->start();
}

EndpointLifecycle::~EndpointLifecycle() = default;
EndpointLifecycle::EndpointLifecycle(EndpointLifecycle &&) noexcept = default;
EndpointLifecycle &EndpointLifecycle::operator=(EndpointLifecycle &&) noexcept = default;

EndpointState EndpointLifecycle::state() const
{
    return this->machine->current;
}

bool EndpointLifecycle::apply(EndpointEvent event)
{
    const EndpointState before = this->machine->current;
    switch (event) {
    case E::FailedRepeatedly:
        this->machine->process_event(On<E::FailedRepeatedly>());
        break;
    case E::EjectionEnded:
        this->machine->process_event(On<E::EjectionEnded>());
        break;
    case E::TrialSucceeded:
        this->machine->process_event(On<E::TrialSucceeded>());
        break;
    case E::TrialFailed:
        this->machine->process_event(On<E::TrialFailed>());
        break;
    case E::ConnectFailed:
        this->machine->process_event(On<E::ConnectFailed>());
        break;
    case E::ProbeAnswered:
        this->machine->process_event(On<E::ProbeAnswered>());
        break;
    case E::LeavingReported:
        this->machine->process_event(On<E::LeavingReported>());
        break;
    case E::LeavingWithdrawn:
        this->machine->process_event(On<E::LeavingWithdrawn>());
        break;
    }
    return this->machine->current != before;
}

std::string_view toString(EndpointState state)
{
    switch (state) {
    case EndpointState::Live:
        return "live";
    case EndpointState::Ejected:
        return "ejected";
    case EndpointState::Trial:
        return "trial";
    case EndpointState::Unreachable:
        return "unreachable";
    case EndpointState::Leaving:
        return "leaving";
    }
    return "unreachable";
}

} // namespace Tanagertally
