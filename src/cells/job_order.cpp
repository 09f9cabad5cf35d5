#include "cells/job_order.h"

namespace Tanagertally::Cells {

namespace {

constexpr int LateFactor = 3; // The users count an end within three times the objective as late, and later ones not at all.

} // namespace

JobChance chanceOf(const JobUrgency &job, TimePoint now)
{
    const TimePoint end = now + job.remaining;
    if (end <= job.acceptedAt + job.objective) {
        return JobChance::OnTime;
    }
    return end <= job.acceptedAt + LateFactor * job.objective ? JobChance::Late : JobChance::Hopeless;
}

JobRank rankOf(const JobId &id, const JobUrgency &job, TimePoint now)
{
    return {chanceOf(job, now), job.acceptedAt + job.objective - job.remaining, job.priority, id};
}

} // namespace Tanagertally::Cells
