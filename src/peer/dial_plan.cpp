#include "peer/dial_plan.h"

namespace Tanagertally {

DialPlan::DialPlan(Duration meanInterval, std::uint64_t seed)
    : interval(meanInterval)
    , engine(seed)
{
}

void DialPlan::add(const NetAddress &address, bool isPersistent, Time now)
{
    DialTarget &target = this->targets[address];
    target.isPersistent = target.isPersistent || isPersistent;
    target.hasPendingOutcome = target.hasPendingOutcome || !isPersistent;
    if (target.connection == 0) {
        target.dueTime = now;
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

std::vector<NetAddress> DialPlan::dueAddresses(Time now) const
{
    std::vector<NetAddress> addresses;
    for (const auto &[address, target] : this->targets) {
        if (target.connection == 0 && target.dueTime <= now) {
            addresses.push_back(address);
        }
    }
    return addresses;
}

void DialPlan::onPeerLinked(const InstanceName &peer, const NetAddress &address)
{
    for (auto entry = this->targets.begin(); entry != this->targets.end();) {
        DialTarget &target = entry->second;
        const bool leadsToPeer = entry->first == address || target.peer == peer;
        if (leadsToPeer) {
            target.hasPendingOutcome = false;
        }
        entry = leadsToPeer && !target.isPersistent ? this->targets.erase(entry) : std::next(entry);
    }
}

void DialPlan::scheduleRetry(DialTarget &target, Time now)
{
    const auto intervalNanoseconds = static_cast<std::uint64_t>(this->interval.count());
    target.dueTime = now + this->interval / 2 + Duration(static_cast<std::int64_t>(drawBelow(this->engine, intervalNanoseconds + 1)));
}

} // namespace Tanagertally
