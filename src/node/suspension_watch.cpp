#include "node/suspension_watch.h"

#include "cells/commit_chain.h"

#include <utility>

namespace Tanagertally::Cells {

namespace {

constexpr Duration BacklogReadTime = std::chrono::milliseconds(250); // A quarter of a core reads over a hundred requests in this time.

} // namespace

SuspensionWatch::SuspensionWatch(TimePoint now)
    : activeAt(now)
{
}

std::optional<Duration> SuspensionWatch::recordActivity(TimePoint now)
{
    const TimePoint formerlyActiveAt = std::exchange(this->activeAt, now);
    const Duration gap = now - formerlyActiveAt;
    if (gap <= SuspensionLimit) {
        return std::nullopt;
    }
    this->suspendedAt = formerlyActiveAt;
    this->backlogReadAt = now + BacklogReadTime;
    return gap;
}

bool SuspensionWatch::mayInputBeOld(TimePoint now) const
{
    return now < this->backlogReadAt;
}

TimePoint SuspensionWatch::earliestSendTime(TimePoint now) const
{
    return this->mayInputBeOld(now) ? this->suspendedAt : now;
}

} // namespace Tanagertally::Cells
