#include "blackboard/deadline_load_base.h"

#include <algorithm>
#include <cassert>

namespace Tanagertally {

namespace {

constexpr Duration StepLength = std::chrono::milliseconds(250); // Resolution of due times.

std::int64_t stepOf(TimePoint due)
{
    return due.time_since_epoch() / StepLength;
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
    const std::int64_t addedStep = stepOf(added.due);
    Duration workAhead = added.work;
    auto step = this->steps.begin();
    for (; step != this->steps.end() && step->first <= addedStep; ++step) {
        workAhead += step->second;
    }
    Duration maxLateness = now + workAhead / slots - added.due;
    for (; step != this->steps.end(); ++step) {
        workAhead += step->second;
        maxLateness = std::max(maxLateness, now + workAhead / slots - TimePoint(step->first * StepLength));
    }
    return std::max(maxLateness, Duration::zero());
}

} // namespace Tanagertally
