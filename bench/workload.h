/** The jobs that callers submit: their kinds, sizes and run times. */
#pragma once

#include "blackboard/job_type.h"
#include "core/random_base.h"
#include "scenario_type.h"

#include <string_view>

namespace Tanagertally {

/** What sort of job it is; figures are kept apart by it. */
enum class JobClass : std::uint8_t {
    Usual, ///< One or a few tasks.
    Big, ///< 1,000 tasks.
    OverQuota, ///< Of the team that wants more than its quota.
    Impossible, ///< Can't ever finish within its timeout.
};

constexpr std::size_t JobClasses = 4; ///< Number of sorts.
constexpr std::string_view OverQuotaTeam = "greedy"; ///< Team that wants more than its quota.

/** A job as drawn. */
struct DrawnJob {
    JobClass jobClass = JobClass::Usual; ///< What sort of job it is.
    JobSpec spec; ///< The job.
    Duration longest{}; ///< Own run time of its longest task.
    Duration work{}; ///< Own run times of its tasks together.
};

/**
 * Draws jobs from a seed: the same jobs whatever the policy.
 * Thread safety: none.
 */
class Workload
{
public:
    /** Set up. */
    Workload(const UserProfile &user, const Scenario &scenario, std::uint64_t seed);

    /** @return The next job of the usual mix. */
    DrawnJob drawUsual();

    /** @return The next job of the team over its quota. */
    DrawnJob drawOverQuota();

    /** @return Mean run time of the tasks of the usual mix. */
    Duration meanTask() const
    {
        return this->meanTaskTime;
    }

    /** @return Mean run time of all tasks of a job of the usual mix. */
    Duration meanJob() const
    {
        return this->meanJobTime;
    }

    /** @return The generator, for arrivals. */
    RandomEngine &engine()
    {
        return this->random;
    }

private:
    DrawnJob drawJob();
    void addTask(DrawnJob &job, std::string_view kind, Duration runTime);
    Duration drawRunTime(std::string_view kind);

    const Scenario &scenario; ///< The scenario.
    RandomEngine random; ///< Random numbers.
    double bigJobProbability = 0; ///< Probability that a job is big.
    Duration meanTaskTime{}; ///< Mean run time of a task.
    Duration meanJobTime{}; ///< Mean run time of a job.
};

/** @return The configuration for a scenario and a policy. */
FleetConfig makeBenchConfig(const UserProfile &user, const Scenario &scenario, const Policy &policy);

/** @return The run time that is written in a payload. */
Duration runTimeOf(const Payload &payload);

} // namespace Tanagertally
