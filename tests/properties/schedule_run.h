/** Carries a schedule out on a session and records what the invariants need to know. */
#pragma once

#include "properties/schedule.h"

#include <map>
#include <set>

namespace Tanagertally {

/** One of the schedule's jobs: its key is issued or the caller's own, its tasks idempotent or not, or mixed. */
struct PlannedJob {
    JobKey key; ///< Its key.
    JobSpec spec; ///< The job.
};

/** How an instance ended. */
struct InstanceEnd {
    TimePoint at{}; ///< When.
    bool planned = false; ///< Whether it exited after a planned stop; otherwise it was killed.
    TimePoint stopAskedAt{}; ///< When the planned stop was asked for.
};

/** A time in which something was out of order. */
struct Outage {
    TimePoint from{}; ///< Begin.
    TimePoint until = TimePoint::max(); ///< End.
    std::uint32_t target = 0; ///< Instance or worker.
};

/**
 * Carries a schedule out and remembers which call belongs to which job.
 * Thread safety: none.
 */
class ScheduleRun
{
public:
    /** Set up a session and its jobs. @param seed Seed of the fakes. @param trace Gets the transcript; may be empty. */
    ScheduleRun(std::uint64_t seed, Session::TraceHandler trace);

    /** Carry out all steps, let all faults end, and ask for the answer of each accepted job. @param steps The schedule. */
    void run(const std::vector<Step> &steps);

    Session session; ///< The session.
    std::vector<PlannedJob> jobs; ///< Jobs of the schedule.
    std::map<std::size_t, std::uint32_t> submits; ///< Job of each call that submits.
    std::map<std::size_t, std::uint32_t> questions; ///< Job of each call that fetches or cancels.
    std::map<std::size_t, std::uint32_t> lastQuestions; ///< Job of each call at the end that asks for an accepted job.
    std::map<std::uint32_t, std::vector<InstanceEnd>> ends; ///< Ends by instance.
    std::vector<Outage> leaving; ///< Times in which the list named a worker as leaving.
    std::vector<Outage> blind; ///< Times in which an instance could not follow the instance list.
    std::vector<Outage> pauses; ///< Times in which an instance was paused.
    std::vector<std::string> violations; ///< Invariants that did not hold while the schedule ran.

private:
    void watch(TimePoint at, const std::string &line);
    void later(std::uint32_t lengthMs, std::function<void()> what);
    void execute(const Step &step);
    void executeFault(const Step &step);
    void faultOfInstance(const Step &step, std::uint32_t instance);
    void request(const Step &step, std::uint32_t instance);
    void setBlind(std::uint32_t instance, std::uint32_t lengthMs);
    void askForAccepted();
    void sampleVersions();
    void checkAccepted(std::uint64_t version);

    Session::TraceHandler trace; ///< Gets the transcript.
    std::map<std::uint32_t, TimePoint> stopAsked; ///< Planned stops that go on, by instance.
    std::map<std::uint32_t, std::pair<std::size_t, std::uint64_t>> versions; ///< Ends so far and version in force, by instance.
};

} // namespace Tanagertally
