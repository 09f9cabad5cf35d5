/** A bounded history of recent decisions; the operators' `explain` reads it. */
#pragma once

#include "controllers/action_type.h"
#include "core/time_type.h"

#include <deque>
#include <string>
#include <string_view>
#include <vector>

namespace Tanagertally {

using TrailNumber = StrongInt<struct TrailNumberTag>; ///< Number of an entry; increases by one with each entry.

/** One recorded decision. */
struct TrailEntry {
    TrailNumber number;
    TimePoint at{}; ///< Time of the decision.
    std::string_view event; ///< Name of the event. Must be a string literal: it is not copied.
    std::vector<LogField> fields; ///< Subject and reason of the decision.
};

/** @return Value of a field; empty if the entry has no such field. */
std::string_view fieldOf(const TrailEntry &entry, std::string_view key);

/**
 * The most recent decisions, oldest first. The oldest entry is dropped when the trail is full.
 * Thread safety: none.
 */
class DecisionTrail
{
public:
    /**
     * Records a decision.
     * @param event Name of the event. Must be a string literal: it is not copied.
     * @param fields Subject and reason of the decision.
     * @return Number of the new entry.
     */
    TrailNumber add(TimePoint at, std::string_view event, std::vector<LogField> fields);

    /**
     * Finds decisions by the value of one field.
     * @return Matching entries, oldest first; valid until the next add().
     */
    std::vector<const TrailEntry *> find(std::string_view key, std::string_view value) const;

    /** @return All entries, oldest first. */
    const std::deque<TrailEntry> &all() const
    {
        return this->entries;
    }

private:
    std::deque<TrailEntry> entries; ///< Recent decisions, oldest first.
    std::uint64_t lastNumber = 0; ///< Number of the newest entry.
};

} // namespace Tanagertally
