/** The hand-over of events from traffic threads to the control thread. */
#pragma once

#include "controllers/event_type.h"

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <vector>

namespace Tanagertally {

/**
 * Queue of events for the control thread, handed over in batches.
 * Thread safety: all methods may be called from any thread, but drain() from one thread only.
 */
class EventQueue
{
public:
    /**
     * Add an event.
     * @param event The event.
     */
    void push(Event event);

    /**
     * Take all events, waiting for the first one.
     * @param deadline Latest time at which to return, on the steady clock.
     * @param batch Replaced by the events, in the order in which they were pushed; empty after the deadline.
     */
    void drain(std::chrono::steady_clock::time_point deadline, std::vector<Event> &batch);

    /** @return A number for a call of a caller or operator that no other call of this process has. */
    RequestId nextRequestId();

private:
    std::mutex mutex; ///< Guards `events`.
    std::condition_variable arrived; ///< Signalled when `events` becomes non-empty.
    std::vector<Event> events; ///< Events not yet taken.
    std::atomic<std::uint64_t> lastRequestId = 0; ///< Last number given out.
};

} // namespace Tanagertally
