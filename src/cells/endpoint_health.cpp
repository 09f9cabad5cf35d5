#include "cells/endpoint_health.h"

#include <algorithm>
#include <cmath>

namespace Tanagertally::Cells {

namespace {

constexpr std::uint32_t FailuresUntilSuspect = 2; // Of different jobs in a row; one job may fail by its own fault.
constexpr Duration FirstSuspicion = std::chrono::milliseconds(400); // Short, as two hopeless jobs may have met by chance.
constexpr Duration LongestSuspicion = std::chrono::seconds(4); // The users' faults of this kind last 5 to 7 s.
constexpr double RatioWeight = 0.3; // Of a new run time: three runs move the mean by two thirds.
constexpr double LargestRatio = 10; // Keeps one stalled run from condemning an endpoint for long.
constexpr Duration RatioHalfLife = std::chrono::seconds(2); // Without runs, an endpoint is given another chance after seconds.
constexpr double StallFactor = 6; // Estimates are off by 40%; run times spread by as much again.
constexpr double StallFactorIfSlow = 3; // On an endpoint that is known to be slow.
constexpr double SlowRatio = 2.5; // Healthy endpoints differ by 1.5 at most.
constexpr Duration StallGrace = std::chrono::milliseconds(120); // For short tasks, whose ends are seen late.

double ratioOf(Duration took, Duration estimate)
{
    const double expected = std::max(std::chrono::duration<double>(estimate).count(), 0.005);
    return std::min(std::chrono::duration<double>(took).count() / expected, LargestRatio);
}

} // namespace

void EndpointHealth::noteDone(TimePoint now, Duration took, Duration estimate)
{
    this->failuresInRow = 0;
    this->suspicion = Duration{};
    this->ratio = (1 - RatioWeight) * this->slowness(now) + RatioWeight * ratioOf(took, estimate);
    this->ratioAt = now;
}

void EndpointHealth::noteFailed(TimePoint now, const JobId &job)
{
    if (job == this->lastFailedJob) {
        return;
    }
    this->lastFailedJob = job;
    if (++this->failuresInRow < FailuresUntilSuspect) {
        return;
    }
    this->suspicion = this->suspicion == Duration{} ? FirstSuspicion : std::min(2 * this->suspicion, LongestSuspicion);
    this->suspectUntil = now + this->suspicion;
}

void EndpointHealth::noteOverdue(TimePoint now, Duration elapsed, Duration estimate)
{
    this->ratio = std::max(this->slowness(now), ratioOf(elapsed, estimate));
    this->ratioAt = now;
}

bool EndpointHealth::isSuspect() const
{
    return this->failuresInRow >= FailuresUntilSuspect;
}

bool EndpointHealth::isTrialDue(TimePoint now) const
{
    return now >= this->suspectUntil;
}

double EndpointHealth::slowness(TimePoint now) const
{
    const double halves = std::chrono::duration<double>(now - this->ratioAt) / std::chrono::duration<double>(RatioHalfLife);
    return 1 + (this->ratio - 1) * std::exp2(-std::min(halves, 60.0));
}

bool EndpointHealth::isStalled(TimePoint now, Duration elapsed, Duration estimate) const
{
    const double factor = this->slowness(now) > SlowRatio ? StallFactorIfSlow : StallFactor;
    return elapsed > StallGrace && ratioOf(elapsed - StallGrace, estimate) > factor;
}

} // namespace Tanagertally::Cells
