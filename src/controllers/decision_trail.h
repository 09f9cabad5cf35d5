/** A bounded record of recent decisions, from which the operators' `explain` is answered. */
#pragma once

#include "controllers/action_type.h"
#include "core/time_type.h"

#include <deque>
#include <string>
#include <string_view>
#include <vector>

namespace Tanagertally {

using TrailNumber = StrongInt<struct TrailNumberTag>; ///< Number of an entry, rising.

/** One recorded decision. */
struct TrailEntry {
    TrailNumber number; ///< Its number.
    TimePoint at{}; ///< When it was taken.
    std::string_view event; ///< Name of the event; a literal.
    std::vector<LogField> fields; ///< What it was about and why.
};

/** @return The value of a field, or an empty text. */
std::string_view fieldOf(const TrailEntry &entry, std::string_view key);

/**
 * The last decisions, oldest first; older ones are dropped.
 * Thread safety: none.
 */
class DecisionTrail
{
public:
    /**
     * Record a decision.
     * @param at When. @param event Name of the event; a literal. @param fields What it was about.
     * @return Its number.
     */
    TrailNumber add(TimePoint at, std::string_view event, std::vector<LogField> fields);

    /**
     * Find decisions by the value of one field.
     * @param key Name of the field. @param value Its value.
     * @return Matching entries, oldest first; valid until the next add().
     */
    std::vector<const TrailEntry *> find(std::string_view key, std::string_view value) const;

    /** @return All entries, oldest first. */
    const std::deque<TrailEntry> &all() const
    {
        return this->entries;
    }

private:
    std::deque<TrailEntry> entries; ///< Recent decisions.
    std::uint64_t lastNumber = 0; ///< Last number given.
};

} // namespace Tanagertally
