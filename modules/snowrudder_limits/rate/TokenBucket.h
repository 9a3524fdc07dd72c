#pragma once

#include "snowrudder_core/snowrudder_core.h"

#include <algorithm>

namespace snowrudder
{

/** A rate with a burst: a bucket that fills evenly and from which is taken. */
struct TokenBucket
{
    /** Filled a second. */
    double rate = 0.0;
    /** Most that it holds. */
    double burst = 0.0;
    double level = 0.0;
    TimePoint refilledAt {};
};

/** Fills a bucket up to now. */
inline auto refill (TokenBucket& bucket, TimePoint now) -> void
{
    const auto passed = std::chrono::duration<double> (now - bucket.refilledAt).count();

    if (passed <= 0.0)
        return;

    bucket.level = std::min (bucket.burst, bucket.level + passed * bucket.rate);
    bucket.refilledAt = now;
}

/** @returns what a bucket holds, or will hold, at a time. */
inline auto levelAt (TokenBucket bucket, TimePoint time) -> double
{
    refill (bucket, time);
    return bucket.level;
}

/** Takes an amount if it is there.

    @returns whether it was
*/
inline auto take (TokenBucket& bucket, double amount, TimePoint now) -> bool
{
    refill (bucket, now);

    if (bucket.level < amount)
        return false;

    bucket.level -= amount;
    return true;
}

/** @returns how long until an amount will be there, as the bucket stands. */
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
