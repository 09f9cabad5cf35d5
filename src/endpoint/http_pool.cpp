#include "endpoint/http_pool.h"

#include <algorithm>
#include <iterator>

namespace Tanagertally {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr std::chrono::seconds SweepInterval{1}; ///< Interval between two checks of the idle connections.

void finishUnsent(const HttpCall &call, std::string_view reason)
{
    HttpResult result;
    result.error = reason;
    call.done(std::move(result));
}

} // namespace

std::shared_ptr<HttpPool> HttpPool::create(asio::io_context &io, asio::ip::tcp::endpoint serverAddress, HttpPoolOptions limits)
{
    return std::make_shared<HttpPool>(Passkey{}, io, std::move(serverAddress), limits);
}

HttpPool::HttpPool(Passkey, asio::io_context &io, asio::ip::tcp::endpoint serverAddress, HttpPoolOptions limits)
    : strand(asio::make_strand(io.get_executor()))
    , address(std::move(serverAddress))
    , options(limits)
    , sweepTimer(this->strand)
    , expiryTimer(this->strand)
{
}

void HttpPool::start(HttpCall call)
{
    if (this->closed) {
        finishUnsent(call, "closed");
        return;
    }
    if (call.deadline && *call.deadline <= std::chrono::steady_clock::now()) {
        finishUnsent(call, "timeout before sending");
        return;
    }
    const std::shared_ptr<HttpConnection> connection = this->acquireConnection(call);
    if (connection) {
        this->sendOn(connection, std::move(call));
        return;
    }
    this->enqueue(std::move(call));
}

void HttpPool::startOnNewConnection(HttpCall call)
{
    if (this->closed) {
        finishUnsent(call, "closed");
        return;
    }
    const auto connection = HttpConnection::create(this->strand, this->address, this->options.connection);
    auto finished = [weak = connection->weak_from_this(), done = std::move(call.done)](HttpResult result) {
        weak.lock()->abort("request finished");
        done(std::move(result));
    };
    connection->exchange(std::move(call.request), call.deadline, call.progressTime, std::move(finished));
}

void HttpPool::sendOn(const std::shared_ptr<HttpConnection> &connection, HttpCall call)
{
    this->inFlight[call.id] = connection;
    // The connection owns the handler, so the handler and the map hold only weak pointers to
    // the connection; a cycle of shared pointers would leak it.
    auto finished = [self = this->shared_from_this(), weak = connection->weak_from_this(), connectedAddress = this->address, id = call.id,
                     done = std::move(call.done)](HttpResult result) {
        self->inFlight.erase(id);
        self->returnConnection(weak.lock(), connectedAddress);
        done(std::move(result));
    };
    connection->exchange(std::move(call.request), call.deadline, call.progressTime, std::move(finished));
}

void HttpPool::returnConnection(const std::shared_ptr<HttpConnection> &connection, const asio::ip::tcp::endpoint &connectedAddress)
{
    const bool reusable = !this->closed && connectedAddress == this->address;
    if (reusable && connection->isIdle()) {
        this->idle.push_back({connection, std::chrono::steady_clock::now()});
        this->scheduleSweep();
    } else {
        connection->abort("not needed any more");
        --this->openConnections;
    }
    this->startNextWaiting();
}

void HttpPool::startNextWaiting()
{
    this->expireWaiting();
    if (this->waiting.empty()) {
        return;
    }
    const std::shared_ptr<HttpConnection> connection = this->acquireConnection(this->waiting.front());
    if (!connection) {
        return;
    }
    HttpCall call = std::move(this->waiting.front());
    this->waiting.pop_front();
    this->sendOn(connection, std::move(call));
}

std::shared_ptr<HttpConnection> HttpPool::acquireConnection(const HttpCall &call)
{
    std::shared_ptr<HttpConnection> connection = this->acquireIdle(call.maxIdle);
    if (connection) {
        return connection;
    }
    if (this->openConnections >= this->options.maxConnections && !this->idle.empty()) {
        this->idle.front().connection->abort("idle for too long");
        this->idle.erase(this->idle.begin());
        --this->openConnections;
    }
    return this->openConnections < this->options.maxConnections ? this->openConnection() : nullptr;
}

std::shared_ptr<HttpConnection> HttpPool::acquireIdle(std::optional<Duration> maxIdle)
{
    const SteadyTimePoint now = std::chrono::steady_clock::now();
    while (!this->idle.empty()) {
        const IdleConnection &latest = this->idle.back();
        if (maxIdle && now - latest.idleSince > *maxIdle) {
            return nullptr;
        }
        std::shared_ptr<HttpConnection> connection = latest.connection;
        this->idle.pop_back();
        if (connection->isUsable()) {
            return connection;
        }
        connection->abort("closed by the server");
        --this->openConnections;
    }
    return nullptr;
}

std::shared_ptr<HttpConnection> HttpPool::openConnection()
{
    ++this->openConnections;
    return HttpConnection::create(this->strand, this->address, this->options.connection);
}

void HttpPool::enqueue(HttpCall call)
{
    if (this->waiting.size() >= this->options.maxWaiting) {
        finishUnsent(call, "all connections are busy");
        return;
    }
    const bool hasDeadline = call.deadline.has_value();
    this->waiting.push_back(std::move(call));
    if (hasDeadline) {
        this->scheduleExpiry();
    }
}

void HttpPool::abort(HttpCallId id, std::string_view reason)
{
    const auto running = this->inFlight.find(id);
    if (running != this->inFlight.end()) {
        running->second.lock()->abort(reason);
        return;
    }
    const auto queued = std::find_if(this->waiting.begin(), this->waiting.end(), [id](const HttpCall &call) { return call.id == id; });
    if (queued == this->waiting.end()) {
        return;
    }
    const HttpCall call = std::move(*queued);
    this->waiting.erase(queued);
    finishUnsent(call, reason);
}

void HttpPool::setAddress(asio::ip::tcp::endpoint newAddress)
{
    if (newAddress == this->address) {
        return;
    }
    this->address = std::move(newAddress);
    this->closeIdle();
}

void HttpPool::close()
{
    this->closed = true;
    this->closeIdle();
    this->sweepTimer.cancel();
    this->expiryTimer.cancel();
    const std::deque<HttpCall> unsent = std::exchange(this->waiting, {});
    for (const HttpCall &call : unsent) {
        finishUnsent(call, "closed");
    }
}

void HttpPool::closeIdle()
{
    for (const IdleConnection &entry : this->idle) {
        entry.connection->abort("not needed any more");
        --this->openConnections;
    }
    this->idle.clear();
}

void HttpPool::sweepIdle()
{
    const SteadyTimePoint now = std::chrono::steady_clock::now();
    std::erase_if(this->idle, [this, now](const IdleConnection &entry) {
        if (now - entry.idleSince <= this->options.idleTimeout && entry.connection->isUsable()) {
            return false;
        }
        entry.connection->abort("idle for too long");
        --this->openConnections;
        return true;
    });
    this->scheduleSweep();
}

void HttpPool::scheduleSweep()
{
    if (this->sweepScheduled || this->idle.empty() || this->closed) {
        return;
    }
    this->sweepScheduled = true;
    this->sweepTimer.expires_after(SweepInterval);
    this->sweepTimer.async_wait([self = this->shared_from_this()](const error_code &error) {
        self->sweepScheduled = false;
        if (!error) {
            self->sweepIdle();
        }
    });
}

void HttpPool::expireWaiting()
{
    if (this->waiting.empty()) {
        return;
    }
    const SteadyTimePoint now = std::chrono::steady_clock::now();
    const auto isInTime = [now](const HttpCall &call) { return !call.deadline || *call.deadline > now; };
    const auto firstExpired = std::stable_partition(this->waiting.begin(), this->waiting.end(), isInTime);
    std::vector<HttpCall> expired(std::make_move_iterator(firstExpired), std::make_move_iterator(this->waiting.end()));
    this->waiting.erase(firstExpired, this->waiting.end());
    this->scheduleExpiry();
    for (const HttpCall &call : expired) {
        finishUnsent(call, "timeout while waiting for a connection");
    }
}

void HttpPool::scheduleExpiry()
{
    std::optional<SteadyTimePoint> earliest;
    for (const HttpCall &call : this->waiting) {
        if (call.deadline && (!earliest || *call.deadline < *earliest)) {
            earliest = call.deadline;
        }
    }
    if (!earliest) {
        return;
    }
    this->expiryTimer.expires_at(*earliest);
    this->expiryTimer.async_wait([self = this->shared_from_this()](const error_code &error) {
        if (!error) {
            self->expireWaiting();
        }
    });
}

} // namespace Tanagertally
