/** Queue that passes events from the traffic threads to the control thread. */
#pragma once

#include "controllers/event_type.h"

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <vector>

namespace Tanagertally {

/**
 * Multi-producer queue of events that the control thread receives in batches.
 * Thread safety: all methods may be called from any thread, but popAll() from one thread only.
 */
class EventQueue
{
public:
    /**
     * Appends an event and wakes the control thread.
     */
    void push(Event event);

    /**
     * Removes all events, after waiting for at least one.
     * @param deadline Latest time at which the function returns.
     * @param batch Replaced by the events in the order in which they were pushed; empty if none came before the deadline.
     */
    void popAll(std::chrono::steady_clock::time_point deadline, std::vector<Event> &batch);

    /** @return An id for a call of a caller or operator, unique within this process. */
    RequestId nextRequestId();

private:
    std::mutex mutex; ///< Guards `events`.
    std::condition_variable arrived; ///< Signalled when `events` becomes non-empty.
    std::vector<Event> events; ///< Events that have not been drained.
    std::atomic<std::uint64_t> lastRequestId = 0; ///< Last id returned by nextRequestId().
};

} // namespace Tanagertally
