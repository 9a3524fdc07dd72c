#pragma once

#include "snowrudder_core/snowrudder_core.h"

#include <algorithm>

namespace snowrudder
{

/** A token bucket, which limits a rate and allows bursts. */
struct TokenBucket
{
    /** Tokens added per second. */
    double rate = 0.0;
    /** Capacity in tokens. */
    double burst = 0.0;
    double level = 0.0;
    TimePoint refilledAt {};
};

/** Adds the tokens that have accrued since the last refill. */
inline auto refill (TokenBucket& bucket, TimePoint now) -> void
{
    const auto passed = std::chrono::duration<double> (now - bucket.refilledAt).count();

    if (passed <= 0.0)
        return;

    bucket.level = std::min (bucket.burst, bucket.level + passed * bucket.rate);
    bucket.refilledAt = now;
}

/** @returns a bucket's level at a time, which may be in the future. */
inline auto levelAt (TokenBucket bucket, TimePoint time) -> double
{
    refill (bucket, time);
    return bucket.level;
}

/** Takes an amount of tokens if the bucket holds that many.

    @returns whether they were taken
*/
inline auto take (TokenBucket& bucket, double amount, TimePoint now) -> bool
{
    refill (bucket, now);

    if (bucket.level < amount)
        return false;

    bucket.level -= amount;
    return true;
}

/** @returns the time until a bucket holds an amount of tokens if none are taken, but an hour if it never does as its
    rate is 0.
*/
inline auto timeUntil (const TokenBucket& bucket, double amount) -> Duration
{
    constexpr auto never = std::chrono::hours (1);

    if (bucket.level >= amount)
        return Duration::zero();

    if (bucket.rate <= 0.0)
        return never;

    const auto seconds = std::chrono::duration<double> ((amount - bucket.level) / bucket.rate);
    return std::chrono::duration_cast<Duration> (seconds);
}

} // namespace snowrudder
