/** Reads the events that an adapter under test pushes. */
#pragma once

#include "controllers/event_queue.h"

#include <boost/test/unit_test.hpp>

namespace Tanagertally {

constexpr std::chrono::seconds EventTimeout{10}; ///< An event that takes longer does not come.
constexpr std::chrono::milliseconds QuietTime{100}; ///< Time in which a surplus event would have come.

/** Takes events out of a queue one by one. */
class EventReader
{
public:
    /** @return The next event, which has to come in time and to be of this type. */
    template<typename T>
    T await()
    {
        this->fill(EventTimeout);
        BOOST_REQUIRE(!this->batch.empty());
        T event = std::get<T>(this->batch.front());
        this->batch.erase(this->batch.begin());
        return event;
    }
    /** @return Whether no event comes for a while. */
    bool isQuiet()
    {
        this->fill(QuietTime);
        return this->batch.empty();
    }

    EventQueue events; ///< Where the adapter pushes them.

private:
    void fill(Duration timeout)
    {
        if (this->batch.empty()) {
            this->events.drain(std::chrono::steady_clock::now() + timeout, this->batch);
        }
    }

    std::vector<Event> batch; ///< Events taken out of the queue and not yet returned.
};

} // namespace Tanagertally
