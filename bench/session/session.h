/** A session: the real decision parts of a few instances on one virtual clock, with fakes at their interfaces. */
#pragma once

#include "session/fake_platform.h"
#include "session/session_type.h"

#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <unordered_map>

namespace Tanagertally {

/**
 * Runs decision parts against fake callers, endpoints, links and a fake platform, in the exact order of a virtual clock.
 *
 * Instances are numbered from 0, domain by domain; workers likewise, named "w0", "w1" and so on.
 * Thread safety: none.
 */
class Session
{
public:
    using TraceHandler = std::function<void(TimePoint, const std::string &)>; ///< Called with each line of the transcript.

    /** Set up and start all instances at time zero. */
    explicit Session(SessionOptions options);

    /** Set who gets the transcript. */
    void onTrace(TraceHandler handler);

    /** Set who hears of each reply when it reaches its caller, with the number of the call. */
    void onReply(std::function<void(std::size_t, const SessionReply &)> handler)
    {
        this->replyHandler = std::move(handler);
    }

    /** Set who hears of the end of each attempt. */
    void onAttemptEnd(std::function<void(const SessionAttempt &)> handler)
    {
        this->attemptHandler = std::move(handler);
    }

    /** Run until a time. @param until Time since the start. */
    void runUntil(Duration until);

    /** @return Time since the start. */
    Duration now() const;

    /** Do something at a time. @param at Time since the start. */
    void at(Duration at, std::function<void()> what);

    /** Ask for keys. @return Number of the call. */
    std::size_t requestKeys(std::uint32_t instance, const TeamName &team, std::uint32_t count);

    /** Submit a job. @return Number of the call. */
    std::size_t submit(std::uint32_t instance, const TeamName &team, const JobKey &key, JobSpec job);

    /** Fetch a job. @return Number of the call. */
    std::size_t fetch(std::uint32_t instance, const TeamName &team, const JobKey &key, bool wait);

    /** Cancel a job. @return Number of the call. */
    std::size_t cancel(std::uint32_t instance, const TeamName &team, const JobKey &key);

    /** Ask as an operator. The replies are in operatorReplies(). */
    void operate(std::uint32_t instance, const OperatorName &by, const std::string &text, bool dryRun = false);

    /** @return A call and its replies. */
    const SessionCall &call(std::size_t number) const
    {
        return this->calls.at(number);
    }

    /** @return Number of calls so far. */
    std::size_t callCount() const
    {
        return this->calls.size();
    }

    /** Stop an instance as the platform does in an emergency. */
    void kill(std::uint32_t instance);

    /** Start an instance that was killed or has exited, as a new incarnation. */
    void restart(std::uint32_t instance);

    /** Ask an instance to stop in a planned way. */
    void stop(std::uint32_t instance);

    /** Freeze an instance: it handles nothing until resume(), and doesn't notice. */
    void pause(std::uint32_t instance);

    /** Let a frozen instance go on. */
    void resume(std::uint32_t instance);

    /** Cut or mend the links between two failure domains. */
    void cutDomains(std::uint32_t first, std::uint32_t second, bool cut);

    /** Cut or mend the link between two instances, in one direction. */
    void cutLink(std::uint32_t from, std::uint32_t to, bool cut);

    /** Cut or mend a failure domain's way to the platform. */
    void cutPlatform(std::uint32_t domain, bool cut);

    /** Set how the platform behaves. */
    void setPlatform(PlatformMode mode);

    /** Set how an endpoint behaves. */
    void setEndpoint(std::uint32_t worker, EndpointMode mode);

    /** Multiply the run times on a worker. */
    void setSlowness(std::uint32_t worker, double factor);

    /**
     * Have the connections to a worker that are open go silent, while new ones work.
     * @param worker The worker.
     * @param perInstance Open connections that each instance has to it.
     */
    void silenceConnections(std::uint32_t worker, std::uint32_t perInstance);

    /** Have the instance list name a worker as leaving or live, after its lag. */
    void listLeaving(std::uint32_t worker, bool leaving);

    /** @return Whether an instance runs. */
    bool isRunning(std::uint32_t instance) const;

    /** @return Figures of a running instance's decision part. */
    CoordinatorStats stats(std::uint32_t instance) const;

    /** @return Every start of a task that an endpoint saw. */
    const std::vector<SessionStart> &starts() const
    {
        return this->startLog;
    }

    /** @return Messages sent to endpoints and back, without probes. */
    std::uint64_t endpointMessages() const
    {
        return this->endpointMessageCount;
    }

    /** @return Probes sent. */
    std::uint64_t probeCount() const
    {
        return this->probes;
    }

    /** @return Messages and bytes between instances are not modelled; this counts messages. */
    std::uint64_t peerMessages() const
    {
        return this->peerMessageCount;
    }

    /** @return Replies to operators, in order. */
    const std::vector<ReplyToOperator> &operatorReplies() const
    {
        return this->operatorReplyLog;
    }

    /** @return The fake platform. */
    const FakePlatform &platform() const
    {
        return this->table;
    }

    /** @return Number of instances. */
    std::uint32_t instanceCount() const
    {
        return static_cast<std::uint32_t>(this->instances.size());
    }

    /** @return Number of workers. */
    std::uint32_t workerCount() const
    {
        return static_cast<std::uint32_t>(this->workers.size());
    }

    /** @return Failure domain of an instance. */
    std::uint32_t domainOf(std::uint32_t instance) const
    {
        return instance / this->options.instancesPerDomain;
    }

private:
    /** One entry instance. */
    struct Instance {
        std::unique_ptr<Coordinator> coordinator; ///< Its decision part; null while it is down.
        InstanceIdentity identity; ///< Who it is.
        std::uint64_t life = 0; ///< Counts incarnations, to drop what was meant for an earlier one.
        bool paused = false; ///< Whether it is frozen.
        bool stopping = false; ///< Whether the list names it as leaving.
        std::vector<Event> held; ///< Events that arrived while it was frozen.
        std::set<std::uint32_t> standing; ///< Instances to which a link is kept.
        std::unordered_map<EndpointId, std::uint32_t> endpoints; ///< Worker of each endpoint.
        std::unordered_map<AttemptId, std::size_t> attempts; ///< Attempts in flight.
        TimePoint lastCallAt{}; ///< When a caller's request last arrived.
        TimePoint wakeAt = TimePoint::max(); ///< When advance() is scheduled.
    };

    /** One worker and its endpoint. */
    struct Worker {
        ListedEndpoint listed; ///< Its entry in the instance list.
        EndpointMode mode = EndpointMode::Normal; ///< How it behaves.
        std::uint32_t running = 0; ///< Tasks that run.
        double slowness = 1.0; ///< Multiplies run times.
        std::map<std::uint32_t, std::uint32_t> silentConnections; ///< Silent connections that each instance still has open to it.
    };

    /** One attempt in flight. */
    struct Flight {
        std::uint32_t instance = 0; ///< Who had it started.
        std::uint64_t life = 0; ///< Its life.
        AttemptId attempt; ///< Its number there.
        std::uint32_t worker = 0; ///< Where it goes.
        bool ended = false; ///< Whether its end was reported.
        bool delivered = false; ///< Whether it reached the worker.
        JobKey key; ///< Key of its job.
        std::uint32_t task = 0; ///< Index of its task.
        bool silenced = false; ///< Whether its connection went silent.
    };

    /** A link between two instances. */
    struct Link {
        std::uint32_t first = 0; ///< The one.
        std::uint32_t second = 0; ///< The other.
        std::uint64_t firstLife = 0; ///< Life of the one.
        std::uint64_t secondLife = 0; ///< Life of the other.
        bool closing = false; ///< Whether it is known to be silent and about to be closed.
    };

    /** Something that is due. */
    struct Due {
        TimePoint at; ///< When.
        std::uint64_t order; ///< Order among what is due at the same time.
        std::function<void()> what; ///< What.
        bool operator>(const Due &other) const
        {
            return std::tie(this->at, this->order) > std::tie(other.at, other.order);
        }
    };

    void schedule(Duration delay, std::function<void()> what);
    void trace(const std::string &line) const;
    void traceOf(std::uint32_t instance, const std::string &what) const;
    void deliver(std::uint32_t instance, std::uint64_t life, Event event);
    void wake(std::uint32_t instance);
    void execute(std::uint32_t instance, ActionList &actions);
    void on(std::uint32_t instance, ReplyToCaller &action);
    void on(std::uint32_t instance, ReplyToOperator &action);
    void on(std::uint32_t instance, AddEndpoint &action);
    void on(std::uint32_t instance, RemoveEndpoint &action);
    void on(std::uint32_t instance, StartAttempt &action);
    void on(std::uint32_t instance, AbandonAttempt &action);
    void on(std::uint32_t instance, ProbeEndpoint &action);
    void on(std::uint32_t instance, OpenPeer &action);
    void on(std::uint32_t instance, ClosePeer &action);
    void on(std::uint32_t instance, SendToPeer &action);
    void on(std::uint32_t instance, SendPlatformRequest &action);
    void on(std::uint32_t instance, WriteLog &action);
    void on(std::uint32_t instance, SetReadiness &action);
    void on(std::uint32_t instance, Exit &action);

    void startInstance(std::uint32_t index);
    void endInstance(std::uint32_t index);
    void endWhenQuiet(std::uint32_t instance, std::uint64_t life);
    void readList(std::uint32_t instance, std::uint64_t life);
    InstanceList currentList() const;
    void recordList();
    void arrive(std::size_t flight, const StartAttempt &start);
    void endAttempt(std::size_t flight, AttemptOutcome outcome, Payload output, std::string error, Duration roundTrip);
    bool canReach(std::uint32_t from, std::uint32_t to) const;
    void tryOpen(std::uint32_t from, std::uint32_t to, bool standing);
    void closeLink(PeerId id);
    void doom(Link &link, PeerId id);
    void checkLinks();
    Duration linkDelay(std::uint32_t from, std::uint32_t to) const;
    std::size_t newCall(std::uint32_t instance, const TeamName &team, const JobKey &key);
    std::optional<std::uint32_t> instanceAt(const NetAddress &address) const;

    SessionOptions options; ///< What the session is made of.
    RandomEngine random; ///< Random numbers of the fakes.
    TimePoint clock{}; ///< Virtual time.
    std::uint64_t lastOrder = 0; ///< Order of the last thing scheduled.
    std::priority_queue<Due, std::vector<Due>, std::greater<>> agenda; ///< Everything that is due.
    std::vector<Instance> instances; ///< Entry instances.
    std::vector<Worker> workers; ///< Workers.
    std::vector<Flight> flights; ///< Attempts, ended ones too.
    std::map<PeerId, Link> links; ///< Links that are up.
    std::uint32_t lastLink = 0; ///< Last link number given.
    std::set<std::pair<std::uint32_t, std::uint32_t>> cutLinks; ///< Pairs from-to that are cut.
    std::set<std::uint32_t> cutFromPlatform; ///< Domains that are cut from the platform.
    PlatformMode platformMode = PlatformMode::Normal; ///< How the platform behaves.
    FakePlatform table; ///< The platform.
    std::vector<std::pair<TimePoint, InstanceList>> listHistory; ///< Instance lists by time, for the lag.
    std::vector<SessionCall> calls; ///< Calls of callers.
    std::vector<SessionStart> startLog; ///< Starts of tasks.
    std::vector<ReplyToOperator> operatorReplyLog; ///< Replies to operators.
    std::uint64_t endpointMessageCount = 0; ///< Messages to endpoints and back.
    std::uint64_t peerMessageCount = 0; ///< Messages between instances.
    std::uint64_t probes = 0; ///< Probes.
    TraceHandler traceHandler; ///< Gets the transcript.
    std::function<void(std::size_t, const SessionReply &)> replyHandler; ///< Hears of replies.
    std::function<void(const SessionAttempt &)> attemptHandler; ///< Hears of the ends of attempts.
};

} // namespace Tanagertally
