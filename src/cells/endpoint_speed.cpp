#include "cells/endpoint_speed.h"

#include <algorithm>
#include <cmath>

namespace Tanagertally::Cells {

namespace {

constexpr double PriorRuns = 4; // Runs at which an endpoint's level has half of its weight in the mean of the cell.
constexpr double MaxRuns = 32; // Weight of the past; an endpoint that changes its speed is noticed after about as many runs.
constexpr double MaxCellRuns = 256; // Weight of the past in the cell's level.
constexpr double RunTimeNoise = 0.28; // Standard deviation of a run's logarithm: errors of 40% either way, and clipped multiples.
constexpr double MinRuns = 4; // Fewer may all be multiples of their estimates.
constexpr double SignificantDeviation = 3; // In standard deviations; the runs of a cell's endpoints make many chances of an error.
constexpr double MaxDeviation = 0.7; // Of a run from the level, as a logarithm: a factor of 2. Errors of estimates stay below it.
constexpr Duration ObservationDelay = std::chrono::milliseconds(50); // Order of the delay of listed ends; shorter runs say less.
constexpr Duration EndDelay = std::chrono::milliseconds(10); // Usual delay of a listed end; makes short runs look slower than they were.
constexpr double PassingFaultWeight = 0.125; // A fault of 5 s then moves the level by less than a class.
constexpr double CautiousDeviation = 2; // In standard deviations, by which a slow endpoint is rated below its level.
constexpr double ClassWidth = 0.25; // Logarithm of the ratio of two neighbouring classes; several times the error of a level.
constexpr double ClassHysteresis = 0.1; // In classes; prevents changes to and fro at a border.
constexpr int MinClass = -5; // A speed of 0.29; slower endpoints are treated as faulty by EndpointHealth.
constexpr int MaxClass = 3; // A speed of 2.1.
constexpr Duration ForgetHalfLife = std::chrono::minutes(2); // An endpoint that got no runs for being slow is tried again.

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

void CellSpeedLevel::record(double residual, double weight)
{
    this->runs = std::min(this->runs + weight, MaxCellRuns);
    this->mean += weight / this->runs * residual;
}

double CellSpeedLevel::value() const
{
    return this->mean;
}

void EndpointSpeed::record(TimePoint now, Duration took, Duration expected, CellSpeedLevel &cell, bool hasPassingFault)
{
    if (expected <= Duration{} || took <= Duration{}) {
        return;
    }
    const double weight = seconds(expected) / seconds(expected + ObservationDelay) * (hasPassingFault ? PassingFaultWeight : 1);
    const Duration ran = std::max(took - EndDelay, took / 2);
    const double deviation = std::log(seconds(expected) / seconds(ran)) - cell.value() - this->mean;
    const double residual = std::clamp(deviation, -MaxDeviation, MaxDeviation);
    cell.record(residual, weight);
    this->runs += weight - this->runs * weight / MaxRuns;
    this->mean += weight / std::max(this->runs, 1.0) * residual;
    this->recordedAt = now;
}

double EndpointSpeed::level() const
{
    return this->mean;
}

double EndpointSpeed::confidence() const
{
    return this->runs / (this->runs + PriorRuns);
}

bool EndpointSpeed::update(TimePoint now, double meanLevel)
{
    if (this->runs == 0) {
        return false;
    }
    const double remembered = std::exp2(-std::min(seconds(now - this->recordedAt) / seconds(ForgetHalfLife), 60.0));
    const double deviation = (this->mean - meanLevel) * remembered;
    // A moving mean over a weight of MaxRuns is as exact as a plain one over twice as many runs.
    const double noise = RunTimeNoise / std::sqrt(this->runs * (1 + this->runs / MaxRuns));
    const double position = deviation / ClassWidth;
    const int formerClass = this->currentClass;
    const double significant = ClassWidth / 2 + SignificantDeviation * noise;
    const bool isSignificant = formerClass != 0 || (this->runs >= MinRuns && std::abs(deviation) > significant);
    const int nearestClass = std::clamp(static_cast<int>(std::lround(position)), MinClass, MaxClass);
    if (isSignificant && (nearestClass == 0 || std::abs(position - formerClass) > 0.5 + ClassHysteresis)) {
        this->currentClass = nearestClass;
    }
    // A task that misses its objective on a slow endpoint costs more than one that takes a faster endpoint without need.
    const double cautious = deviation - (deviation < 0 ? CautiousDeviation * noise : 0);
    const double bounded = std::clamp(cautious, MinClass * ClassWidth, MaxClass * ClassWidth);
    this->relativeSpeed = this->currentClass == 0 ? 1 : std::exp(bounded);
    return this->currentClass != formerClass;
}

double EndpointSpeed::factor() const
{
    return this->relativeSpeed;
}

int EndpointSpeed::speedClass() const
{
    return this->currentClass;
}

} // namespace Tanagertally::Cells
