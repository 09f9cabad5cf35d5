/** A budget that bounds extra attempts to a share of the first attempts. */
#pragma once

#include "core/time_type.h"

#include <algorithm>

namespace Tanagertally {

/**
 * Token bucket fed by first attempts and, slowly, by time.
 * Thread safety: none.
 */
class TokenBudget
{
public:
    /** @param burst Tokens at the start and at most. */
    explicit TokenBudget(double burst)
        : capacity(burst)
        , tokens(burst)
    {
    }

    /** Count a first attempt. @param share Tokens that it earns. */
    void earn(double share)
    {
        this->tokens = std::min(this->capacity, this->tokens + share);
    }

    /** Earn by time. @param now Present time. @param perSecond Tokens per second. */
    void refill(TimePoint now, double perSecond)
    {
        this->earn(std::chrono::duration<double>(now - this->refilledAt).count() * perSecond);
        this->refilledAt = now;
    }

    /** @return Whether a token was there; it is spent. */
    bool trySpend()
    {
        if (this->tokens < 1.0) {
            return false;
        }
        this->tokens -= 1.0;
        return true;
    }

private:
    double capacity; ///< Most tokens.
    double tokens; ///< Tokens left.
    TimePoint refilledAt{}; ///< Time of the last refill.
};

} // namespace Tanagertally
