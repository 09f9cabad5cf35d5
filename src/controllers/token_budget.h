/** A budget that limits extra attempts to a share of the first attempts. */
#pragma once

#include "core/time_type.h"

#include <algorithm>

namespace Tanagertally {

/**
 * Token bucket that is refilled by first attempts and, at a low rate, by time.
 * Thread safety: none.
 */
class TokenBudget
{
public:
    /** @param burst Capacity of the bucket, which starts full. */
    explicit TokenBudget(double burst)
        : capacity(burst)
        , tokens(burst)
    {
    }

    /** Adds tokens for a first attempt. @param share Number of tokens to add. */
    void earn(double share)
    {
        this->tokens = std::min(this->capacity, this->tokens + share);
    }

    /** Adds tokens for the time since the last refill. @param now Current time. @param perSecond Tokens per second. */
    void refill(TimePoint now, double perSecond)
    {
        this->earn(std::chrono::duration<double>(now - this->refilledAt).count() * perSecond);
        this->refilledAt = now;
    }

    /** Takes one token if there is one. @return Whether a token was taken. */
    bool trySpend()
    {
        if (this->tokens < 1.0) {
            return false;
        }
        this->tokens -= 1.0;
        return true;
    }

private:
    double capacity; ///< Maximum number of tokens.
    double tokens; ///< Tokens left.
    TimePoint refilledAt{}; ///< Time of the last refill.
};

} // namespace Tanagertally
