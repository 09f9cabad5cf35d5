/** A queue of deadlines with lazy removal. */
#pragma once

#include "core/time_type.h"

#include <algorithm>
#include <optional>
#include <vector>

namespace Tanagertally {

/**
 * Min-heap of identifiers by deadline. Entries are not removed early: the owner checks, when an entry comes due, whether
 * it still matters.
 * @tparam Id Copyable identifier.
 * Thread safety: none.
 */
template<typename Id>
class DeadlineQueue
{
public:
    /**
     * Add an entry.
     * @param due When it comes due.
     * @param id What comes due.
     */
    void add(TimePoint due, Id id)
    {
        this->heap.push_back(Entry{due, std::move(id)});
        std::push_heap(this->heap.begin(), this->heap.end(), isLater);
    }

    /**
     * Take the next entry that is due.
     * @param now Present time.
     * @return The entry, or nothing if none is due.
     */
    std::optional<Id> takeDue(TimePoint now)
    {
        if (this->heap.empty() || this->heap.front().due > now) {
            return std::nullopt;
        }
        std::pop_heap(this->heap.begin(), this->heap.end(), isLater);
        Id id = std::move(this->heap.back().id);
        this->heap.pop_back();
        return id;
    }

    /** @return When the next entry comes due; TimePoint::max() if there is none. */
    TimePoint next() const
    {
        return this->heap.empty() ? TimePoint::max() : this->heap.front().due;
    }

private:
    /** One deadline. */
    struct Entry {
        TimePoint due; ///< When it comes due.
        Id id; ///< What comes due.
    };

    static bool isLater(const Entry &left, const Entry &right)
    {
        return left.due > right.due;
    }

    std::vector<Entry> heap; ///< Heap with the earliest deadline in front.
};

} // namespace Tanagertally
