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
    auto place = accounts.find (account);

    if (place == accounts.end())
        place = accounts.emplace (account, State()).first;

    auto& state = place->second;
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
    const auto place = accounts.find (account);

    requireInvariant (place != accounts.end() && place->second.open > 0, "each admitted request leaves once");
    --place->second.open;
}

} // namespace snowrudder
