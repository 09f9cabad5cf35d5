/** Test helper that reads the events pushed by an adapter. */
#pragma once

#include "controllers/event_queue.h"

#include <boost/test/unit_test.hpp>

namespace Tanagertally {

constexpr std::chrono::seconds EventTimeout{10}; ///< Time after which an expected event counts as missing.
constexpr std::chrono::milliseconds NoEventTimeout{100}; ///< Waiting time for unexpected events.

/** Queue from which a test takes events one by one. */
class EventReader
{
public:
    /** @return The next event. Fails the test unless it is of type T and is pushed within EventTimeout. */
    template<typename T>
    T await()
    {
        this->fill(EventTimeout);
        BOOST_REQUIRE(!this->batch.empty());
        T event = std::get<T>(this->batch.front());
        this->batch.erase(this->batch.begin());
        return event;
    }
    /** @return Whether no event is pending or pushed within NoEventTimeout. */
    bool hasNoMoreEvents()
    {
        this->fill(NoEventTimeout);
        return this->batch.empty();
    }

    EventQueue events; ///< Queue to pass to the adapter under test.

private:
    void fill(Duration timeout)
    {
        if (this->batch.empty()) {
            this->events.popAll(std::chrono::steady_clock::now() + timeout, this->batch);
        }
    }

    std::vector<Event> batch; ///< Events drained from the queue and not yet returned.
};

} // namespace Tanagertally
