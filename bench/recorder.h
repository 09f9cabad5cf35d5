/** What came of the jobs and attempts of a run, and the figures drawn from it. */
#pragma once

#include "histogram.h"
#include "session/session.h"
#include "workload.h"

#include <array>
#include <optional>

namespace Tanagertally {

/** How a job ended, from the caller's side. */
enum class JobEnd : std::uint8_t {
    Open, ///< No answer came in the time of the run.
    Complete, ///< Answered complete.
    Failed, ///< Answered failed.
    Refused, ///< Refused.
};

/** One job and what came of it. */
struct JobEntry {
    JobClass jobClass = JobClass::Usual; ///< What sort of job it is.
    std::uint32_t domain = 0; ///< Failure domain of its caller.
    std::uint32_t tasks = 0; ///< Number of its tasks.
    bool idempotent = false; ///< Whether its tasks are idempotent.
    bool cancelled = false; ///< Whether its caller cancelled it.
    Duration timeout{}; ///< Time within which its answer is wanted.
    Duration work{}; ///< Own run times of its tasks together.
    std::vector<Duration> runTimes; ///< Own run time of each task.
    Duration ideal{}; ///< Link round trips and own run time, without waiting.
    TimePoint sentAt{}; ///< When it was submitted first.
    TimePoint endedAt{}; ///< When its last reply arrived.
    JobEnd end = JobEnd::Open; ///< How it ended.
    std::string reason; ///< Why it failed or was refused.
    JobKey key; ///< Key of its last submission.
    bool untrue = false; ///< Whether it was told not-run of a task that started.

    /** @return Whether it was answered complete within its timeout. */
    bool inTime() const
    {
        return this->end == JobEnd::Complete && this->endedAt - this->sentAt <= this->timeout;
    }
};

/** Why messages to endpoints were more than one request and one answer per task answered with success. */
enum class WasteCause : std::uint8_t {
    Refused, ///< The endpoint was busy or leaving.
    EndpointFailed, ///< The endpoint failed the task.
    TaskFailed, ///< The task itself failed.
    Lost, ///< No answer came.
    SecondAttempt, ///< Another attempt of the task succeeded.
    Cancelled, ///< The job was cancelled.
    FailedJob, ///< The job failed for another task or for its deadline.
    Probe, ///< Health probes.
};

constexpr std::size_t WasteCauses = 8; ///< Number of causes.

/** Figures of a run. */
struct RunFigures {
    Histogram<10> ratio; ///< Response time over the ideal of usual jobs answered complete, in parts of RatioUnit.
    Histogram<10> bigRatio; ///< The same of big jobs.
    Histogram<10> domainQueueRatio; ///< The same of usual jobs with one exact queue for each failure domain.
    Histogram<10> sizeQueueRatio; ///< The same, and jobs of fewer tasks first.
    Histogram<10> fleetQueueRatio; ///< The same of usual jobs with one exact queue for the fleet.
    Histogram<10> responseMicros; ///< Response time of usual jobs answered complete, in us.
    Histogram<10> refusalMicros; ///< Time from submission to refusal, links included, in us.
    std::uint64_t jobs = 0; ///< Jobs submitted.
    std::uint64_t tasks = 0; ///< Their tasks.
    std::uint64_t completeTasks = 0; ///< Tasks of jobs answered complete.
    std::uint64_t openJobs = 0; ///< Jobs that got no answer.
    std::uint64_t refusedJobs = 0; ///< Jobs refused.
    std::uint64_t failedJobs = 0; ///< Jobs answered failed.
    std::uint64_t untrueRefusals = 0; ///< Tasks told not-run that had started.
    std::uint64_t doubleStarts = 0; ///< Non-idempotent tasks that started twice.
    std::uint64_t starts = 0; ///< Starts seen by endpoints.
    std::uint64_t messages = 0; ///< Messages to endpoints and back, probes included.
    std::array<std::uint64_t, WasteCauses> wasted{}; ///< Wasted messages by cause.
    std::uint64_t retries = 0; ///< Retries.
    std::uint64_t hedges = 0; ///< Hedges.
    std::uint64_t peerMessages = 0; ///< Messages between instances.
    std::uint64_t mostLostToFaultyWorker = 0; ///< Tasks that the failing worker failed, of the instance with most.
    double goodput = 0; ///< Tasks answered complete in time over those offered.
    double capacityUse = 0; ///< Run time of tasks answered complete in time over the slots' time.
    double restGoodput = 0; ///< Goodput of the jobs that met no fault of the failing worker.
    double localGoodput = 0; ///< Goodput of the failure domain in trouble.
    double inTimeP99 = 0; ///< 99th percentile of response time over timeout, of accepted jobs; a failed one counts as Never.
    std::map<std::string, std::uint64_t> reasons; ///< Jobs by reason of refusal or failure.

    /** @return Wasted messages of all causes. */
    std::uint64_t allWasted() const;
};

constexpr double Never = 100.0; ///< Response time over timeout of an accepted job that was not answered complete.
constexpr double RatioUnit = 10000.0; ///< Parts of one in the histograms of ratios.

/**
 * Records jobs and attempts.
 * Thread safety: none.
 */
class Recorder
{
public:
    /** Set up. The session must outlive this object. */
    Recorder(Session &session, const UserProfile &user, const RunLength &length);

    /** Note a job that is about to be submitted. @return Its number. */
    std::size_t addJob(const DrawnJob &job, std::uint32_t domain);

    /** Note a submission. */
    void submitted(std::size_t job, const JobKey &key);

    /** Note the final reply of a job. */
    void ended(std::size_t job, const SessionReply &reply);

    /** @return A job. */
    JobEntry &job(std::size_t number)
    {
        return this->jobs.at(number);
    }

    /** @return All jobs. */
    const std::vector<JobEntry> &allJobs() const
    {
        return this->jobs;
    }

    /** @return The figures, once the run is over. */
    RunFigures figures() const;

private:
    bool isCounted(const JobEntry &job) const;
    void countJobs(RunFigures &figures) const;
    void countAttempts(RunFigures &figures) const;
    void countStarts(RunFigures &figures) const;
    void countExactQueues(RunFigures &figures) const;
    const JobEntry *findJob(const JobKey &key) const;

    Session &session; ///< The session.
    const UserProfile &user; ///< Sizes.
    RunLength length; ///< Times.
    std::vector<JobEntry> jobs; ///< All jobs.
    std::unordered_map<JobKey, std::size_t> byKey; ///< Job of each key.
    std::unordered_map<JobKey, std::vector<bool>> toldNotRun; ///< Tasks told not-run, by key.
    std::vector<SessionAttempt> attempts; ///< All attempts that ended.
};

/** @return The name of a cause. */
std::string_view toString(WasteCause cause);

} // namespace Tanagertally
