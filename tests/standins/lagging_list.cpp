#include "lagging_list.h"

namespace Tanagertally::Standins {

namespace {

/** Applies one change to a member list. */
struct Apply {
    MemberList &list; ///< The list to change.

    void operator()(const EndpointEntry &entry) const
    {
        this->list.endpoints.insert_or_assign(entry.worker, entry);
    }
    void operator()(const InstanceEntry &entry) const
    {
        this->list.instances.insert_or_assign(entry.name, entry);
    }
    void operator()(const EndpointGone &gone) const
    {
        this->list.endpoints.erase(gone.worker);
    }
    void operator()(const InstanceGone &gone) const
    {
        this->list.instances.erase(gone.name);
    }
};

/** Tells which member a change speaks of. */
struct Subject {
    std::string operator()(const EndpointEntry &entry) const
    {
        return "endpoint " + entry.worker;
    }
    std::string operator()(const InstanceEntry &entry) const
    {
        return "instance " + entry.name;
    }
    std::string operator()(const EndpointGone &gone) const
    {
        return "endpoint " + gone.worker;
    }
    std::string operator()(const InstanceGone &gone) const
    {
        return "instance " + gone.name;
    }
};

} // namespace

LaggingList::LaggingList(Duration lag)
    : delay(lag)
{
}

void LaggingList::change(TimePoint at, ListChange change)
{
    const std::lock_guard lock(this->mutex);
    std::visit(Apply{this->now}, change);
    this->pending.push_back(Pending{at, std::move(change)});
}

void LaggingList::changeAtOnce(ListChange change)
{
    const std::lock_guard lock(this->mutex);
    const std::string subject = std::visit(Subject(), change);
    std::erase_if(this->pending, [&subject](const Pending &older) { return std::visit(Subject(), older.change) == subject; });
    std::visit(Apply{this->now}, change);
    std::visit(Apply{this->visible}, change);
}

void LaggingList::setLag(Duration lag)
{
    const std::lock_guard lock(this->mutex);
    this->delay = lag;
}

Duration LaggingList::lag() const
{
    const std::lock_guard lock(this->mutex);
    return this->delay;
}

MemberList LaggingList::shown(TimePoint at)
{
    const std::lock_guard lock(this->mutex);
    while (!this->pending.empty() && this->pending.front().at + this->delay <= at) {
        std::visit(Apply{this->visible}, this->pending.front().change);
        this->pending.pop_front();
    }
    return this->visible;
}

MemberList LaggingList::truth() const
{
    const std::lock_guard lock(this->mutex);
    return this->now;
}

} // namespace Tanagertally::Standins
