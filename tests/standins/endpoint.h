/** The stand-in for one endpoint: runs tasks as timers in its slots, with faults that can be set at any time. */
#pragma once

#include "http_listener.h"
#include "run_plan.h"
#include "start_ledger.h"

namespace Tanagertally::Standins {

/** What an endpoint is set up with. */
struct EndpointOptions {
    EndpointPlace place; ///< Where it stands.
    HttpListenerOptions listen; ///< Where it listens.
};

/** An endpoint at one moment. */
struct EndpointReport {
    EndpointPlace place; ///< Where it stands.
    std::string address; ///< Where it serves, as "IP:port".
    EndpointState state = EndpointState::Live; ///< Its life.
    EndpointFaults faults; ///< Its faults.
    EndpointCounters counters; ///< Its counts.
    std::uint32_t running = 0; ///< Tasks running now.
    std::size_t connections = 0; ///< Connections held now.
    std::uint64_t connectionsOverLimit = 0; ///< Connections closed at once.
};

/**
 * One endpoint.
 * Thread safety: any thread. The io_context has to be stopped before the endpoint is destroyed.
 */
class Endpoint
{
    struct Private {
        explicit Private() = default;
    };

public:
    using Clock = std::chrono::steady_clock; ///< Clock of the times since leaving.

    /**
     * Make an endpoint that serves at once.
     * @param io Context that runs it.
     * @param options Where it stands and listens.
     * @param table Run times of all kinds; outlives the endpoint.
     * @param ledger Where starts are counted; outlives the endpoint.
     * @return The endpoint, or an error if its port can't be bound.
     */
    static Result<std::unique_ptr<Endpoint>> create(boost::asio::io_context &io, EndpointOptions options, const RunTimeTable &table,
                                                    StartLedger &ledger);

    Endpoint(Private, EndpointOptions options, const RunTimeTable &table, StartLedger &ledger);

    /** @return Where it stands. */
    const EndpointPlace &place() const;

    /** @return Where it serves, as "IP:port". */
    std::string address() const;

    /** @return Its life. */
    EndpointState state() const;

    /** @return Its faults. */
    EndpointFaults faults() const;

    /** Replace its faults. */
    void setFaults(const EndpointFaults &faults);

    /** Tell it to leave. @param refuses Whether it refuses what arrives from here on; otherwise it runs it and counts it. */
    void leave(bool refuses);

    /** Close the port and all connections and forget the tasks running. */
    void kill();

    /** Make it live again after leave() or kill(), on its old port. @return An error if the port is taken. */
    Result<void> revive();

    /** Make its present connections silent; new ones work. @return Their number. */
    std::size_t silenceConnections();

    /** @return All about it. */
    EndpointReport report() const;

    /** Set its counts to zero; tasks running go on. */
    void resetCounters();

private:
    /** What happens to a request to run a task. */
    enum class Admission : std::uint8_t { Started, Busy, Leaving, Swallowed, Dead };

    /** A request on its way in. */
    struct Admitted {
        Admission admission = Admission::Dead; ///< What happens to it.
        RunPlan plan; ///< How it runs, if it started.
        std::uint64_t life = 0; ///< Life of the process in which it started.
    };

    void serve(const HttpConnectionPtr &connection);
    void serveHealth(const HttpConnectionPtr &connection);
    void serveRun(const HttpConnectionPtr &connection);
    void run(const HttpConnectionPtr &connection, TaskRequest request, const Admitted &admitted);
    void finish(const HttpConnectionPtr &connection, const TaskRequest &request, const Admitted &admitted);
    Admitted admit(const TaskRequest &request);
    void countAfterLeaving(bool started);
    void countEnd(const RunPlan &plan);
    void count(std::uint64_t EndpointCounters::*counter);

    EndpointPlace where; ///< Where it stands.
    std::unique_ptr<HttpListener> listener; ///< Its port.
    const RunTimeTable &table; ///< Run times.
    StartLedger &ledger; ///< Counts starts.
    mutable std::mutex mutex; ///< Guards what follows.
    EndpointState life = EndpointState::Live; ///< Its life.
    bool refusesWhenLeaving = true; ///< Whether it refuses while leaving.
    Clock::time_point leftAt; ///< When it was told to leave.
    std::uint64_t lives = 0; ///< Times it was killed.
    std::uint64_t starts = 0; ///< Tasks ever started.
    std::uint32_t running = 0; ///< Slots taken.
    EndpointFaults present; ///< Its faults.
    EndpointCounters counters; ///< Its counts.
};

} // namespace Tanagertally::Standins
