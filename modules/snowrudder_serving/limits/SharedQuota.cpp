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
constexpr auto startShare = 0.08;

/** Of what all nodes may go over a limit in a window, the part that is handed out when they start anew: two starts within one
    window stay within it.
*/
constexpr auto startShareOfTolerance = 0.25;

/** So much of an account's rate is handed out at most while nodes that start don't know each other: the more nodes there are,
    the later each learns what the others admitted in that time.
*/
constexpr auto unsettledPart = 300ms;

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

/** A ration, or an even part, that was not needed for so long begins anew. */
constexpr auto partMemory = 2s;

/** @returns what all nodes together may hold of an account's burst. */
auto burstOf (const RoutedAccount& account, const QuotaBounds& bounds) -> double
{
    return account.burstTokens + slackGivenOut * bounds.tolerance.slack;
}

/** @returns what is taken for left in an account's bucket when nobody knows. */
auto startLevelOf (const RoutedAccount& account, const QuotaBounds& bounds) -> double
{
    const auto inWindow =
        account.tokensPerSecond * Seconds (bounds.tolerance.window).count() + account.burstTokens;
    const auto level = startShare * burstOf (account, bounds) +
                       startShareOfTolerance * bounds.tolerance.overshoot * inWindow;
    return std::min (level, burstOf (account, bounds));
}

/** @returns after how long a refused caller may come back: when the account's whole limit has made up for what is missing here,
    later where all nodes are asked for more than the limit. Another node takes the caller by then. Until a node's own part had
    made up for it callers were told to wait up to 700 s: a small part, and the debt of one large request.

    @param own              what this node may give out: the account's bucket, or its ration
    @param tokensPerSecond  the account's limit over all nodes
    @param allAsked         tokens a second that all nodes together are asked for
*/
auto timeToReturn (const TokenBucket& own, double tokensPerSecond, double allAsked) -> Duration
{
    const auto missing = leastLevel - own.level;
    const auto pressure = std::max (1.0, allAsked / tokensPerSecond);
    const auto ofAllNodes =
        std::chrono::duration_cast<Duration> (Seconds (missing / tokensPerSecond * pressure));
    return std::min (timeUntil (own, leastLevel), ofAllNodes);
}

} // namespace

auto SharedQuota::FadingSum::add (double more, TimePoint now) -> void
{
    tokens = left (now) + more;
    at = now;
}

auto SharedQuota::FadingSum::left (TimePoint now) const -> double
{
    return tokens * std::exp (-Seconds (now - at) / Seconds (rateTime));
}

auto SharedQuota::FadingSum::perSecond (TimePoint begun, TimePoint now) const -> double
{
    // A sum that began lately holds less than it will: what a node is asked for just after its start would look like a third
    // of it, and nodes that were all killed would take their buckets for full enough.
    const auto age = std::max<Duration> (now - begun, leastAge);
    const auto held = 1.0 - std::exp (-Seconds (age) / Seconds (rateTime));
    return left (now) / (Seconds (rateTime).count() * held);
}

auto SharedQuota::admit (const RoutedAccount& account,
                         double tokens,
                         const QuotaBounds& bounds,
                         TimePoint now) -> Admission
{
    auto& state = accounts[account.name];

    if (! bounds.isAskedAgain)
        state.asked.add (tokens, now);

    if (account.tokensPerSecond > 0.0)
        if (const auto admission = admitLimited (state, account, tokens, bounds, now); ! admission.admitted)
            return admission;

    state.total += tokens;
    state.admitted.add (tokens, now);
    return { true, {} };
}

auto SharedQuota::admitLimited (State& state,
                                const RoutedAccount& account,
                                double tokens,
                                const QuotaBounds& bounds,
                                TimePoint now) -> Admission
{
    if (bounds.unsettled > Duration::zero())
        return admitUnsettled (state, account, tokens, bounds, now);

    if (bounds.share < 1.0)
        return admitEvenPart (state, account, tokens, bounds, now);

    return admitShared (state, account, tokens, bounds, now);
}

auto SharedQuota::admitShared (State& state,
                               const RoutedAccount& account,
                               double tokens,
                               const QuotaBounds& bounds,
                               TimePoint now) -> Admission
{
    refillBucket (state, account, bounds, now);
    const auto allAsked = state.asked.perSecond (startTime, now) + state.othersAskedPerSecond;

    // The last request may be larger than what is left; the bucket makes up for it.
    if (state.bucket.level < leastLevel)
        return { false, timeToReturn (state.bucket, account.tokensPerSecond, allAsked) };

    const auto reserve = allAsked * Seconds (bounds.reportDelay).count();

    if (state.bucket.level < reserve)
    {
        refillRation (state, tokens, reserve, bounds.draw, now);

        if (state.ration.level < leastLevel)
            return { false, timeToReturn (state.ration, account.tokensPerSecond, allAsked) };

        state.ration.level -= tokens;
    }

    state.bucket.level -= tokens;
    return { true, {} };
}

auto SharedQuota::admitEvenPart (State& state,
                                 const RoutedAccount& account,
                                 double tokens,
                                 const QuotaBounds& bounds,
                                 TimePoint now) -> Admission
{
    refillBucket (state, account, bounds, now);
    auto& part = state.evenPart;

    // It begins with its part of what all nodes had left when this one last heard them.
    if (now - part.refilledAt > partMemory)
    {
        part.level = state.bucket.level * bounds.share;
        part.refilledAt = now;
    }

    part.burst = burstOf (account, bounds) * bounds.share;
    part.rate = account.tokensPerSecond * bounds.share;
    refill (part, now);
    part.level = std::min (part.level, part.burst);

    if (part.level < leastLevel)
        return { false,
                 timeToReturn (part, account.tokensPerSecond, state.asked.perSecond (startTime, now)) };

    part.level -= tokens;
    state.bucket.level -= tokens;
    return { true, {} };
}

auto SharedQuota::admitUnsettled (State& state,
                                  const RoutedAccount& account,
                                  double tokens,
                                  const QuotaBounds& bounds,
                                  TimePoint now) -> Admission
{
    // The ration that it keeps to once it is settled goes on from here.
    auto& opening = state.ration;

    if (opening.refilledAt == TimePoint())
    {
        // Where an even part is less than one request, only some nodes admit their first. A debt that has come to rest is
        // larger than half of a usual request, since large ones are owed for longer.
        constexpr auto debtOfRequest = 2.0;
        opening.burst = burstOf (account, bounds) * bounds.evenShare;
        opening.level =
            startLevelOf (account, bounds) * bounds.evenShare - debtOfRequest * bounds.draw * tokens;
        opening.refilledAt = now;
    }

    const auto part = std::min (1.0, Seconds (unsettledPart) /
                                         std::max (Seconds (bounds.reportDelay), Seconds (unsettledPart)));
    opening.rate = account.tokensPerSecond * bounds.evenShare * part;
    refill (opening, now);

    if (opening.level < leastLevel)
        return { false, std::min (bounds.unsettled, timeToReturn (opening, account.tokensPerSecond, 0.0)) };

    opening.level -= tokens;
    charge ({ { account.name, tokens } }, now);
    return { true, {} };
}

auto SharedQuota::refillBucket (State& state,
                                const RoutedAccount& account,
                                const QuotaBounds& bounds,
                                TimePoint now) -> void
{
    auto& bucket = state.bucket;
    const auto burst = burstOf (account, bounds);

    if (bucket.refilledAt == TimePoint())
        bucket.refilledAt = bounds.knownSince.value_or (now);

    // What was charged before the first request here left a debt, which has been filled up since.
    if (! state.isBegun)
        bucket.level += startLevelOf (account, bounds);

    state.isBegun = true;
    bucket.burst = burst;
    bucket.rate = account.tokensPerSecond;
    refill (bucket, now);
    bucket.level = std::min (bucket.level, burst);
}

auto SharedQuota::refillRation (State& state, double tokens, double reserve, double draw, TimePoint now)
    -> void
{
    auto& ration = state.ration;
    const auto asked = state.asked.perSecond (startTime, now);

    const auto part = asked / (asked + state.othersAskedPerSecond);
    const auto filling = leastFilling + (mostFilling - leastFilling) * state.bucket.level / reserve;
    ration.rate = state.bucket.rate * part * filling;
    ration.burst = std::max (leastLevel, ration.rate * Seconds (rationTime).count());

    // Nodes whose rations all began full would each admit a request at the same moment.
    if (now - ration.refilledAt > partMemory)
    {
        ration.level = (std::min (1.0, ration.rate / asked) - draw) * tokens;
        ration.refilledAt = now;
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

        if (bucket.refilledAt == TimePoint())
            bucket.refilledAt = now;
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
        // The other node has not heard yet what this one admitted since its start.
        state.bucket.level = *use.level - state.total;
        state.bucket.refilledAt = now;
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

auto SharedQuota::admitted (TimePoint now, Duration idleTime) const -> AdmittedByAccount
{
    AdmittedByAccount all;

    for (const auto& [account, state] : accounts)
    {
        if (now - state.asked.at > idleTime)
            continue;

        auto& use = all[account];
        use = { state.total, state.admitted.perSecond (startTime, now),
                state.asked.perSecond (startTime, now), std::nullopt };

        // A bucket that was adopted and not asked since has been charged, and not filled: what it holds is no level.
        if (state.isBegun && state.bucket.rate > 0.0)
            use.level = levelAt (state.bucket, now);
    }

    return all;
}

} // namespace snowrudder
