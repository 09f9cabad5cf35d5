#include "endpoint/connection_life.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace Tanagertally {

namespace {

namespace msm = boost::msm;
using msm::front::none;
using msm::front::Row;

struct Open {
};
struct Connected {
};
struct Reuse {
};
struct Written {
};
struct Answered {
    bool reusable = false; ///< Whether another request may be sent.
};
struct Failed {
    std::size_t bytesWritten = 0; ///< Bytes of the request that the kernel took.
};

/** Front end of the machine. */
struct LifeDefinition : msm::front::state_machine_def<LifeDefinition> {
    using no_message_queue = int;
    using no_exception_thrown = int;

    struct Unconnected : msm::front::state<> {
    };
    struct Connecting : msm::front::state<> {
    };
    struct Writing : msm::front::state<> {
    };
    struct AwaitingAnswer : msm::front::state<> {
    };
    struct Idle : msm::front::state<> {
    };
    struct Closed : msm::front::state<> {
    };
    using initial_state = Unconnected;

    struct IsReusable {
        template<typename Machine, typename Source, typename Target>
        bool operator()(const Answered &event, Machine &, Source &, Target &) const
        {
            return event.reusable;
        }
    };
    struct NothingWritten {
        template<typename Machine, typename Source, typename Target>
        bool operator()(const Failed &event, Machine &, Source &, Target &) const
        {
            return event.bytesWritten == 0;
        }
    };

    /** Action that records what is known about the request. */
    template<Delivery Evidence>
    struct Record {
        template<typename Event, typename Machine, typename Source, typename Target>
        void operator()(const Event &, Machine &machine, Source &, Target &) const
        {
            machine.evidence = Evidence;
        }
    };
    using NotSent = Record<Delivery::NotSent>;
    using Lost = Record<Delivery::Lost>;
    using Complete = Record<Delivery::Answered>;

    // clang-format off
    // Of two rows with the same source and event, the lower one is tried first.
    using transition_table = boost::mpl::vector<
        //  Source          Event      Target          Action    Guard
        Row<Unconnected,    Open,      Connecting,     none,     none>,
        Row<Unconnected,    Failed,    Closed,         NotSent,  none>,
        Row<Connecting,     Connected, Writing,        none,     none>,
        Row<Connecting,     Failed,    Closed,         NotSent,  none>,
        Row<Writing,        Written,   AwaitingAnswer, none,     none>,
        Row<Writing,        Failed,    Closed,         Lost,     none>,
        Row<Writing,        Failed,    Closed,         NotSent,  NothingWritten>,
        Row<AwaitingAnswer, Answered,  Closed,         Complete, none>,
        Row<AwaitingAnswer, Answered,  Idle,           Complete, IsReusable>,
        Row<AwaitingAnswer, Failed,    Closed,         Lost,     none>,
        Row<Idle,           Reuse,     Writing,        none,     none>,
        Row<Idle,           Failed,    Closed,         none,     none>>;
    // clang-format on

    /** An event that the present state has no row for changes nothing. */
    template<typename Machine, typename Event>
    void no_transition(const Event &, Machine &, int)
    {
    }

    Delivery evidence = Delivery::NotSent; ///< What is known about the last request.
};

using LifeMachine = msm::back::state_machine<LifeDefinition>;

template<typename State>
constexpr int StateId = msm::back::get_state_id<LifeMachine::stt, State>::value;

ConnectionState toConnectionState(int id)
{
    switch (id) {
    case StateId<LifeDefinition::Unconnected>:
        return ConnectionState::Unconnected;
    case StateId<LifeDefinition::Connecting>:
        return ConnectionState::Connecting;
    case StateId<LifeDefinition::Writing>:
        return ConnectionState::Writing;
    case StateId<LifeDefinition::AwaitingAnswer>:
        return ConnectionState::AwaitingAnswer;
    case StateId<LifeDefinition::Idle>:
        return ConnectionState::Idle;
    default:
        return ConnectionState::Closed;
    }
}

} // namespace

/** The back end, hidden from the header. */
class ConnectionLife::Machine : public LifeMachine
{
};

ConnectionLife::ConnectionLife()
    : machine(std::make_unique<Machine>())
{
    this->machine->start();
}

ConnectionLife::~ConnectionLife() = default;

void ConnectionLife::open()
{
    this->machine->process_event(Open{});
}

void ConnectionLife::connected()
{
    this->machine->process_event(Connected{});
}

void ConnectionLife::reuse()
{
    this->machine->process_event(Reuse{});
}

void ConnectionLife::written()
{
    this->machine->process_event(Written{});
}

void ConnectionLife::answered(bool reusable)
{
    this->machine->process_event(Answered{reusable});
}

void ConnectionLife::failed(std::size_t bytesWritten)
{
    this->machine->process_event(Failed{bytesWritten});
}

ConnectionState ConnectionLife::state() const
{
    return toConnectionState(this->machine->current_state()[0]);
}

Delivery ConnectionLife::delivery() const
{
    return this->machine->evidence;
}

} // namespace Tanagertally
