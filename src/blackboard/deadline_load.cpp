#include "blackboard/deadline_load_base.h"

#include <algorithm>
#include <cassert>

namespace Tanagertally {

namespace {

constexpr Duration Step = std::chrono::milliseconds(250);

std::int64_t stepOf(TimePoint due)
{
    return due.time_since_epoch() / Step;
}

} // namespace

void DeadlineLoad::add(const DueWork &work)
{
    this->steps[stepOf(work.due)] += work.work;
}

void DeadlineLoad::remove(const DueWork &work)
{
    const auto found = this->steps.find(stepOf(work.due));
    assert(found != this->steps.end() && found->second >= work.work);
    found->second -= work.work;
    if (found->second == Duration::zero()) {
        this->steps.erase(found);
    }
}

Duration DeadlineLoad::lateness(TimePoint now, const DueWork &added, std::uint32_t slots) const
{
    const std::int64_t own = stepOf(added.due);
    Duration ahead = added.work;
    auto step = this->steps.begin();
    for (; step != this->steps.end() && step->first <= own; ++step) {
        ahead += step->second;
    }
    Duration latest = now + ahead / slots - added.due;
    for (; step != this->steps.end(); ++step) {
        ahead += step->second;
        latest = std::max(latest, now + ahead / slots - TimePoint(step->first * Step));
    }
    return std::max(latest, Duration::zero());
}

} // namespace Tanagertally
