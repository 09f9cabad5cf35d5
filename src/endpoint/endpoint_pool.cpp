#include "endpoint/endpoint_pool.h"

#include "endpoint/endpoint_codec.h"
#include "endpoint/http_pool.h"
#include "endpoint/net_address_func.h"

#include <boost/asio/post.hpp>

#include <mutex>
#include <unordered_map>

namespace Tanagertally {

namespace asio = boost::asio;

namespace {

/** Maps each unfinished attempt to the pool that runs it. Thread safety: all methods may be called from any thread. */
class AttemptDirectory
{
public:
    void add(AttemptId attempt, std::shared_ptr<HttpPool> pool)
    {
        const std::lock_guard lock(this->mutex);
        this->pools[attempt] = std::move(pool);
    }
    void remove(AttemptId attempt)
    {
        const std::lock_guard lock(this->mutex);
        this->pools.erase(attempt);
    }
    /** @return The pool, or null if the attempt has ended. */
    std::shared_ptr<HttpPool> find(AttemptId attempt) const
    {
        const std::lock_guard lock(this->mutex);
        const auto found = this->pools.find(attempt);
        return found == this->pools.end() ? nullptr : found->second;
    }

private:
    mutable std::mutex mutex; ///< Guards `pools`.
    std::unordered_map<AttemptId, std::shared_ptr<HttpPool>> pools; ///< Pool of each unfinished attempt.
};

/** Address and connection pool of an endpoint. */
struct EndpointEntry {
    NetAddress address; ///< Address of its HTTP server, also the value of the Host header.
    std::shared_ptr<HttpPool> pool; ///< Connections to the endpoint.
};

HttpPoolOptions toPoolOptions(const EndpointPoolOptions &options)
{
    HttpPoolOptions poolOptions;
    poolOptions.connection.connectTimeout = options.connectTimeout;
    poolOptions.connection.maxAnswerBytes = options.maxAnswerBytes;
    poolOptions.maxConnections = options.maxConnectionsPerEndpoint;
    poolOptions.maxWaiting = options.maxWaitingPerEndpoint;
    poolOptions.idleTimeout = options.idleTimeout;
    return poolOptions;
}

} // namespace

/** Implementation of EndpointPool. Thread safety: as EndpointPool; finishAttempt() and finishProbe() may be called from any thread. */
class EndpointPool::Impl : public std::enable_shared_from_this<EndpointPool::Impl>
{
public:
    Impl(asio::io_context &ioContext, EventQueue &eventQueue, EndpointPoolOptions limits);
    void add(const AddEndpoint &action);
    void remove(EndpointId endpoint);
    void start(StartAttempt action);
    void abandon(AttemptId attempt);
    void probe(const ProbeEndpoint &action);
    void close();

private:
    const EndpointEntry *find(EndpointId endpoint) const;
    void finishAttempt(AttemptId attempt, HttpResult result);
    void finishProbe(ProbeId probe, const HttpResult &result);

    asio::io_context &io; ///< Runs the connections.
    EventQueue &events; ///< Receives AttemptEnded and ProbeEnded.
    EndpointPoolOptions options; ///< Limits and timeouts.
    std::unordered_map<EndpointId, EndpointEntry> endpoints; ///< Endpoints by identifier; accessed by the control thread only.
    AttemptDirectory directory; ///< Pools of unfinished attempts.
};

EndpointPool::Impl::Impl(asio::io_context &ioContext, EventQueue &eventQueue, EndpointPoolOptions limits)
    : io(ioContext)
    , events(eventQueue)
    , options(limits)
{
}

const EndpointEntry *EndpointPool::Impl::find(EndpointId endpoint) const
{
    const auto found = this->endpoints.find(endpoint);
    const bool usable = found != this->endpoints.end() && found->second.pool;
    return usable ? &found->second : nullptr;
}

void EndpointPool::Impl::add(const AddEndpoint &action)
{
    const auto address = toSocketAddress(action.address);
    if (!address) {
        this->remove(action.endpoint);
        return;
    }
    EndpointEntry &entry = this->endpoints[action.endpoint];
    entry.address = action.address;
    if (!entry.pool) {
        entry.pool = HttpPool::create(this->io, address.value(), toPoolOptions(this->options));
        return;
    }
    asio::post(entry.pool->executor(), [pool = entry.pool, address = address.value()] { pool->setAddress(address); });
}

void EndpointPool::Impl::remove(EndpointId endpoint)
{
    const EndpointEntry *entry = this->find(endpoint);
    if (entry) {
        asio::post(entry->pool->executor(), [pool = entry->pool] { pool->close(); });
    }
    this->endpoints.erase(endpoint);
}

void EndpointPool::Impl::start(StartAttempt action)
{
    const EndpointEntry *entry = this->find(action.endpoint);
    if (!entry) {
        HttpResult result;
        result.error = "unknown endpoint";
        this->finishAttempt(action.attempt, std::move(result));
        return;
    }
    this->directory.add(action.attempt, entry->pool);
    auto startCall
        = [self = this->shared_from_this(), pool = entry->pool, host = entry->address.value, action = std::move(action)]() mutable {
              HttpCall call;
              call.id = HttpCallId(action.attempt.value);
              call.request = makeRunRequest(action, host);
              call.maxIdle = action.maxConnectionIdle;
              call.done = [self, attempt = action.attempt](HttpResult result) { self->finishAttempt(attempt, std::move(result)); };
              pool->start(std::move(call));
          };
    asio::post(entry->pool->executor(), std::move(startCall));
}

void EndpointPool::Impl::abandon(AttemptId attempt)
{
    const std::shared_ptr<HttpPool> pool = this->directory.find(attempt);
    if (!pool) {
        return;
    }
    asio::post(pool->executor(), [pool, id = HttpCallId(attempt.value)] { pool->abort(id, "abandoned"); });
}

void EndpointPool::Impl::probe(const ProbeEndpoint &action)
{
    const EndpointEntry *entry = this->find(action.endpoint);
    if (!entry) {
        this->finishProbe(action.probe, {});
        return;
    }
    HttpCall call;
    call.request = makeHealthRequest(entry->address.value);
    call.deadline = std::chrono::steady_clock::now() + action.timeout;
    call.done = [self = this->shared_from_this(), probe = action.probe](const HttpResult &result) { self->finishProbe(probe, result); };
    asio::post(entry->pool->executor(),
               [pool = entry->pool, call = std::move(call)]() mutable { pool->startOnNewConnection(std::move(call)); });
}

void EndpointPool::Impl::close()
{
    for (const auto &[id, entry] : this->endpoints) {
        asio::post(entry.pool->executor(), [pool = entry.pool] { pool->close(); });
    }
    this->endpoints.clear();
}

void EndpointPool::Impl::finishAttempt(AttemptId attempt, HttpResult result)
{
    this->directory.remove(attempt);
    this->events.push(toAttemptEnded(attempt, std::move(result)));
}

void EndpointPool::Impl::finishProbe(ProbeId probe, const HttpResult &result)
{
    this->events.push(toProbeEnded(probe, result));
}

Result<std::unique_ptr<EndpointPool>> EndpointPool::create(asio::io_context &io, EventQueue &events, EndpointPoolOptions options)
{
    if (options.maxConnectionsPerEndpoint == 0) {
        return makeError(ErrorCode::BadInput, "expected at least one connection", "maxConnectionsPerEndpoint");
    }
    if (options.connectTimeout <= Duration::zero()) {
        return makeError(ErrorCode::BadInput, "expected a positive time", "connectTimeout");
    }
    return std::unique_ptr<EndpointPool>(new EndpointPool(std::make_shared<Impl>(io, events, options)));
}

EndpointPool::EndpointPool(std::shared_ptr<Impl> implementation)
    : impl(std::move(implementation))
{
}

EndpointPool::~EndpointPool()
{
    this->close();
}

void EndpointPool::execute(const AddEndpoint &action)
{
    this->impl->add(action);
}

void EndpointPool::execute(const RemoveEndpoint &action)
{
    this->impl->remove(action.endpoint);
}

void EndpointPool::execute(StartAttempt action)
{
    this->impl->start(std::move(action));
}

void EndpointPool::execute(const AbandonAttempt &action)
{
    this->impl->abandon(action.attempt);
}

void EndpointPool::execute(const ProbeEndpoint &action)
{
    this->impl->probe(action);
}

void EndpointPool::close()
{
    this->impl->close();
}

} // namespace Tanagertally
