/** The stand-in for the platform's service: table, object store and instance list over HTTP, with faults by client. */
#pragma once

#include "client_faults.h"
#include "core/random_base.h"
#include "http_listener.h"
#include "lagging_list.h"
#include "object_store.h"
#include "platform_table.h"
#include "rate_limiter.h"

namespace Tanagertally::Standins {

/** What the platform is set up with. */
struct PlatformOptions {
    HttpListenerOptions listen; ///< Where it listens.
    PlatformSpeed speed; ///< How fast it is.
    Duration listLag = std::chrono::seconds(2); ///< Lag of the instance list.
    std::uint64_t seed = 1; ///< Seed of its draws.
};

/** Fields of PlatformSpeed to change; unset ones stay. */
struct PlatformSpeedChange {
    std::optional<Duration> writeLatency; ///< Latency of writes.
    std::optional<Duration> readLatency; ///< Latency of reads.
    std::optional<double> writeRate; ///< Writes a second.
    std::optional<double> readRate; ///< Reads a second.
};

/**
 * The platform.
 * Thread safety: any thread. The io_context has to be stopped before the platform is destroyed.
 */
class Platform
{
    struct Private {
        explicit Private() = default;
    };

public:
    /**
     * Make a platform that serves at once.
     * @param io Context that runs it.
     * @param options How it is set up.
     * @return The platform, or an error if its port can't be bound.
     */
    static Result<std::unique_ptr<Platform>> create(boost::asio::io_context &io, PlatformOptions options);

    Platform(Private, const PlatformOptions &options);

    /** @return Where it serves, as "IP:port". */
    std::string address() const;

    /** @return The table. */
    PlatformTable &table();

    /** @return The object store. */
    ObjectStore &objects();

    /** @return The instance list. */
    LaggingList &list();

    /** @return The faults by client, to look at. */
    const ClientFaults &faults() const;

    /** Learn the failure domain of a client. */
    void placeClient(const std::string &instance, const std::string &domain);

    /** Change the faults of some clients. @return An error if the port has to be opened again and is taken. */
    Result<void> changeFaults(const ClientScope &scope, const PlatformFaultsChange &change);

    /** Clear the faults of some clients. @return An error if the port has to be opened again and is taken. */
    Result<void> clearFaults(const ClientScope &scope);

    /** Cut clients off; their present connections are silent for good. */
    Result<void> cut(const ClientScope &scope);

    /** End cuts; new connections work. */
    void heal(const ClientScope &scope);

    /** Change its speed. */
    void changeSpeed(const PlatformSpeedChange &change);

    /** @return Its speed. */
    PlatformSpeed speed() const;

    /** @return Its counts. */
    PlatformCounters counters() const;

    /** Set all counts to zero; rows and objects stay. */
    void resetCounters();

private:
    /** Whether a request is a write or a read, for rate and latency. */
    enum class Access : std::uint8_t { Write, Read };

    using Work = std::function<HttpReply()>; ///< Carries out a request at the instant of its effect.

    void serve(const HttpConnectionPtr &connection);
    bool isOut(const HttpConnectionPtr &connection);
    void dispatch(const HttpConnectionPtr &connection);
    void serveTransact(const HttpConnectionPtr &connection);
    void serveRead(const HttpConnectionPtr &connection);
    void serveObject(const HttpConnectionPtr &connection, std::string name);
    void schedule(const HttpConnectionPtr &connection, Access access, Work work);
    void answer(const HttpConnectionPtr &connection, Access access, HttpReply reply);
    void refuse(const HttpConnectionPtr &connection, unsigned status, std::string_view message);
    Result<void> applyOutage();
    bool drawLostAnswer(double probability);
    void count(std::uint64_t PlatformCounters::*counter);

    std::unique_ptr<HttpListener> listener; ///< Its port.
    PlatformTable rows; ///< The table.
    ObjectStore store; ///< The object store.
    LaggingList members; ///< The instance list.
    ClientFaults clientFaults; ///< Faults by client.
    RateLimiter writes; ///< Turns of writes.
    RateLimiter reads; ///< Turns of reads.
    mutable std::mutex mutex; ///< Guards what follows.
    PlatformSpeed pace; ///< Its speed.
    PlatformCounters counts; ///< Its counts.
    RandomEngine engine; ///< Draws lost answers.
};

} // namespace Tanagertally::Standins
