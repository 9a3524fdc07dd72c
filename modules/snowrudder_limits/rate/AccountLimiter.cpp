#include "AccountLimiter.h"

#include <cmath>

namespace snowrudder
{

auto AccountLimiter::admit (std::string_view account,
                            const AccountLimits& limits,
                            double share,
                            TimePoint now) -> Admission
{
    const std::lock_guard lock (mutex);
    auto found = accounts.find (account);

    if (found == accounts.end())
        found = accounts.emplace (account, State()).first;

    auto& state = found->second;
    const auto rate = limits.requestsPerSecond * share;
    const auto burst = std::max (1.0, rate * burstTime);
    const auto isNew = state.bucket.refilledAt == TimePoint();

    if (isNew)
        state.bucket = { rate, burst, burst, now };

    refill (state.bucket, now);
    state.bucket.rate = rate;
    state.bucket.burst = burst;

    const auto maxOpen = std::max (1.0, std::ceil (limits.concurrentRequests * share));

    if (limits.concurrentRequests == 0 || state.open >= maxOpen)
        return { false, 1s };

    if (! take (state.bucket, 1.0, now))
        return { false, timeUntil (state.bucket, 1.0) };

    ++state.open;
    return { true, {} };
}

auto AccountLimiter::leave (std::string_view account) -> void
{
    const std::lock_guard lock (mutex);
    const auto found = accounts.find (account);

    requireInvariant (found != accounts.end() && found->second.open > 0,
                      "each admitted request is released once");
    --found->second.open;
}

} // namespace snowrudder
