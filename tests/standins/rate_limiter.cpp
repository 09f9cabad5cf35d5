#include "rate_limiter.h"

#include <algorithm>

namespace Tanagertally::Standins {

RateLimiter::RateLimiter(double requestRate, Duration longestWait)
    : rate(requestRate)
    , maxWait(longestWait)
{
}

void RateLimiter::setRate(double requestRate)
{
    const std::lock_guard lock(this->mutex);
    this->rate = requestRate;
}

std::optional<Duration> RateLimiter::reserve(TimePoint now)
{
    const std::lock_guard lock(this->mutex);
    if (this->rate <= 0.0) {
        return Duration::zero();
    }
    const TimePoint turn = std::max(now, this->next);
    const Duration wait = turn - now;
    if (wait > this->maxWait) {
        return std::nullopt;
    }
    this->next = turn + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1.0 / this->rate));
    return wait;
}

} // namespace Tanagertally::Standins
