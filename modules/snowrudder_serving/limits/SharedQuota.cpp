#include "SharedQuota.h"

#include <algorithm>
#include <cmath>

namespace snowrudder
{

namespace
{

using Seconds = std::chrono::duration<double>;

/** Of the tokens by which all nodes may go over the limit, the part that is given out as more burst. The rest covers what
    is admitted between two reports.
*/
constexpr auto slackGivenOut = 0.4;

/** Of the burst, what a node that has just started takes for left: others may have used the rest, and nodes that were all
    killed together must not hand it out anew.
*/
constexpr auto startShare = 0.15;

/** A bucket is nearly full above this part of its burst. */
constexpr auto tightShare = 0.7;

/** What a refused caller's request needs of the bucket, at most: it is admitted as soon as the bucket is not empty. */
constexpr auto leastLevel = 1.0;

} // namespace

auto SharedQuota::admit (const RoutedAccount& account,
                         double tokens,
                         const QuotaBounds& bounds,
                         TimePoint now) -> Admission
{
    auto& state = accounts[account.name];

    if (account.tokensPerSecond > 0.0)
    {
        auto& bucket = state.bucket;
        const auto burst = (account.burstTokens + slackGivenOut * bounds.slack) * bounds.share;

        if (bucket.filled == TimePoint())
            bucket = { 0.0, burst, bucket.level + startShare * burst, now };

        bucket.burst = burst;
        bucket.rate = account.tokensPerSecond * bounds.share;
        refill (bucket, now);
        bucket.level = std::min (bucket.level, burst);

        // The last request may be larger than what is left; the bucket makes up for it.
        if (bucket.level < leastLevel)
            return { false, timeUntil (bucket, leastLevel) };

        bucket.level -= tokens;
    }

    state.total += tokens;
    state.recent = recentNow (state, now) + tokens;
    state.recentAt = now;
    return { true, {} };
}

auto SharedQuota::charge (const std::map<std::string, double, std::less<>>& tokens) -> void
{
    for (const auto& [account, amount] : tokens)
        accounts[account].bucket.level -= amount;
}

auto SharedQuota::isTight (TimePoint now) const -> bool
{
    return std::ranges::any_of (accounts,
                                [now] (const auto& entry)
                                {
                                    auto bucket = entry.second.bucket;
                                    refill (bucket, now);
                                    return bucket.rate > 0.0 && bucket.level < tightShare * bucket.burst;
                                });
}

auto SharedQuota::admitted (TimePoint now) const -> AdmittedByAccount
{
    AdmittedByAccount all;

    for (const auto& [account, state] : accounts)
        all[account] = { state.total, recentNow (state, now) / Seconds (rateTime).count() };

    return all;
}

auto SharedQuota::recentNow (const State& state, TimePoint now) -> double
{
    return state.recent * std::exp (-Seconds (now - state.recentAt) / Seconds (rateTime));
}

} // namespace snowrudder
