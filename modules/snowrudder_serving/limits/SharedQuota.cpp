#include "SharedQuota.h"

#include <algorithm>
#include <cmath>
#include <span>

namespace snowrudder
{

namespace
{

using Seconds = std::chrono::duration<double>;

/** Fraction of the tolerance in tokens that is added to the burst. The rest covers what is admitted between two
    reports.
*/
constexpr auto burstShareOfSlack = 0.2;

/** Fraction of the burst that a node takes as its initial level after a start: other nodes may have used the rest, and
    nodes that were all killed together must not grant the whole burst again.
*/
constexpr auto initialBurstShare = 0.08;

/** Fraction of the overshoot tolerance in a window that is added to the initial level, small enough that two restarts
    of all nodes within one window stay within the tolerance.
*/
constexpr auto initialShareOfTolerance = 0.25;

/** Nodes that start without reports from each other together admit at most this much time's worth of an account's rate:
    the more nodes there are, the later each receives what the others admitted meanwhile.
*/
constexpr auto unsettledRateTime = 300ms;

/** Below this fraction of its burst a bucket counts as low. */
constexpr auto lowBucketShare = 0.7;

/** Level from which a request is admitted, whatever its size; a larger request leaves a debt. */
constexpr auto minLevel = 1.0;

/** The part of its reserve, or of its burst where that is smaller, to which a bucket's level converges. */
constexpr auto targetShareOfReserve = 0.5;

/** An unused ration accumulates for this long. */
constexpr auto maxRationBurstTime = 250ms;

/** A ration or equal share that was not used for this long is initialized again. */
constexpr auto idleResetTime = 2s;

/** @returns the burst of an account's bucket over all nodes, with its part of the tolerance. */
auto burstOf (const RoutedAccount& account, const QuotaTolerance& tolerance) -> double
{
    return account.burstTokens + burstShareOfSlack * tolerance.slack;
}

/** @returns the initial level of an account's bucket when the actual level is unknown. */
auto initialLevelOf (const RoutedAccount& account, const QuotaBounds& bounds) -> double
{
    const auto inWindow =
        account.tokensPerSecond * Seconds (bounds.tolerance.window).count() + account.burstTokens;
    const auto level = initialBurstShare * burstOf (account, bounds.tolerance) +
                       initialShareOfTolerance * bounds.tolerance.overshoot * inWindow;
    return std::min (level, burstOf (account, bounds.tolerance));
}

/** @returns the retry delay for a refused caller: the time in which the account's whole limit makes up for what this
    node lacks, scaled up when the demand on all nodes exceeds the limit. By then another node can admit the caller. The
    time in which this node's own share makes up for it reached 700 s, with a small share and the debt of one large
    request.

    @param bucket           what this node admits from: the account's bucket, its ration, or its equal share
    @param tokensPerSecond  the account's limit over all nodes
    @param totalDemand      demand on all nodes, in tokens per second
*/
auto retryDelayOf (const TokenBucket& bucket, double tokensPerSecond, double totalDemand) -> Duration
{
    const auto missing = minLevel - bucket.level;
    const auto overload = std::max (1.0, totalDemand / tokensPerSecond);
    const auto withWholeLimit =
        std::chrono::duration_cast<Duration> (Seconds (missing / tokensPerSecond * overload));
    return std::min (timeUntil (bucket, minLevel), withWholeLimit);
}

} // namespace

auto SharedQuota::DecayingSum::add (double more, TimePoint now) -> void
{
    tokens = remaining (now) + more;
    at = now;
}

auto SharedQuota::DecayingSum::remaining (TimePoint now) const -> double
{
    return tokens * std::exp (-Seconds (now - at) / Seconds (averagingTime));
}

auto SharedQuota::DecayingSum::ratePerSecond (TimePoint since, TimePoint now) const -> double
{
    // A sum that began recently has not reached its steady value. Without this correction the demand just after a start
    // would appear as a third of the actual one, and nodes that were all killed would take their buckets to be full
    // enough.
    const auto age = std::max<Duration> (now - since, minAveragingTime);
    const auto held = 1.0 - std::exp (-Seconds (age) / Seconds (averagingTime));
    return remaining (now) / (Seconds (averagingTime).count() * held);
}

auto SharedQuota::admit (const RoutedAccount& account,
                         double tokens,
                         const QuotaBounds& bounds,
                         TimePoint now) -> Admission
{
    auto& state = accounts[account.name];

    if (! bounds.isAdmissionRetry)
        state.demand.add (tokens, now);

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
        return admitEqualShare (state, account, tokens, bounds, now);

    return admitShared (state, account, tokens, bounds, now);
}

auto SharedQuota::admitShared (State& state,
                               const RoutedAccount& account,
                               double tokens,
                               const QuotaBounds& bounds,
                               TimePoint now) -> Admission
{
    refillBucket (state, account, bounds, now);
    const auto totalDemand = state.demand.ratePerSecond (startTime, now) + state.demandOfOthersPerSecond;

    // The last request may exceed what is left; the bucket then refills from below zero.
    if (state.bucket.level < minLevel)
        return { false, retryDelayOf (state.bucket, account.tokensPerSecond, totalDemand) };

    const auto reserve = totalDemand * Seconds (bounds.reportDelay).count();

    if (state.bucket.level < reserve)
    {
        refillRation (state, tokens, reserve, bounds.draw, now);

        if (state.ration.level < minLevel)
            return { false, retryDelayOf (state.ration, account.tokensPerSecond, totalDemand) };

        state.ration.level -= tokens;
    }

    state.bucket.level -= tokens;
    return { true, {} };
}

auto SharedQuota::admitEqualShare (State& state,
                                   const RoutedAccount& account,
                                   double tokens,
                                   const QuotaBounds& bounds,
                                   TimePoint now) -> Admission
{
    refillBucket (state, account, bounds, now);
    auto& part = state.equalShareBucket;

    // Starts with this node's share of the last known level of the bucket.
    if (now - part.refilledAt > idleResetTime)
    {
        part.level = state.bucket.level * bounds.share;
        part.refilledAt = now;
    }

    part.burst = burstOf (account, bounds.tolerance) * bounds.share;
    part.rate = account.tokensPerSecond * bounds.share;
    refill (part, now);
    part.level = std::min (part.level, part.burst);

    if (part.level < minLevel)
        return { false,
                 retryDelayOf (part, account.tokensPerSecond, state.demand.ratePerSecond (startTime, now)) };

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
    // The same bucket serves as the ration once the node is settled.
    auto& initialShare = state.ration;

    if (initialShare.refilledAt == TimePoint())
    {
        // Where an equal share is smaller than one request, only some of the nodes may admit their first. The debt in
        // the steady state exceeds half of a typical request, since large requests are in debt for longer.
        constexpr auto debtOfRequest = 2.0;
        initialShare.burst = burstOf (account, bounds.tolerance) * bounds.equalShare;
        initialShare.level =
            initialLevelOf (account, bounds) * bounds.equalShare - debtOfRequest * bounds.draw * tokens;
        initialShare.refilledAt = now;
    }

    const auto part = std::min (1.0, Seconds (unsettledRateTime) / std::max (Seconds (bounds.reportDelay),
                                                                             Seconds (unsettledRateTime)));
    initialShare.rate = account.tokensPerSecond * bounds.equalShare * part;
    refill (initialShare, now);

    if (initialShare.level < minLevel)
        return { false,
                 std::min (bounds.unsettled, retryDelayOf (initialShare, account.tokensPerSecond, 0.0)) };

    initialShare.level -= tokens;
    charge ({ { account.name, tokens } }, now);
    return { true, {} };
}

auto SharedQuota::refillBucket (State& state,
                                const RoutedAccount& account,
                                const QuotaBounds& bounds,
                                TimePoint now) -> void
{
    auto& bucket = state.bucket;
    const auto burst = burstOf (account, bounds.tolerance);

    if (bucket.refilledAt == TimePoint())
        bucket.refilledAt = bounds.admissionsKnownSince.value_or (now);

    // Charges before the first request here left a debt, part of which has been refilled since.
    if (! state.hasInitialLevel)
        bucket.level += initialLevelOf (account, bounds);

    state.hasInitialLevel = true;
    bucket.burst = burst;
    bucket.rate = account.tokensPerSecond;
    refill (bucket, now);
    bucket.level = std::min (bucket.level, burst);
}

auto SharedQuota::refillRation (State& state, double tokens, double reserve, double draw, TimePoint now)
    -> void
{
    auto& ration = state.ration;
    const auto demand = state.demand.ratePerSecond (startTime, now);

    const auto part = demand / (demand + state.demandOfOthersPerSecond);
    // Sum of all nodes' rations, as a multiple of the rate: above 1 while the bucket holds more than its target.
    const auto target = targetShareOfReserve * std::min (reserve, state.bucket.burst);
    const auto filling = 1.0 + (state.bucket.level - target) / reserve;
    ration.rate = state.bucket.rate * part * filling;
    ration.burst = std::max (minLevel, ration.rate * Seconds (maxRationBurstTime).count());

    // With less than one other request within the averaging time, the demand here is a multiple of what it is on
    // average, and the ration of an earlier request says nothing of this one's.
    const auto isSparse = state.demand.remaining (now) < 2.0 * tokens;

    // If every ration started full, all nodes would admit a request at the same moment.
    if (isSparse || now - ration.refilledAt > idleResetTime)
    {
        ration.level = (std::min (1.0, ration.rate / demand) - draw) * tokens;
        ration.refilledAt = now;
    }

    refill (ration, now);
    ration.level = std::min (ration.level, ration.burst);
}

auto SharedQuota::learnLimit (const RoutedAccount& account,
                              const QuotaTolerance& tolerance,
                              TimePoint fillsFrom) -> void
{
    auto& bucket = accounts[account.name].bucket;

    if (bucket.refilledAt == TimePoint())
        bucket.refilledAt = fillsFrom;

    bucket.rate = account.tokensPerSecond;
    bucket.burst = burstOf (account, tolerance);
}

auto SharedQuota::charge (const AccountAmounts& tokens, TimePoint now) -> void
{
    for (const auto& [account, amount] : tokens)
    {
        auto& bucket = accounts[account].bucket;

        // A report shows that this node receives the admissions of the others.
        if (bucket.refilledAt == TimePoint() || bucket.refilledAt > now)
            bucket.refilledAt = now;

        // What exceeds the burst before these admissions is lost.
        if (bucket.rate > 0.0)
            refill (bucket, now);

        bucket.level -= amount;
    }
}

auto SharedQuota::adopt (const AdmittedByAccount& others, TimePoint now) -> void
{
    for (const auto& [account, use] : others)
    {
        if (! use.level)
            continue;

        auto& state = accounts[account];
        state.hasInitialLevel = true;
        // The other node has not received yet what this one admitted since its start.
        state.bucket.level = *use.level - state.total;
        state.bucket.refilledAt = now;
    }
}

auto SharedQuota::setDemandOfOthers (const AccountAmounts& demand) -> void
{
    for (auto& [account, state] : accounts)
        state.demandOfOthersPerSecond = 0.0;

    for (const auto& [account, amount] : demand)
        accounts[account].demandOfOthersPerSecond = amount;
}

auto SharedQuota::hasLowBucket (TimePoint now) const -> bool
{
    return std::ranges::any_of (accounts,
                                [now] (const auto& entry)
                                {
                                    const auto& bucket = entry.second.bucket;
                                    return entry.second.hasInitialLevel && bucket.rate > 0.0 &&
                                           levelAt (bucket, now) < lowBucketShare * bucket.burst;
                                });
}

auto SharedQuota::lowAccounts (TimePoint now, std::size_t most) const -> std::vector<std::string>
{
    std::vector<std::pair<double, std::string_view>> low;

    for (const auto& [account, state] : accounts)
    {
        if (state.bucket.rate <= 0.0 || state.bucket.burst <= 0.0)
            continue;

        if (const auto filled = levelAt (state.bucket, now) / state.bucket.burst; filled < lowBucketShare)
            low.emplace_back (filled, account);
    }

    const auto kept = std::min (low.size(), most);
    std::ranges::partial_sort (low, low.begin() + static_cast<std::ptrdiff_t> (kept));
    std::vector<std::string> names;

    for (const auto& [filled, account] : std::span (low).first (kept))
        names.emplace_back (account);

    return names;
}

auto SharedQuota::admitted (TimePoint now, Duration idleTime, const AccountSelection& selection) const
    -> AdmittedByAccount
{
    AdmittedByAccount all;

    for (const auto& [account, state] : accounts)
    {
        if (now - state.demand.at > idleTime || ! selection.contains (account))
            continue;

        auto& use = all[account];
        use = { state.total, state.admitted.ratePerSecond (startTime, now),
                state.demand.ratePerSecond (startTime, now), std::nullopt };

        // A bucket without a rate has been charged but not refilled, so its level is meaningless.
        if (state.hasInitialLevel && state.bucket.rate > 0.0)
            use.level = levelAt (state.bucket, now);
    }

    return all;
}

} // namespace snowrudder
