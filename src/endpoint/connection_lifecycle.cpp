#include "endpoint/connection_lifecycle.h"

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
struct RequestWritten {
};
struct ResponseReceived {
    bool reusable = false; ///< Whether another request may be sent.
};
struct Failed {
    std::size_t bytesWritten = 0; ///< Bytes of the request that the kernel accepted.
};

/** Front end of the Boost.MSM state machine. */
struct LifecycleDefinition : msm::front::state_machine_def<LifecycleDefinition> {
    using no_message_queue = int;
    using no_exception_thrown = int;

    struct Unconnected : msm::front::state<> {
    };
    struct Connecting : msm::front::state<> {
    };
    struct Writing : msm::front::state<> {
    };
    struct AwaitingResponse : msm::front::state<> {
    };
    struct Idle : msm::front::state<> {
    };
    struct Closed : msm::front::state<> {
    };
    using initial_state = Unconnected;

    struct IsReusable {
        template<typename Machine, typename Source, typename Target>
        bool operator()(const ResponseReceived &event, Machine &, Source &, Target &) const
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

    /** Action that sets the delivery status of the request. */
    template<Delivery Value>
    struct RecordDelivery {
        template<typename Event, typename Machine, typename Source, typename Target>
        void operator()(const Event &, Machine &machine, Source &, Target &) const
        {
            machine.lastDelivery = Value;
        }
    };
    using NotSent = RecordDelivery<Delivery::NotSent>;
    using Lost = RecordDelivery<Delivery::Lost>;
    using Complete = RecordDelivery<Delivery::Answered>;

    // clang-format off
    // MSM evaluates rows with the same source and event from the last to the first.
    using transition_table = boost::mpl::vector<
        //  Source            Event             Target            Action    Guard
        Row<Unconnected,      Open,             Connecting,       none,     none>,
        Row<Unconnected,      Failed,           Closed,           NotSent,  none>,
        Row<Connecting,       Connected,        Writing,          none,     none>,
        Row<Connecting,       Failed,           Closed,           NotSent,  none>,
        Row<Writing,          RequestWritten,   AwaitingResponse, none,     none>,
        Row<Writing,          Failed,           Closed,           Lost,     none>,
        Row<Writing,          Failed,           Closed,           NotSent,  NothingWritten>,
        Row<AwaitingResponse, ResponseReceived, Closed,           Complete, none>,
        Row<AwaitingResponse, ResponseReceived, Idle,             Complete, IsReusable>,
        Row<AwaitingResponse, Failed,           Closed,           Lost,     none>,
        Row<Idle,             Reuse,            Writing,          none,     none>,
        Row<Idle,             Failed,           Closed,           none,     none>>;
    // clang-format on

    /** Ignore an event that has no row for the current state. */
    template<typename Machine, typename Event>
    void no_transition(const Event &, Machine &, int)
    {
    }

    Delivery lastDelivery = Delivery::NotSent; ///< Delivery status of the last request.
};

using LifecycleMachine = msm::back::state_machine<LifecycleDefinition>;

template<typename State>
constexpr int StateId = msm::back::get_state_id<LifecycleMachine::stt, State>::value;

ConnectionState toConnectionState(int id)
{
    switch (id) {
    case StateId<LifecycleDefinition::Unconnected>:
        return ConnectionState::Unconnected;
    case StateId<LifecycleDefinition::Connecting>:
        return ConnectionState::Connecting;
    case StateId<LifecycleDefinition::Writing>:
        return ConnectionState::Writing;
    case StateId<LifecycleDefinition::AwaitingResponse>:
        return ConnectionState::AwaitingResponse;
    case StateId<LifecycleDefinition::Idle>:
        return ConnectionState::Idle;
    default:
        return ConnectionState::Closed;
    }
}

} // namespace

/** Boost.MSM back end; a class of its own keeps MSM out of the header. */
class ConnectionLifecycle::Machine : public LifecycleMachine
{
};

ConnectionLifecycle::ConnectionLifecycle()
    : machine(std::make_unique<Machine>())
{
    this->machine->start();
}

ConnectionLifecycle::~ConnectionLifecycle() = default;

void ConnectionLifecycle::startConnecting()
{
    this->machine->process_event(Open{});
}

void ConnectionLifecycle::finishConnecting()
{
    this->machine->process_event(Connected{});
}

void ConnectionLifecycle::startWriting()
{
    this->machine->process_event(Reuse{});
}

void ConnectionLifecycle::finishWriting()
{
    this->machine->process_event(RequestWritten{});
}

void ConnectionLifecycle::finishResponse(bool reusable)
{
    this->machine->process_event(ResponseReceived{reusable});
}

void ConnectionLifecycle::closeAfterFailure(std::size_t bytesWritten)
{
    this->machine->process_event(Failed{bytesWritten});
}

ConnectionState ConnectionLifecycle::state() const
{
    return toConnectionState(this->machine->current_state()[0]);
}

Delivery ConnectionLifecycle::delivery() const
{
    return this->machine->lastDelivery;
}

} // namespace Tanagertally
