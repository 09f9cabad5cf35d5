#include "cells/endpoint_health.h"

#include <algorithm>
#include <cmath>

namespace Tanagertally::Cells {

namespace {

constexpr std::uint32_t FailuresUntilSuspect = 2; // Consecutive failures of different jobs; a single job may fail by its own fault.
constexpr Duration FirstSuspectPeriod = std::chrono::milliseconds(400); // Short, as two faulty jobs may have run in a row by coincidence.
constexpr Duration LongestFault = std::chrono::seconds(7); // Endpoint faults of this kind last 5 to 7 s.
constexpr Duration MaxSuspectPeriod = std::chrono::seconds(4); // Finds the end of such a fault within about half of its length.
constexpr double RatioWeight = 0.3; // Weight of a new run time: three runs move the mean by two thirds.
constexpr double MaxRatio = 10; // Limits how long one stalled run affects an endpoint.
constexpr Duration RatioHalfLife = std::chrono::seconds(2); // An endpoint without runs is used again after a few seconds.
constexpr double StallFactor = 6; // Estimates are off by up to 40%, and run times vary by as much again.
constexpr double StallFactorIfSlow = 3; // Applies to endpoints above SlowRatio.
constexpr double SlowRatio = 2.5; // Healthy endpoints differ by a factor of 1.5 at most.
constexpr Duration StallGrace = std::chrono::milliseconds(120); // Ends are observed with a delay that matters for short tasks.

double ratioOf(Duration took, Duration estimate)
{
    const double expected = std::max(std::chrono::duration<double>(estimate).count(), 0.005);
    return std::min(std::chrono::duration<double>(took).count() / expected, MaxRatio);
}

} // namespace

void EndpointHealth::recordSuccess(TimePoint now, Duration took, Duration estimate)
{
    this->consecutiveFailures = 0;
    this->suspectPeriod = Duration{};
    this->ratio = (1 - RatioWeight) * this->slowness(now) + RatioWeight * ratioOf(took, estimate);
    this->ratioAt = now;
}

void EndpointHealth::recordFailure(TimePoint now, const JobId &job)
{
    this->lastFailureAt = now;
    if (job == this->lastFailedJob) {
        return;
    }
    this->lastFailedJob = job;
    if (++this->consecutiveFailures < FailuresUntilSuspect) {
        return;
    }
    this->suspectPeriod = this->suspectPeriod == Duration{} ? FirstSuspectPeriod : std::min(2 * this->suspectPeriod, MaxSuspectPeriod);
    this->suspectUntil = now + this->suspectPeriod;
}

void EndpointHealth::recordOverdue(TimePoint now, Duration elapsed, Duration estimate)
{
    this->ratio = std::max(this->slowness(now), ratioOf(elapsed, estimate));
    this->ratioAt = now;
}

bool EndpointHealth::isSuspect() const
{
    return this->consecutiveFailures >= FailuresUntilSuspect;
}

bool EndpointHealth::isTrialDue(TimePoint now) const
{
    return now >= this->suspectUntil;
}

TrialTerms EndpointHealth::trialTerms(TimePoint now) const
{
    if (!this->isSuspect()) {
        return TrialTerms::None;
    }
    return now >= this->lastFailureAt + LongestFault ? TrialTerms::AnyAttempt : TrialTerms::SpareAttempts;
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
