/** Callers of an open-loop load. */
#pragma once

#include "recorder.h"

namespace Tanagertally {

/**
 * Submits drawn jobs at drawn times, whatever comes of the earlier ones.
 *
 * Each caller asks an instance of its failure domain for a batch of keys and submits its jobs to the home of its keys.
 * Thread safety: none.
 */
class LoadGenerator
{
public:
    /** Set up. The references must outlive this object. */
    LoadGenerator(Session &session, const UserProfile &user, const Scenario &scenario, const RunLength &length, std::uint64_t seed,
                  Recorder &recorder);

    /** Begin to ask for keys and to submit. */
    void start();

    /** Cancel a share of the jobs in progress. */
    void cancelSome(double share);

    /** Tell the callers' balancer whether an instance is ready. */
    void setReady(std::uint32_t instance, bool ready);

private:
    /** One caller. */
    struct Caller {
        std::uint32_t domain = 0; ///< Its failure domain.
        TeamName team; ///< Its team.
        std::uint32_t home = 0; ///< Instance that issued its keys.
        std::vector<JobKey> keys; ///< Keys that it has not used.
        bool asking = false; ///< Whether it awaits keys.
        std::vector<std::size_t> waiting; ///< Jobs that wait for keys.
    };

    /** A job in progress. */
    struct Submitted {
        std::size_t job = 0; ///< Its number at the recorder.
        std::size_t caller = 0; ///< Who submitted it.
        std::uint32_t comesBack = 0; ///< Times that its caller will still come back.
    };

    void arrive(Workload &workload, double load, bool overQuota);
    void scheduleNext(Workload &workload, double load, bool overQuota);
    double loadNow(double mean) const;
    void askKeys(std::size_t caller);
    void submit(std::size_t caller, std::size_t job, std::uint32_t comesBack);
    void handle(std::size_t call, const SessionReply &reply);
    void jobReplied(const Submitted &submitted, const SessionReply &reply);
    void dropStaleKeys(std::size_t caller, const Refusal *refusal);
    void addCallers(JobClass jobClass, std::uint32_t domain, std::uint32_t count, std::string_view team, std::uint32_t teams);
    std::uint32_t pickInstance(std::uint32_t domain);

    Session &session; ///< The session.
    const UserProfile &user; ///< Sizes.
    const Scenario &scenario; ///< The scenario.
    RunLength length; ///< Times.
    Recorder &recorder; ///< Records jobs.
    Workload usual; ///< The usual mix.
    Workload overQuota; ///< Jobs of the team over its quota.
    RandomEngine random; ///< Random numbers of the callers.
    std::vector<Caller> callers; ///< All callers.
    std::array<std::vector<std::size_t>, JobClasses> callersOf; ///< Callers that submit each sort of job.
    std::vector<bool> ready; ///< Whether the balancer sends to each instance.
    std::unordered_map<std::size_t, std::size_t> keyCalls; ///< Caller of each call for keys.
    std::map<std::size_t, Submitted> inProgress; ///< Submission of each call.
    std::unordered_map<std::size_t, JobSpec> specs; ///< Jobs that may be submitted again or wait for keys.
};

} // namespace Tanagertally
