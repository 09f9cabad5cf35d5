/** Collects the actions and decisions of the controllers. */
#pragma once

#include "controllers/action_type.h"
#include "controllers/decision_trail.h"

#include <cassert>
#include <utility>

namespace Tanagertally {

/**
 * Appends actions to the list of the event being handled, and records decisions in a trail.
 * Thread safety: none.
 */
class Outbox
{
public:
    /**
     * Sets the list to append actions to.
     * @param list Must outlive the handling of the event.
     * @param now Time of the event; recorded decisions get this time.
     */
    void collectInto(ActionList &list, TimePoint now)
    {
        this->target = &list;
        this->time = now;
    }

    /** Appends an action. @pre collectInto() was called. */
    void emit(Action action)
    {
        assert(this->target != nullptr);
        this->target->push_back(std::move(action));
    }

    /**
     * Records a decision without writing a log line; meant for frequent events.
     * @param event Name of the event. Must be a string literal: it is not copied.
     * @param fields Subject and reason; `explain` searches the fields `key` and `worker`.
     * @return Number of the entry in the trail.
     */
    TrailNumber record(std::string_view event, std::vector<LogField> fields)
    {
        return this->trail.add(this->time, event, std::move(fields));
    }

    /** Records a decision and writes it to the log. @return Number of the entry in the trail. */
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
    ActionList *target = nullptr; ///< Actions of the event being handled.
    TimePoint time{}; ///< Time of the event being handled.
    DecisionTrail trail;
};

} // namespace Tanagertally
