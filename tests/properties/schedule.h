/** Random schedules of requests and faults, and the invariants that hold under every one of them. */
#pragma once

#include "session/session.h"

#include <string>
#include <vector>

namespace Tanagertally {

/** What a step of a schedule does. */
enum class StepKind : std::uint8_t {
    Submit, ///< Submit a job under a key; the same key again is a resubmission.
    Fetch, ///< Fetch a job.
    Cancel, ///< Cancel a job.
    Kill, ///< Kill an instance; it is restarted later.
    Pause, ///< Freeze an instance for some time.
    Stop, ///< Stop an instance in a planned way; it is restarted later.
    CutDomains, ///< Cut the failure domains from each other for some time.
    CutLink, ///< Cut one direction of a link for some time.
    CutPlatform, ///< Cut a failure domain from the platform for some time.
    Platform, ///< Have the platform refuse, go silent or lose answers for some time.
    Endpoint, ///< Have an endpoint fail, refuse, die or go silent for some time.
    Last = Endpoint, ///< The last kind.
};

/** One step of a schedule. Numbers are taken modulo what there is. */
struct Step {
    std::uint32_t atMs = 0; ///< When, in milliseconds after the start of the schedule.
    StepKind kind = StepKind::Submit; ///< What it does.
    std::uint32_t target = 0; ///< Instance, domain or worker.
    std::uint32_t job = 0; ///< Which of the schedule's jobs.
    std::uint32_t lengthMs = 0; ///< How long a fault lasts.
    std::uint32_t variant = 0; ///< Variant of the fault.
};

/** Outcome of a schedule. */
struct ScheduleResult {
    std::vector<std::string> violations; ///< Invariants that did not hold.
    std::uint64_t starts = 0; ///< Tasks started.
    std::uint64_t complete = 0; ///< Calls answered complete.
};

/**
 * Run a schedule on real decision parts and check the invariants.
 * @param seed Seed of the fakes.
 * @param steps The schedule.
 * @param trace Gets the transcript; may be empty.
 */
ScheduleResult runSchedule(std::uint64_t seed, const std::vector<Step> &steps, const Session::TraceHandler &trace = {});

/** @return A step as a line that a person can read. */
std::string toText(const Step &step);

} // namespace Tanagertally
