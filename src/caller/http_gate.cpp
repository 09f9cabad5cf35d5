#include "caller/http_gate.h"

#include <algorithm>

namespace Tanagertally {

namespace {

constexpr std::size_t MaxRefusedConnections = 64; ///< Connections over the limit that are open at once to be told so.
constexpr std::size_t MaxBuckets = 10'000; ///< Remote addresses whose rate is remembered before full buckets are dropped.

} // namespace

HttpGate::Place::Place(std::shared_ptr<HttpGate> countingGate, boost::asio::ip::address remoteAddress)
    : gate(std::move(countingGate))
    , remote(std::move(remoteAddress))
{
}

HttpGate::Place::~Place()
{
    if (this->gate) {
        this->gate->release(this->remote);
    }
}

HttpGate::HttpGate(const HttpLimits &listenerLimits)
    : limits(listenerLimits)
{
}

std::optional<HttpGate::Admission> HttpGate::admitConnection(const boost::asio::ip::address &remote)
{
    std::optional<HttpRefusal> refusal;
    {
        const std::lock_guard lock(this->mutex);
        if (this->connections >= this->limits.maxConnections + MaxRefusedConnections) {
            return std::nullopt;
        }
        std::size_t &fromAddress = this->connectionsByAddress[remote];
        if (this->connections >= this->limits.maxConnections) {
            refusal = HttpRefusal::TooManyConnections;
        } else if (fromAddress >= this->limits.maxConnectionsPerAddress) {
            refusal = HttpRefusal::TooManyConnectionsFromAddress;
        }
        ++this->connections;
        ++fromAddress;
    }
    return Admission{Place(this->shared_from_this(), remote), refusal};
}

bool HttpGate::admitRequest(const boost::asio::ip::address &remote, std::chrono::steady_clock::time_point now)
{
    if (this->limits.maxRequestRatePerAddress <= 0) {
        return true;
    }
    const std::lock_guard lock(this->mutex);
    if (this->buckets.size() >= MaxBuckets) {
        this->dropFullBuckets(now);
    }
    auto [found, isNew] = this->buckets.try_emplace(remote, Bucket{this->limits.requestBurstPerAddress, now});
    Bucket &bucket = found->second;
    const std::chrono::duration<double> elapsed = now - bucket.filled;
    const double refill = std::max(0.0, elapsed.count()) * this->limits.maxRequestRatePerAddress;
    bucket.tokens = std::min(this->limits.requestBurstPerAddress, bucket.tokens + refill);
    bucket.filled = std::max(bucket.filled, now);
    if (bucket.tokens < 1) {
        return false;
    }
    bucket.tokens -= 1;
    return true;
}

void HttpGate::release(const boost::asio::ip::address &remote)
{
    const std::lock_guard lock(this->mutex);
    --this->connections;
    const auto found = this->connectionsByAddress.find(remote);
    if (--found->second == 0) {
        this->connectionsByAddress.erase(found);
    }
}

void HttpGate::dropFullBuckets(std::chrono::steady_clock::time_point now)
{
    const double timeToFill = this->limits.requestBurstPerAddress / this->limits.maxRequestRatePerAddress;
    std::erase_if(this->buckets, [&](const auto &entry) {
        const std::chrono::duration<double> elapsed = now - entry.second.filled;
        return elapsed.count() >= timeToFill;
    });
}

} // namespace Tanagertally
