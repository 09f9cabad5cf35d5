/**
 * Finds endpoints that fail, slow down or stand still, from the ends of their own runs.
 *
 * Load pattern: an endpoint that fails all it starts is free at once and attracts work under any rule that looks for room; one
 * that is slow or stands still holds jobs open. Both keep answering as if they were well.
 */
#pragma once

#include "cells/job_type.h"

namespace Tanagertally::Cells {

/**
 * What is known of one endpoint's work. Thread safety: none.
 */
class EndpointHealth
{
public:
    /** Note a run that ended well. */
    void noteDone(TimePoint now, Duration took, Duration estimate);

    /**
     * Note a run that ended as failed. The fault may be the task's.
     * @param job Its job: failures of one job count once.
     */
    void noteFailed(TimePoint now, const JobId &job);

    /** Note a run that goes on for longer than it should. */
    void noteOverdue(TimePoint now, Duration elapsed, Duration estimate);

    /** @return Whether the endpoint should get no more than one run at a time, as a trial, and none before the trial is due. */
    bool isSuspect() const;

    /** @return Whether a trial run may start on a suspect endpoint. */
    bool isTrialDue(TimePoint now) const;

    /** @return How long tasks take there against their estimates; 1 if nothing is known. */
    double slowness(TimePoint now) const;

    /** @return Whether a run that has gone on for so long should be stopped and tried elsewhere. */
    bool isStalled(TimePoint now, Duration elapsed, Duration estimate) const;

private:
    std::uint32_t failuresInRow = 0; ///< Failed runs of different jobs since the last good one.
    JobId lastFailedJob; ///< Job of the last failed run.
    TimePoint suspectUntil; ///< When the next trial is due.
    Duration suspicion{}; ///< Length of the present suspicion.
    double ratio = 1; ///< Moving mean of run times against estimates.
    TimePoint ratioAt; ///< When it was updated last.
};

} // namespace Tanagertally::Cells
