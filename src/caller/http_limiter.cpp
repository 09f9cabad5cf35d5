#include "caller/http_limiter.h"

#include <algorithm>

namespace Tanagertally {

namespace {

constexpr std::size_t MaxBuckets = 10'000; ///< Number of buckets from which full ones are dropped, to bound memory.

} // namespace

HttpLimiter::Permit::Permit(std::shared_ptr<HttpLimiter> countingLimiter, boost::asio::ip::address remoteAddress)
    : limiter(std::move(countingLimiter))
    , remote(std::move(remoteAddress))
{
}

HttpLimiter::Permit::~Permit()
{
    if (this->limiter) {
        this->limiter->releaseConnection(this->remote);
    }
}

HttpLimiter::HttpLimiter(const HttpLimits &listenerLimits)
    : limits(listenerLimits)
{
}

std::optional<HttpLimiter::Admission> HttpLimiter::admitConnection(const boost::asio::ip::address &remote)
{
    std::optional<HttpRefusal> refusal;
    {
        const std::lock_guard lock(this->mutex);
        if (this->connections >= this->limits.maxConnections + this->limits.maxRefusedConnections) {
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
    return Admission{Permit(this->shared_from_this(), remote), refusal};
}

bool HttpLimiter::admitRequest(const boost::asio::ip::address &remote, std::chrono::steady_clock::time_point now)
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
    const std::chrono::duration<double> elapsed = now - bucket.filledAt;
    const double refill = std::max(0.0, elapsed.count()) * this->limits.maxRequestRatePerAddress;
    bucket.tokens = std::min(this->limits.requestBurstPerAddress, bucket.tokens + refill);
    bucket.filledAt = std::max(bucket.filledAt, now);
    if (bucket.tokens < 1) {
        return false;
    }
    bucket.tokens -= 1;
    return true;
}

void HttpLimiter::releaseConnection(const boost::asio::ip::address &remote)
{
    const std::lock_guard lock(this->mutex);
    --this->connections;
    const auto found = this->connectionsByAddress.find(remote);
    if (--found->second == 0) {
        this->connectionsByAddress.erase(found);
    }
}

void HttpLimiter::dropFullBuckets(std::chrono::steady_clock::time_point now)
{
    const double timeToFill = this->limits.requestBurstPerAddress / this->limits.maxRequestRatePerAddress;
    std::erase_if(this->buckets, [&](const auto &entry) {
        const std::chrono::duration<double> elapsed = now - entry.second.filledAt;
        return elapsed.count() >= timeToFill;
    });
}

} // namespace Tanagertally
