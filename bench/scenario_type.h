/** Scenarios, users and policies of the bench: plain data. */
#pragma once

#include "blackboard/config_type.h"
#include "controllers/endpoint_choice.h"

#include <string>
#include <vector>

namespace Tanagertally {

/** The sizes and distances of one user of the system. */
struct UserProfile {
    std::string name; ///< Name on the command line.
    std::uint32_t domains = 1; ///< Failure domains.
    std::uint32_t instancesPerDomain = 1; ///< Entry instances in each.
    std::uint32_t workersPerDomain = 1; ///< Workers in each.
    std::uint32_t workersPerRack = 1; ///< Workers in a rack.
    std::uint32_t slots = 8; ///< Slots of an endpoint.
    Duration betweenDomains{}; ///< One way between failure domains.
    Duration toCaller{}; ///< One way between a caller and an entry instance.

    /** @return All slots. */
    std::uint32_t allSlots() const
    {
        return this->domains * this->workersPerDomain * this->slots;
    }
};

/** What goes wrong in a scenario. */
enum class Fault : std::uint8_t {
    None, ///< Nothing.
    FailingWorker, ///< One worker fails every task at once.
    SlowWorker, ///< One worker takes five times as long.
    RackGone, ///< All workers of a rack die and come back later.
    DomainCut, ///< One domain is cut off from the others and from the platform, and mended later.
    SilentConnections, ///< The open connections to two workers of each domain go silent.
    CancelWaves, ///< Every few seconds half of the jobs in progress are cancelled.
    RollingReplacement, ///< Each entry instance in turn is stopped in a planned way and started again.
};

/** One scenario. */
struct Scenario {
    std::string name; ///< Name on the command line.
    double load = 0.5; ///< Offered load as a share of all slots.
    Fault fault = Fault::None; ///< What goes wrong.
    double burstFactor = 1.0; ///< Load in a burst over the load between bursts; 1 for none.
    double expectedRunTimeFactor = 1.0; ///< Run times in the configuration over the true ones.
    double stragglerShare = 0.0; ///< Share of starts that take StragglerFactor times as long.
    double bigJobShare = 0.0; ///< Share of the load in jobs of 1,000 tasks.
    double overQuotaLoad = 0.0; ///< Load of a team with a quota, beside the rest, as a share of all slots.
    double impossibleShare = 0.0; ///< Share of the jobs that can't ever finish within their timeout.
    double throughOthers = 0.0; ///< Share of the submissions that go through a random instance.
    std::uint32_t resubmits = 0; ///< Times that a caller comes back after a refusal that names a time.
};

/** A policy to compare. */
struct Policy {
    std::string name; ///< Name on the command line.
    EndpointPolicy choice; ///< Choice of endpoints.
    bool hedged = false; ///< Whether lookups are hedged.
    bool shares = true; ///< Whether the instances of a domain share out its slots; otherwise each counts on all of them.
    Duration maxQueueWait = PolicyConfig().maxQueueWait; ///< Longest estimated wait of an admitted job.
};

/** Length of a run. */
struct RunLength {
    Duration warmUp = std::chrono::seconds(5); ///< Not counted.
    Duration measured = std::chrono::seconds(30); ///< Jobs submitted in this time are counted.
    Duration drain = std::chrono::seconds(15); ///< Time for the last answers.

    /** @return The end of the measured time. */
    Duration end() const
    {
        return this->warmUp + this->measured;
    }
};

constexpr double StragglerFactor = 10.0; ///< How much longer a straggling start takes.
constexpr std::uint32_t FaultyWorker = 1; ///< Worker with which something is wrong, in the failure domain 0.

} // namespace Tanagertally
