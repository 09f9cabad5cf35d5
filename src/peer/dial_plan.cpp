#include "peer/dial_plan.h"

namespace Tanagertally {

DialPlan::DialPlan(Duration meanInterval, std::uint64_t seed)
    : interval(meanInterval)
    , engine(seed)
{
}

void DialPlan::add(const NetAddress &address, bool isStanding, Time now)
{
    DialTarget &target = this->targets[address];
    target.isStanding = target.isStanding || isStanding;
    target.owesOutcome = target.owesOutcome || !isStanding;
    if (target.connection == 0) {
        target.due = now;
    }
}

void DialPlan::remove(const NetAddress &address)
{
    this->targets.erase(address);
}

DialTarget *DialPlan::find(const NetAddress &address)
{
    const auto found = this->targets.find(address);
    return found == this->targets.end() ? nullptr : &found->second;
}

std::vector<NetAddress> DialPlan::due(Time now) const
{
    std::vector<NetAddress> addresses;
    for (const auto &[address, target] : this->targets) {
        if (target.connection == 0 && target.due <= now) {
            addresses.push_back(address);
        }
    }
    return addresses;
}

void DialPlan::settle(const InstanceName &peer, const NetAddress &address)
{
    for (auto entry = this->targets.begin(); entry != this->targets.end();) {
        DialTarget &target = entry->second;
        const bool isSettled = entry->first == address || target.peer == peer;
        if (isSettled) {
            target.owesOutcome = false;
        }
        entry = isSettled && !target.isStanding ? this->targets.erase(entry) : std::next(entry);
    }
}

void DialPlan::postpone(DialTarget &target, Time now)
{
    const auto whole = static_cast<std::uint64_t>(this->interval.count());
    target.due = now + this->interval / 2 + Duration(static_cast<std::int64_t>(drawBelow(this->engine, whole + 1)));
}

} // namespace Tanagertally
