/** Where controllers put their actions and record their decisions. */
#pragma once

#include "controllers/action_type.h"
#include "controllers/decision_trail.h"

#include <cassert>
#include <utility>

namespace Tanagertally {

/**
 * The list that the actions of the present event go into, and the trail of decisions.
 * Thread safety: none.
 */
class Outbox
{
public:
    /**
     * Collect into a list until the next call.
     * @param list The list; must outlive the handling of the event.
     * @param now Time of the event.
     */
    void collectInto(ActionList &list, TimePoint now)
    {
        this->target = &list;
        this->time = now;
    }

    /** Add an action. @pre collectInto() was called. */
    void emit(Action action)
    {
        assert(this->target != nullptr);
        this->target->push_back(std::move(action));
    }

    /**
     * Record a decision without a log line, for what happens often.
     * @param event Name of the event; a literal.
     * @param fields What it was about and why; the fields `key` and `worker` are what `explain` looks for.
     * @return Its number in the trail.
     */
    TrailNumber record(std::string_view event, std::vector<LogField> fields)
    {
        return this->trail.add(this->time, event, std::move(fields));
    }

    /** Record a decision and write it to the log. @return Its number in the trail. */
    TrailNumber log(std::string_view event, std::vector<LogField> fields = {})
    {
        this->emit(WriteLog{event, fields});
        return this->record(event, std::move(fields));
    }

    /** @return The recorded decisions. */
    const DecisionTrail &decisions() const
    {
        return this->trail;
    }

private:
    ActionList *target = nullptr; ///< List of the event being handled.
    TimePoint time{}; ///< Time of the event being handled.
    DecisionTrail trail; ///< Recorded decisions.
};

} // namespace Tanagertally
