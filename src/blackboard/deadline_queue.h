/** A priority queue of deadlines with lazy removal. */
#pragma once

#include "core/time_type.h"

#include <algorithm>
#include <optional>
#include <vector>

namespace Tanagertally {

/**
 * Min-heap of identifiers by deadline. Entries can't be removed before they are due: the owner checks then whether an entry
 * is still relevant.
 * @tparam Id Copyable identifier.
 * Thread safety: none.
 */
template<typename Id>
class DeadlineQueue
{
public:
    /**
     * Adds an entry.
     * @param due Time from which popDue() returns the entry.
     * @param id Identifier that popDue() returns.
     */
    void add(TimePoint due, Id id)
    {
        this->heap.push_back(Entry{due, std::move(id)});
        std::push_heap(this->heap.begin(), this->heap.end(), isLater);
    }

    /**
     * Removes the earliest entry that is due.
     * @param now Current time.
     * @return The identifier of the entry, or nothing if none is due.
     */
    std::optional<Id> popDue(TimePoint now)
    {
        if (this->heap.empty() || this->heap.front().due > now) {
            return std::nullopt;
        }
        std::pop_heap(this->heap.begin(), this->heap.end(), isLater);
        Id id = std::move(this->heap.back().id);
        this->heap.pop_back();
        return id;
    }

    /** @return Earliest due time of all entries; TimePoint::max() if the queue is empty. */
    TimePoint next() const
    {
        return this->heap.empty() ? TimePoint::max() : this->heap.front().due;
    }

private:
    struct Entry {
        TimePoint due;
        Id id;
    };

    static bool isLater(const Entry &left, const Entry &right)
    {
        return left.due > right.due;
    }

    std::vector<Entry> heap; ///< Heap with the earliest deadline at the front.
};

} // namespace Tanagertally
