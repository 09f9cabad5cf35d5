/**
 * Detects endpoints that fail, slow down or stall, from the outcomes of their own runs.
 *
 * An endpoint that fails all its runs is free again at once and attracts work under any placement rule that prefers free capacity; one
 * that is slow or stalled delays jobs. Both answer calls like healthy endpoints.
 */
#pragma once

#include "cells/job_type.h"

namespace Tanagertally::Cells {

/** Which tasks a suspect endpoint may get for a trial. */
enum class TrialTerms : std::uint8_t {
    None, ///< The endpoint isn't suspect and takes any number of tasks.
    SpareAttempts, ///< Tasks that have another attempt if the trial fails.
    AnyAttempt, ///< Any task, as the last failure is so long ago that a fault of the endpoint has passed.
};

/**
 * Health of one endpoint as judged from its runs. Thread safety: none.
 */
class EndpointHealth
{
public:
    /** Records a successful run. */
    void recordSuccess(TimePoint now, Duration took, Duration estimate);

    /**
     * Records a failed run. The fault may be the task's.
     * @param job Job of the run; consecutive failures of one job count once.
     */
    void recordFailure(TimePoint now, const JobId &job);

    /** Records a run that has exceeded its estimate and has not ended. */
    void recordOverdue(TimePoint now, Duration elapsed, Duration estimate);

    /** @return Whether the endpoint should get only one run at a time, as a trial, and none before isTrialDue(). */
    bool isSuspect() const;

    /** @return Whether a trial run may start on a suspect endpoint. */
    bool isTrialDue(TimePoint now) const;

    /** @return Which tasks a trial run may be of; None if the endpoint isn't suspect. */
    TrialTerms trialTerms(TimePoint now) const;

    /** @return Moving mean of run time divided by estimate; 1 if nothing is known. */
    double slowness(TimePoint now) const;

    /** @return Whether a run that has not ended after `elapsed` should be stopped and repeated elsewhere. */
    bool isStalled(TimePoint now, Duration elapsed, Duration estimate) const;

private:
    std::uint32_t consecutiveFailures = 0; ///< Failed runs of different jobs since the last successful run.
    JobId lastFailedJob; ///< Job of the last failed run.
    TimePoint lastFailureAt; ///< When the last failed run was recorded.
    TimePoint suspectUntil; ///< When the next trial is due.
    Duration suspectPeriod{}; ///< Length of the current suspect period; doubles with each failed trial.
    double ratio = 1; ///< Moving mean of run time divided by estimate, as of `ratioAt`; decays towards 1 without runs.
    TimePoint ratioAt; ///< When `ratio` was last updated.
};

} // namespace Tanagertally::Cells
