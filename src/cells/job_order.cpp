#include "cells/job_order.h"

namespace Tanagertally::Cells {

JobTimeliness timelinessOf(const JobUrgency &job, TimePoint now)
{
    const TimePoint end = now + job.remaining;
    if (end <= job.acceptedAt + job.objective) {
        return JobTimeliness::OnTime;
    }
    return end <= job.acceptedAt + LateFactor * job.objective ? JobTimeliness::Late : JobTimeliness::TooLate;
}

JobRank rankOf(const JobId &id, const JobUrgency &job, TimePoint now)
{
    const JobTimeliness timeliness = timelinessOf(job, now);
    return {timeliness == JobTimeliness::TooLate,           !job.isStarted, timeliness,
            job.acceptedAt + job.objective - job.remaining, job.priority,   id};
}

} // namespace Tanagertally::Cells
