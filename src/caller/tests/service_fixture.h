/** A CallerService with a fake coordinator. */
#pragma once

#include "caller/tests/test_support.h"

namespace Tanagertally::Testing {

/** A service on a free port, with EchoCoordinator answering its events. The event thread is destroyed before what it uses. */
class RunningService
{
public:
    explicit RunningService(CallerServiceOptions options = {})
    {
        options.listen = NetAddress("127.0.0.1:0");
        this->service = std::move(CallerService::create(this->ioThreads.io, this->events, std::move(options)).value());
        this->eventThread.emplace(this->events, [this](Event &event) { this->onEvent(event); });
    }

    NetAddress address() const
    {
        return this->service->address();
    }

    /** Waits until a condition on the events received so far holds. @return Whether it held within 5 s. */
    template<typename Condition>
    bool waitFor(Condition condition)
    {
        std::unique_lock lock(this->mutex);
        return this->changed.wait_for(lock, std::chrono::seconds(5), [&] { return condition(this->seen); });
    }

    /** @return The events of one type. */
    template<typename T>
    static std::vector<T> eventsOf(const std::vector<Event> &events)
    {
        std::vector<T> found;
        for (const Event &event : events) {
            if (const T *match = std::get_if<T>(&event)) {
                found.push_back(*match);
            }
        }
        return found;
    }

    EventQueue events; ///< Receives the events of the service.
    IoThreads ioThreads; ///< Run the I/O of the service.
    std::unique_ptr<CallerService> service; ///< The service under test.

private:
    void onEvent(Event &event)
    {
        {
            const std::lock_guard lock(this->mutex);
            this->seen.push_back(event);
        }
        if (auto reply = this->coordinator.handleEvent(event)) {
            this->service->execute(std::move(*reply));
        }
        this->changed.notify_all();
    }

    EchoCoordinator coordinator; ///< Answers the events.
    std::mutex mutex; ///< Guards `seen`.
    std::condition_variable changed; ///< Signalled after each event.
    std::vector<Event> seen; ///< Events received so far.
    std::optional<EventThread> eventThread; ///< Calls onEvent().
};

} // namespace Tanagertally::Testing
