#include "controllers/event_queue.h"

namespace Tanagertally {

void EventQueue::push(Event event)
{
    bool wasEmpty = false;
    {
        const std::lock_guard lock(this->mutex);
        wasEmpty = this->events.empty();
        this->events.push_back(std::move(event));
    }
    if (wasEmpty) {
        this->arrived.notify_one();
    }
}

void EventQueue::popAll(std::chrono::steady_clock::time_point deadline, std::vector<Event> &batch)
{
    batch.clear();
    std::unique_lock lock(this->mutex);
    this->arrived.wait_until(lock, deadline, [this] { return !this->events.empty(); });
    batch.swap(this->events);
}

RequestId EventQueue::nextRequestId()
{
    return RequestId(this->lastRequestId.fetch_add(1, std::memory_order_relaxed) + 1);
}

} // namespace Tanagertally
