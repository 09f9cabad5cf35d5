/** Where controllers put their actions. */
#pragma once

#include "controllers/action_type.h"

#include <cassert>
#include <utility>

namespace Tanagertally {

/**
 * The list that the actions of the present event go into.
 * Thread safety: none.
 */
class Outbox
{
public:
    /** Collect into a list until the next call. @param list The list; must outlive the handling of the event. */
    void collectInto(ActionList &list)
    {
        this->target = &list;
    }

    /** Add an action. @pre collectInto() was called. */
    void emit(Action action)
    {
        assert(this->target != nullptr);
        this->target->push_back(std::move(action));
    }

    /**
     * Add a log line.
     * @param event Name of the event; a literal.
     * @param fields Its fields.
     */
    void log(std::string_view event, std::vector<LogField> fields = {})
    {
        this->emit(WriteLog{event, std::move(fields)});
    }

private:
    ActionList *target = nullptr; ///< List of the event being handled.
};

} // namespace Tanagertally
