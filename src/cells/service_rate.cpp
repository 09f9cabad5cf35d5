#include "cells/service_rate.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Tanagertally::Cells {

namespace {

constexpr double HalfLifeMs = 1000; // Some run times of the longer tasks.
constexpr double PriorMs = 200; // Weight of the nominal rate, as the first ends after the onset of a burst say little.
constexpr double RatioWeight = 0.05; // Weight of a new job: twenty jobs move the mean by two thirds.
constexpr double MaxRatio = 3; // Limits the effect of one stalled run.
constexpr double MaxFactor = 1.5; // Objectives are at least 1.6 times the estimate; a larger factor would call jobs late without any wait.
constexpr double MinShare = 0.2; // Of the nominal rate; a lower measurement would refuse the jobs that could correct it.

} // namespace

void ServiceRate::recordEnd(double work)
{
    this->endedWork += work;
}

void ServiceRate::recordJob(Duration took, Duration estimate)
{
    if (estimate <= Duration{}) {
        return;
    }
    const double ratio = std::min(std::chrono::duration<double>(took) / std::chrono::duration<double>(estimate), MaxRatio);
    this->meanRatio += RatioWeight * (ratio - this->meanRatio);
}

double ServiceRate::durationFactor() const
{
    return std::clamp(this->meanRatio, 1.0, MaxFactor);
}

void ServiceRate::advance(TimePoint now, bool isSaturated)
{
    const double elapsedMs = std::chrono::duration<double, std::milli>(now - std::exchange(this->advancedAt, now)).count();
    const double work = std::exchange(this->endedWork, 0);
    const double decay = std::exp2(-std::min(elapsedMs / HalfLifeMs, 60.0));
    this->measuredWork *= decay;
    this->measuredMs *= decay;
    if (isSaturated && elapsedMs < HalfLifeMs) {
        this->measuredWork += work;
        this->measuredMs += elapsedMs;
    }
}

double ServiceRate::rate(double nominalCpu) const
{
    const double nominal = nominalCpu / 1000;
    const double measured = (this->measuredWork + PriorMs * nominal) / (this->measuredMs + PriorMs);
    return std::clamp(measured, MinShare * nominal, nominal);
}

} // namespace Tanagertally::Cells
