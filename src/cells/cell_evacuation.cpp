// The part of the leader that empties an evacuated cell.
//
// Pattern: operator evacuation. All endpoints of a failure domain have to be left within a bound while callers go on submitting. Jobs that
// wait here would end late or never, though other cells could run them; jobs that are half done would be lost if they were stopped at once.
#include "cells/cell_leader.h"

#include <algorithm>

namespace Tanagertally::Cells {

void CellLeader::setEvacuated(TimePoint now, std::optional<TimePoint> startsUntil)
{
    if (startsUntil.has_value() == this->evacuation.has_value()) {
        return;
    }
    if (!startsUntil) {
        this->evacuation.reset();
        this->log("cell-reopened", {{"ready_jobs", std::to_string(this->readyJobs.size())}});
        this->advance(now);
        return;
    }
    this->evacuation = CellEvacuation{*startsUntil};
    for (const PendingSubmission &submission : std::exchange(this->pendingSubmissions, {})) {
        this->refuse(submission.calls, *submission.job, EvacuatedReason);
    }
    this->advance(now);
}

bool CellLeader::areStartsOver(TimePoint now) const
{
    return this->evacuation && now > this->evacuation->startsUntil;
}

bool CellLeader::canStartTasksOf(TimePoint now, const CellJob &job) const
{
    const bool isStarted = job.startOrders > 0 || job.state == JobState::Running;
    return !job.isLeaving && (!this->evacuation || (isStarted && !this->areStartsOver(now)));
}

void CellLeader::evacuateJobs(TimePoint now)
{
    if (!this->evacuation) {
        return;
    }
    std::vector<std::shared_ptr<CellJob>> handedBack;
    std::vector<std::shared_ptr<CellJob>> unfinished;
    for (const auto &[id, job] : this->jobs) {
        if (!job->spec.isBestEffort) {
            continue;
        }
        // An endpoint that isn't listed yet may have a run of a job that was submitted to a former leader.
        const bool mayBeTakenOver = job->wasRecovered && !this->isRecoverySettled && !this->areOrphansStopped;
        const bool canGoOn = job->placedTasks > 0 || mayBeTakenOver || this->canStartTasksOf(now, *job);
        if (!canGoOn && job->hasNeverStarted()) {
            handedBack.push_back(job);
        } else if (!canGoOn || (this->areStartsOver(now) && job->needsStarts())) {
            unfinished.push_back(job);
        }
    }
    for (const std::shared_ptr<CellJob> &job : handedBack) {
        this->handBack(now, job, EvacuatedReason);
    }
    for (const std::shared_ptr<CellJob> &job : unfinished) {
        if (const auto call = this->bestEffortCalls.extract(job->id)) {
            this->answerSubmission(call.mapped().call, {SubmitVerdict::Unknown, std::string(EvacuatedReason), {}, {}});
        }
        this->log("job-evacuated", {{"job", job->id.value}, {"running", std::to_string(job->placedTasks)}});
        job->end(JobState::Cancelled);
        this->stopRuns(now, job->id);
        this->finishBestEffort(now, job);
    }
    if (this->areStartsOver(now) && !std::exchange(this->evacuation->areStartsOver, true)) {
        this->log("evacuation-starts-over", {{"unfinished", std::to_string(unfinished.size())},
                                             {"running_jobs", std::to_string(this->jobs.size())},
                                             {"waiting_jobs", std::to_string(this->readyJobs.size())}});
    }
}

} // namespace Tanagertally::Cells
