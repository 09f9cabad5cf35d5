/** Settings and records of a session: a few decision parts on one virtual clock, with fakes at their interfaces. */
#pragma once

#include "blackboard/config_type.h"
#include "controllers/coordinator.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace Tanagertally {

/** Delays of the fakes, one way where there are two. */
struct SessionDelays {
    Duration caller = std::chrono::milliseconds(1); ///< Caller to entry instance.
    Duration withinDomain = std::chrono::microseconds(100); ///< Between instances, or to an endpoint, of one failure domain.
    Duration betweenDomains = std::chrono::microseconds(500); ///< Between instances of two failure domains.
    Duration tableRead = std::chrono::milliseconds(1); ///< Read of the table or object store, there and back.
    Duration tableWrite = std::chrono::milliseconds(4); ///< Write of the table or object store, there and back.
    Duration listInterval = std::chrono::milliseconds(500); ///< Between two readings of the instance list.
    Duration listLag = std::chrono::seconds(2); ///< How far the instance list lags behind.
    Duration peerSilence = std::chrono::seconds(1); ///< Time after which a silent link counts as gone.
    Duration exitGrace = std::chrono::milliseconds(200); ///< Time without a call after which an instance that has drained ends.
    Duration peerRetry = std::chrono::milliseconds(250); ///< Between two tries to open a persistent link.
};

/** What a session is made of. */
struct SessionOptions {
    std::uint64_t seed = 1; ///< Seed of all random numbers.
    std::uint32_t domains = 2; ///< Failure domains.
    std::uint32_t instancesPerDomain = 2; ///< Entry instances in each.
    std::uint32_t workersPerDomain = 4; ///< Workers, each with an endpoint, in each.
    std::uint32_t workersPerRack = 2; ///< Workers in a rack.
    std::uint32_t slots = 8; ///< Slots of an endpoint.
    SessionDelays delays; ///< Delays.
    FleetConfig config; ///< Initial configuration.
    EndpointPolicy choice; ///< Policy that chooses endpoints.
    std::function<Duration(const KindName &, RandomEngine &)> runTime; ///< Run time of a task.
    std::function<Duration(const Payload &, RandomEngine &)> payloadRunTime; ///< Run time by payload; used instead if it is set.
};

/** How an endpoint behaves. */
enum class EndpointMode : std::uint8_t {
    Normal, ///< Runs tasks.
    FailsAll, ///< Fails every task at once.
    Refusing, ///< Says that it is leaving.
    Dead, ///< Can't be connected to; what ran on it is lost.
    SilentConnections, ///< Runs tasks but never answers on connections that are open; probes are answered.
    Silent, ///< Accepts everything and never answers.
};

/** How the platform behaves. */
enum class PlatformMode : std::uint8_t {
    Normal, ///< Answers.
    Refusing, ///< Can't be connected to.
    Silent, ///< Never answers; nothing takes effect.
    LosesAnswers, ///< Writes take effect and are not answered.
    Slow, ///< Reads are answered just in time; writes take effect after the asker has given up.
};

/** A reply that a caller got. */
struct SessionReply {
    TimePoint at{}; ///< When it arrived.
    CallerReply reply; ///< The reply.
};

/** A request of a caller and what came of it. */
struct SessionCall {
    std::uint32_t instance = 0; ///< Instance that was asked.
    TeamName team; ///< Team of the caller.
    JobKey key; ///< Key, as the caller gave it.
    TimePoint sentAt{}; ///< When it was sent.
    std::vector<SessionReply> replies; ///< What came back; one entry if all is well.
    bool connectionLost = false; ///< Whether the instance died before it replied.
};

/** An attempt that has ended, as seen on the wire. */
struct SessionAttempt {
    TimePoint endedAt{}; ///< When its end was reported.
    JobKey key; ///< Key of its job.
    std::uint32_t task = 0; ///< Index of its task.
    std::uint32_t instance = 0; ///< Instance that had it started.
    std::uint32_t worker = 0; ///< Worker it went to.
    AttemptOutcome outcome = AttemptOutcome::Lost; ///< How it ended.
    std::uint32_t messages = 0; ///< Messages to and from the endpoint.
    bool silenced = false; ///< Whether its connection had gone silent.
};

/** A start of a task, as an endpoint saw it. */
struct SessionStart {
    TimePoint at{}; ///< When.
    JobKey key; ///< Key of its job.
    std::uint32_t task = 0; ///< Its index.
    KindName kind; ///< Its kind.
    std::string worker; ///< Worker that started it.
    std::uint32_t instance = 0; ///< Instance that had it started.
    Incarnation incarnation; ///< Incarnation that had it started.
};

} // namespace Tanagertally
