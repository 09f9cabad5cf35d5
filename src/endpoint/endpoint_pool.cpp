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

/** Which pool each unfinished attempt runs in. Thread safety: all methods may be called from any thread. */
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

/** An endpoint as this adapter knows it. */
struct KnownEndpoint {
    NetAddress address; ///< Where it serves.
    std::shared_ptr<HttpPool> pool; ///< Its connections; null if its address can't be parsed.
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

/** Everything behind the pool. Thread safety: as EndpointPool; finishAttempt() and finishProbe() from any thread. */
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
    const KnownEndpoint *find(EndpointId endpoint) const;
    void finishAttempt(AttemptId attempt, HttpResult result);
    void finishProbe(ProbeId probe, const HttpResult &result);

    asio::io_context &io; ///< Runs the connections.
    EventQueue &events; ///< Takes the events.
    EndpointPoolOptions options; ///< Limits.
    std::unordered_map<EndpointId, KnownEndpoint> endpoints; ///< All endpoints; the control thread owns it.
    AttemptDirectory directory; ///< Finds the pool of an attempt.
};

EndpointPool::Impl::Impl(asio::io_context &ioContext, EventQueue &eventQueue, EndpointPoolOptions limits)
    : io(ioContext)
    , events(eventQueue)
    , options(limits)
{
}

const KnownEndpoint *EndpointPool::Impl::find(EndpointId endpoint) const
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
    KnownEndpoint &known = this->endpoints[action.endpoint];
    known.address = action.address;
    if (!known.pool) {
        known.pool = HttpPool::create(this->io, address.value(), toPoolOptions(this->options));
        return;
    }
    asio::post(known.pool->executor(), [pool = known.pool, address = address.value()] { pool->setAddress(address); });
}

void EndpointPool::Impl::remove(EndpointId endpoint)
{
    const KnownEndpoint *known = this->find(endpoint);
    if (known) {
        asio::post(known->pool->executor(), [pool = known->pool] { pool->close(); });
    }
    this->endpoints.erase(endpoint);
}

void EndpointPool::Impl::start(StartAttempt action)
{
    const KnownEndpoint *known = this->find(action.endpoint);
    if (!known) {
        HttpResult result;
        result.error = "unknown endpoint";
        this->finishAttempt(action.attempt, std::move(result));
        return;
    }
    this->directory.add(action.attempt, known->pool);
    auto work = [self = this->shared_from_this(), pool = known->pool, host = known->address.value, action = std::move(action)]() mutable {
        HttpCall call;
        call.id = HttpCallId(action.attempt.value);
        call.request = makeRunRequest(action, host);
        call.maxIdle = action.maxIdle;
        call.done = [self, attempt = action.attempt](HttpResult result) { self->finishAttempt(attempt, std::move(result)); };
        pool->start(std::move(call));
    };
    asio::post(known->pool->executor(), std::move(work));
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
    const KnownEndpoint *known = this->find(action.endpoint);
    if (!known) {
        this->finishProbe(action.probe, {});
        return;
    }
    HttpCall call;
    call.request = makeHealthRequest(known->address.value);
    call.deadline = std::chrono::steady_clock::now() + action.timeout;
    call.done = [self = this->shared_from_this(), probe = action.probe](const HttpResult &result) { self->finishProbe(probe, result); };
    asio::post(known->pool->executor(), [pool = known->pool, call = std::move(call)]() mutable { pool->startAlone(std::move(call)); });
}

void EndpointPool::Impl::close()
{
    for (const auto &[id, known] : this->endpoints) {
        asio::post(known.pool->executor(), [pool = known.pool] { pool->close(); });
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

void EndpointPool::carryOut(const AddEndpoint &action)
{
    this->impl->add(action);
}

void EndpointPool::carryOut(const RemoveEndpoint &action)
{
    this->impl->remove(action.endpoint);
}

void EndpointPool::carryOut(StartAttempt action)
{
    this->impl->start(std::move(action));
}

void EndpointPool::carryOut(const AbandonAttempt &action)
{
    this->impl->abandon(action.attempt);
}

void EndpointPool::carryOut(const ProbeEndpoint &action)
{
    this->impl->probe(action);
}

void EndpointPool::close()
{
    this->impl->close();
}

} // namespace Tanagertally
