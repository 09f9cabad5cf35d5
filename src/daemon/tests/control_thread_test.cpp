#include "daemon/control_thread.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <thread>

using namespace Tanagertally;

namespace {

/** Adapters that record the actions and calls. */
struct FakeAdapters {
    std::vector<std::string> calls; ///< Recorded actions and calls, in order.
    EventQueue *events = nullptr; ///< If set, stopAccepting() pushes a submission, as if it was read just before the listener closed.

    template<typename ActionType>
    void execute(const ActionType &action)
    {
        if constexpr (std::same_as<ActionType, ReplyToCaller>) {
            this->calls.push_back("reply " + std::to_string(action.request.value));
        } else if constexpr (std::same_as<ActionType, SetReadiness>) {
            this->calls.push_back(action.ready ? "ready" : "not ready");
        }
    }
    void stopAccepting()
    {
        this->calls.emplace_back("stopAccepting");
        if (this->events != nullptr) {
            JobSubmitted submitted;
            submitted.request = RequestId(4);
            this->events->push(submitted);
        }
    }
    void close()
    {
        this->calls.emplace_back("close");
    }
};

/** Replies to every submission, and emits Exit on StopRequested. */
class FakeCoordinator : public Coordinator
{
public:
    void handle(TimePoint now, Event event, ActionList &actions) override
    {
        this->checkTime(now);
        if (const auto *submitted = std::get_if<JobSubmitted>(&event)) {
            actions.emplace_back(ReplyToCaller{submitted->request, Refusal{}, false});
        }
        if (std::holds_alternative<StopRequested>(event)) {
            actions.emplace_back(SetReadiness{false, "stopping"});
            actions.emplace_back(Exit{});
        }
    }
    void advance(TimePoint now, ActionList &actions) override
    {
        this->checkTime(now);
        if (this->advances++ == 0) {
            actions.emplace_back(SetReadiness{true, ""});
        }
        this->deadline = now + std::chrono::milliseconds(1);
    }
    TimePoint nextDeadline() const override
    {
        return this->deadline;
    }
    CoordinatorStats stats() const override
    {
        CoordinatorStats stats;
        stats.probes = this->advances;
        return stats;
    }

private:
    void checkTime(TimePoint now)
    {
        BOOST_TEST((now >= this->lastTime));
        this->lastTime = now;
    }

    TimePoint deadline; ///< Next time at which advance() is due.
    TimePoint lastTime; ///< Time of the last call.
    std::uint64_t advances = 0; ///< Number of calls of advance().
};

JobSubmitted makeSubmission(std::uint64_t number)
{
    JobSubmitted submitted;
    submitted.request = RequestId(number);
    return submitted;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ControlThreadTest)

BOOST_AUTO_TEST_CASE(CallsAreAnsweredBeforeAdaptersClose)
{
    EventQueue events;
    FakeAdapters adapters;
    adapters.events = &events;
    SharedStats sharedStats;
    const auto control = ControlThread<FakeAdapters>::create(std::make_unique<FakeCoordinator>(), events, adapters, sharedStats);
    BOOST_REQUIRE(control);
    events.push(makeSubmission(1));
    events.push(StopRequested{});
    events.push(makeSubmission(2));
    events.push(StopRequested{});
    std::thread lateCaller([&events] {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
        events.push(makeSubmission(3));
    });
    control.value()->run();
    lateCaller.join();
    const std::vector<std::string> expected{"ready",   "reply 1",       "not ready", "reply 2", "not ready",
                                            "reply 3", "stopAccepting", "reply 4",   "close"};
    BOOST_TEST(adapters.calls == expected, boost::test_tools::per_element());
    BOOST_TEST(sharedStats.read().events == 6u);
}

BOOST_AUTO_TEST_CASE(DeadlinesAreMetWithoutEvents)
{
    EventQueue events;
    FakeAdapters adapters;
    SharedStats sharedStats;
    const auto control = ControlThread<FakeAdapters>::create(std::make_unique<FakeCoordinator>(), events, adapters, sharedStats);
    std::thread stopper([&] {
        while (sharedStats.read().coordinatorStats.probes < 10) {
            std::this_thread::yield();
        }
        events.push(StopRequested{});
    });
    control.value()->run();
    stopper.join();
    BOOST_TEST(sharedStats.read().coordinatorStats.probes >= 10u);
}

BOOST_AUTO_TEST_CASE(CreateRejectsMissingCoordinator)
{
    EventQueue events;
    FakeAdapters adapters;
    SharedStats sharedStats;
    BOOST_TEST(!ControlThread<FakeAdapters>::create(nullptr, events, adapters, sharedStats));
}

BOOST_AUTO_TEST_SUITE_END()
