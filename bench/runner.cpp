#include "runner.h"

#include "fault_script.h"

namespace Tanagertally {

namespace {

constexpr std::size_t WorstJobs = 10;

SessionOptions makeOptions(const UserProfile &user, const Scenario &scenario, const Policy &policy, std::uint64_t seed)
{
    SessionOptions options;
    options.seed = seed;
    options.domains = user.domains;
    options.instancesPerDomain = user.instancesPerDomain;
    options.workersPerDomain = user.workersPerDomain;
    options.workersPerRack = user.workersPerRack;
    options.slots = user.slots;
    options.delays.caller = user.toCaller;
    options.delays.betweenDomains = user.betweenDomains;
    options.config = makeBenchConfig(user, scenario, policy);
    options.choice = policy.choice;
    options.payloadRunTime = [share = scenario.stragglerShare](const Payload &payload, RandomEngine &random) {
        const bool straggles = share > 0 && std::uniform_real_distribution<double>(0.0, 1.0)(random) < share;
        return std::chrono::duration_cast<Duration>(runTimeOf(payload) * (straggles ? StragglerFactor : 1.0));
    };
    return options;
}

/** Keep the instances of each failure domain from knowing of each other. */
void cutWithinDomains(Session &session)
{
    for (std::uint32_t from = 0; from < session.instanceCount(); ++from) {
        for (std::uint32_t to = 0; to < session.instanceCount(); ++to) {
            if (from != to && session.domainOf(from) == session.domainOf(to)) {
                session.cutLink(from, to, true);
            }
        }
    }
}

double ratioOf(const JobEntry &job)
{
    return std::chrono::duration<double>(job.endedAt - job.sentAt) / std::chrono::duration<double>(job.ideal);
}

std::vector<JobEntry> worstOf(const std::vector<JobEntry> &jobs, const RunLength &length)
{
    std::vector<JobEntry> complete;
    for (const JobEntry &job : jobs) {
        if (job.end == JobEnd::Complete && job.sentAt >= TimePoint(length.warmUp)) {
            complete.push_back(job);
        }
    }
    const std::size_t count = std::min(WorstJobs, complete.size());
    std::partial_sort(complete.begin(), complete.begin() + static_cast<std::ptrdiff_t>(count), complete.end(),
                      [](const JobEntry &one, const JobEntry &other) { return ratioOf(one) > ratioOf(other); });
    complete.resize(count);
    return complete;
}

} // namespace

RunResult runScenario(const UserProfile &user, const Scenario &scenario, const Policy &policy, const RunLength &length, std::uint64_t seed,
                      const Session::TraceHandler &trace)
{
    Session session(makeOptions(user, scenario, policy, seed));
    session.onTrace(trace);
    if (!policy.shares) {
        cutWithinDomains(session);
    }
    Recorder recorder(session, user, length);
    LoadGenerator load(session, user, scenario, length, seed, recorder);
    load.start();
    scheduleFault(scenario.fault, session, load, user, length);
    session.runUntil(length.end() + length.drain);
    return RunResult{user.name, scenario.name, policy.name, seed, recorder.figures(), worstOf(recorder.allJobs(), length)};
}

} // namespace Tanagertally
