/** A CallerService with a stand-in for the decision part. */
#pragma once

#include "caller/tests/fake_decisions.h"

namespace Tanagertally::Testing {

/** A service on a free port whose events are answered by EchoDecisions; members go down in the reverse order. */
class RunningService
{
public:
    explicit RunningService(CallerServiceOptions options = {})
    {
        options.listen = NetAddress("127.0.0.1:0");
        this->service = std::move(CallerService::create(this->traffic.io, this->events, std::move(options)).value());
        this->control.emplace(this->events, [this](Event &event) { this->onEvent(event); });
    }

    NetAddress address() const
    {
        return this->service->address();
    }

    /** Wait until some condition of the events seen holds. @return Whether it came to hold within 5 s. */
    template<typename Condition>
    bool waitFor(Condition condition)
    {
        std::unique_lock lock(this->mutex);
        return this->changed.wait_for(lock, std::chrono::seconds(5), [&] { return condition(this->seen); });
    }

    /** @return Events of a type among those seen. */
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

    EventQueue events; ///< Events of the service.
    Traffic traffic; ///< Its threads.
    std::unique_ptr<CallerService> service; ///< The service.

private:
    void onEvent(Event &event)
    {
        {
            const std::lock_guard lock(this->mutex);
            this->seen.push_back(event);
        }
        if (auto reply = this->decisions.react(event)) {
            this->service->carryOut(std::move(*reply));
        }
        this->changed.notify_all();
    }

    EchoDecisions decisions; ///< Answers.
    std::mutex mutex; ///< Guards `seen`.
    std::condition_variable changed; ///< Signalled for each event.
    std::vector<Event> seen; ///< Events so far.
    std::optional<Control> control; ///< The control thread.
};

} // namespace Tanagertally::Testing
