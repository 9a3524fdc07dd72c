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
constexpr auto slackGivenOut = 0.2;

/** Of the burst, what a node that has just started takes for left: others may have used the rest, and nodes that were all
    killed together must not hand it out anew.
*/
constexpr auto startShare = 0.1;

/** A bucket is nearly full above this part of its burst. */
constexpr auto tightShare = 0.7;

/** What a refused caller's request needs of the bucket, at most: it is admitted as soon as the bucket is not empty. */
constexpr auto leastLevel = 1.0;

/** Rations add up to this part of the rate when the bucket is empty and when it holds its reserve: what it holds then
    comes to rest between the two.
*/
constexpr auto leastFilling = 0.5;
constexpr auto mostFilling = 1.5;

/** A ration that is not used is saved up for this long. */
constexpr auto rationTime = 250ms;

/** A ration that was not needed for so long begins anew. */
constexpr auto rationMemory = 2s;

} // namespace

auto SharedQuota::FadingSum::add (double more, TimePoint now) -> void
{
    tokens = perSecond (now) * Seconds (rateTime).count() + more;
    at = now;
}

auto SharedQuota::FadingSum::perSecond (TimePoint now) const -> double
{
    return tokens * std::exp (-Seconds (now - at) / Seconds (rateTime)) / Seconds (rateTime).count();
}

auto SharedQuota::admit (const RoutedAccount& account,
                         double tokens,
                         const QuotaBounds& bounds,
                         TimePoint now) -> Admission
{
    auto& state = accounts[account.name];
    state.asked.add (tokens, now);

    if (account.tokensPerSecond > 0.0)
    {
        if (bounds.unsettled > Duration::zero())
            return { false, bounds.unsettled };

        refillBucket (state, account, bounds, now);

        // The last request may be larger than what is left; the bucket makes up for it.
        if (state.bucket.level < leastLevel)
            return { false, timeUntil (state.bucket, leastLevel) };

        const auto allAsked = state.asked.perSecond (now) + state.othersAskedPerSecond;
        const auto reserve = allAsked * Seconds (bounds.reportDelay).count();

        if (state.bucket.level < reserve)
        {
            refillRation (state, bounds, tokens, reserve, now);

            if (state.ration.level < leastLevel)
                return { false, timeUntil (state.ration, leastLevel) };

            state.ration.level -= tokens;
        }

        state.bucket.level -= tokens;
    }

    state.total += tokens;
    state.admitted.add (tokens, now);
    return { true, {} };
}

auto SharedQuota::refillBucket (State& state,
                                const RoutedAccount& account,
                                const QuotaBounds& bounds,
                                TimePoint now) -> void
{
    auto& bucket = state.bucket;
    const auto burst = (account.burstTokens + slackGivenOut * bounds.slack) * bounds.share;

    if (bucket.filled == TimePoint())
        bucket.filled = bounds.knownSince.value_or (now);

    // What was charged before the first request here left a debt, which has been filled up since.
    if (! state.isBegun)
        bucket.level += startShare * burst;

    state.isBegun = true;
    bucket.burst = burst;
    bucket.rate = account.tokensPerSecond * bounds.share;
    refill (bucket, now);
    bucket.level = std::min (bucket.level, burst);
}

auto SharedQuota::refillRation (
    State& state, const QuotaBounds& bounds, double tokens, double reserve, TimePoint now) -> void
{
    auto& ration = state.ration;
    const auto asked = state.asked.perSecond (now);

    // A node that can't hear the others has its even part of the rate already.
    const auto part = bounds.share < 1.0 ? 1.0 : asked / (asked + state.othersAskedPerSecond);
    const auto filling = leastFilling + (mostFilling - leastFilling) * state.bucket.level / reserve;
    ration.rate = state.bucket.rate * part * filling;
    ration.burst = std::max (leastLevel, ration.rate * Seconds (rationTime).count());

    // Nodes whose rations all began full would each admit a request at the same moment.
    if (now - ration.filled > rationMemory)
    {
        ration.level = (std::min (1.0, ration.rate / asked) - bounds.draw) * tokens;
        ration.filled = now;
    }

    refill (ration, now);
    ration.level = std::min (ration.level, ration.burst);
}

auto SharedQuota::charge (const AccountAmounts& tokens, TimePoint now) -> void
{
    for (const auto& [account, amount] : tokens)
    {
        auto& bucket = accounts[account].bucket;
        bucket.level -= amount;

        if (bucket.filled == TimePoint())
            bucket.filled = now;
    }
}

auto SharedQuota::adopt (const AdmittedByAccount& others, TimePoint now) -> void
{
    for (const auto& [account, use] : others)
    {
        if (! use.level)
            continue;

        auto& state = accounts[account];
        state.isBegun = true;
        state.bucket.level = *use.level;
        state.bucket.filled = now;
    }
}

auto SharedQuota::noteOthersAsked (const AccountAmounts& asked) -> void
{
    for (auto& [account, state] : accounts)
        state.othersAskedPerSecond = 0.0;

    for (const auto& [account, amount] : asked)
        accounts[account].othersAskedPerSecond = amount;
}

auto SharedQuota::isTight (TimePoint now) const -> bool
{
    return std::ranges::any_of (accounts,
                                [now] (const auto& entry)
                                {
                                    const auto& bucket = entry.second.bucket;
                                    return bucket.rate > 0.0 &&
                                           levelAt (bucket, now) < tightShare * bucket.burst;
                                });
}

auto SharedQuota::admitted (TimePoint now) const -> AdmittedByAccount
{
    AdmittedByAccount all;

    for (const auto& [account, state] : accounts)
    {
        auto& use = all[account];
        use = { state.total, state.admitted.perSecond (now), state.asked.perSecond (now), std::nullopt };

        if (state.isBegun)
            use.level = levelAt (state.bucket, now);
    }

    return all;
}

} // namespace snowrudder
